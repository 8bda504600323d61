#include "wire/peer/peer_buffer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  INITIAL_CAPACITY_BYTES = 512,
  /** A larger allocation is freed once the buffer is empty. */
  RETAINED_CAPACITY_BYTES = 16 * 1024,
};

static void
compact (struct peer_buffer *buffer)
{
  if (buffer->begin == 0)
    return;
  buffer->end -= buffer->begin;
  memmove (buffer->bytes, buffer->bytes + buffer->begin, buffer->end);
  buffer->begin = 0;
}

void
peer_buffer_append (struct peer_buffer *buffer, const void *data, size_t size)
{
  compact (buffer);
  size_t capacity
      = buffer->capacity == 0 ? INITIAL_CAPACITY_BYTES : buffer->capacity;
  while (capacity < buffer->end + size)
    capacity *= 2;
  if (capacity != buffer->capacity)
    {
      buffer->bytes = xreallocarray (buffer->bytes, capacity, 1);
      buffer->capacity = capacity;
    }
  if (size > 0)
    memcpy (buffer->bytes + buffer->end, data, size);
  buffer->end += size;
}

void
peer_buffer_consume (struct peer_buffer *buffer, size_t size)
{
  assert (size <= peer_buffer_size (buffer));
  buffer->begin += size;
  if (buffer->begin < buffer->end)
    return;
  buffer->begin = 0;
  buffer->end = 0;
  if (buffer->capacity > RETAINED_CAPACITY_BYTES)
    peer_buffer_release (buffer);
}

void
peer_buffer_release (struct peer_buffer *buffer)
{
  free (buffer->bytes);
  *buffer = (struct peer_buffer){ .bytes = NULL };
}
