/** @file
 * Target objects that can't be read.
 */
#ifndef NODE_REGISTRY_TARGET_REFUSALS_H
#define NODE_REGISTRY_TARGET_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

/** An object that was rejected last. */
struct target_refusal;

/** Record that TEXT, the object of target NAME, was rejected.  KNOWN_MS is the
 * start time of the last process that was known.
 * @return whether the same text wasn't rejected just before; relays list all
 * objects again every few seconds */
bool target_refusals_add (struct target_refusal **refusals, const char *name,
                          const char *text, int64_t known_ms);

/** Forget that the object of target NAME was rejected. */
void target_refusals_remove (struct target_refusal **refusals,
                             const char *name);

/** The start time of the last known process of target NAME, whose object was
 * rejected since; 0: unknown. */
int64_t target_refusals_known_ms (struct target_refusal *refusals,
                                  const char *name);

void target_refusals_clear (struct target_refusal **refusals);

#endif
