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
  if (buffer->start == 0)
    return;
  buffer->used -= buffer->start;
  memmove (buffer->bytes, buffer->bytes + buffer->start, buffer->used);
  buffer->start = 0;
}

void
peer_buffer_add (struct peer_buffer *buffer, const void *data, size_t size)
{
  compact (buffer);
  size_t room = buffer->room == 0 ? FIRST_ROOM_BYTES : buffer->room;
  while (room < buffer->used + size)
    room *= 2;
  if (room != buffer->room)
    {
      buffer->bytes = xreallocarray (buffer->bytes, room, 1);
      buffer->room = room;
    }
  if (size > 0)
    memcpy (buffer->bytes + buffer->used, data, size);
  buffer->used += size;
}

void
peer_buffer_skip (struct peer_buffer *buffer, size_t size)
{
  assert (size <= peer_buffer_size (buffer));
  buffer->start += size;
  if (buffer->start < buffer->used)
    return;
  buffer->start = 0;
  buffer->used = 0;
  if (buffer->room > KEEP_ROOM_BYTES)
    peer_buffer_release (buffer);
}

void
peer_buffer_release (struct peer_buffer *buffer)
{
  free (buffer->bytes);
  *buffer = (struct peer_buffer){ .bytes = NULL };
}
