/** @file
 * The first BODY_PREFIX_BYTES bytes of a request's body, from which its
 * fingerprint is computed.
 */
#ifndef NODE_CALLER_BODY_PREFIX_H
#define NODE_CALLER_BODY_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BODY_PREFIX_BYTES = 8 * 1024,
};

struct body_prefix
{
  char *data;
  uint32_t size_bytes; /**< of `data`, grown as needed */
  uint32_t used;
};

/** Append the next SIZE bytes of the body, ignoring those beyond the limit. */
void body_prefix_append (struct body_prefix *prefix, const char *data,
                         size_t size);
bool body_prefix_is_full (const struct body_prefix *prefix);
void body_prefix_release (struct body_prefix *prefix);

#endif
