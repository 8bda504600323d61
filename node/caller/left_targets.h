/** @file
 * Targets that leave for good, as they have said in a response.
 *
 * The registry may list such a target as ready for a while, drop it and list
 * it again, so the list of targets can't hold what is known about it.
 */
#ifndef NODE_CALLER_LEFT_TARGETS_H
#define NODE_CALLER_LEFT_TARGETS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LEFT_TARGETS_MAX = 256
};

/** All zero at the start.  The oldest key is replaced. */
struct left_targets
{
  uint64_t *keys; /**< allocated with the first one */
  uint32_t count; /**< ever added */
};

void left_targets_add (struct left_targets *targets, uint64_t key);
bool left_targets_has (const struct left_targets *targets, uint64_t key);
void left_targets_release (struct left_targets *targets);

#endif
