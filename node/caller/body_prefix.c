#include "node/caller/body_prefix.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

void
body_prefix_append (struct body_prefix *prefix, const char *data, size_t size)
{
  const size_t free_bytes = BODY_PREFIX_BYTES - prefix->used;
  if (size > free_bytes)
    size = free_bytes;
  if (size == 0)
    return;
  const uint32_t needed = prefix->used + (uint32_t)size;
  if (needed > prefix->size_bytes)
    {
      prefix->data = xreallocarray (prefix->data, needed, 1);
      prefix->size_bytes = needed;
    }
  memcpy (prefix->data + prefix->used, data, size);
  prefix->used = needed;
}

bool
body_prefix_is_full (const struct body_prefix *prefix)
{
  return prefix->used == BODY_PREFIX_BYTES;
}

void
body_prefix_release (struct body_prefix *prefix)
{
  free (prefix->data);
  *prefix = (struct body_prefix){ 0 };
}
