#include "wire/peer/peer_buffer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  FIRST_ROOM_BYTES = 512,
  /** What is larger isn't kept when empty. */
  KEEP_ROOM_BYTES = 16 * 1024,
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
  size_t room = buffer->capacity == 0 ? FIRST_ROOM_BYTES : buffer->capacity;
  while (room < buffer->end + size)
    room *= 2;
  if (room != buffer->capacity)
    {
      buffer->bytes = xreallocarray (buffer->bytes, room, 1);
      buffer->capacity = room;
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
  if (buffer->capacity > KEEP_ROOM_BYTES)
    peer_buffer_release (buffer);
}

void
peer_buffer_release (struct peer_buffer *buffer)
{
  free (buffer->bytes);
  *buffer = (struct peer_buffer){ .bytes = NULL };
}
