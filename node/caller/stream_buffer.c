#include "node/caller/stream_buffer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  FIRST_SIZE_BYTES = 2048
};

void
stream_buffer_init (struct stream_buffer *buffer, size_t capacity_bytes,
                    bool keep)
{
  *buffer = (struct stream_buffer){ .capacity_bytes = capacity_bytes,
                                    .keep = keep };
}

void
stream_buffer_release (struct stream_buffer *buffer)
{
  free (buffer->data);
  *buffer = (struct stream_buffer){ 0 };
}

size_t
stream_buffer_waiting (const struct stream_buffer *buffer)
{
  return buffer->used - buffer->taken;
}

size_t
stream_buffer_room (const struct stream_buffer *buffer)
{
  return buffer->capacity_bytes - stream_buffer_waiting (buffer);
}

static void
drop_taken (struct stream_buffer *buffer)
{
  if (buffer->taken == 0)
    return;
  const size_t waiting = stream_buffer_waiting (buffer);
  memmove (buffer->data, buffer->data + buffer->taken, waiting);
  buffer->used = waiting;
  buffer->taken = 0;
  buffer->dropped = true;
}

static void
grow (struct stream_buffer *buffer, size_t needed)
{
  size_t size = buffer->size_bytes > 0 ? buffer->size_bytes : FIRST_SIZE_BYTES;
  while (size < needed)
    size *= 2;
  if (size > buffer->capacity_bytes)
    size = buffer->capacity_bytes;
  assert (size >= needed);
  buffer->data = xreallocarray (buffer->data, size, 1);
  buffer->size_bytes = size;
}

size_t
stream_buffer_append (struct stream_buffer *buffer, const char *data,
                      size_t size)
{
  const size_t room = stream_buffer_room (buffer);
  if (size > room)
    size = room;
  if (size == 0)
    return 0;
  const bool fits = buffer->used + size <= buffer->capacity_bytes;
  if (!buffer->keep || !fits)
    drop_taken (buffer);
  if (buffer->used + size > buffer->size_bytes)
    grow (buffer, buffer->used + size);
  memcpy (buffer->data + buffer->used, data, size);
  buffer->used += size;
  return size;
}

size_t
stream_buffer_take (struct stream_buffer *buffer, char *data, size_t size)
{
  const size_t waiting = stream_buffer_waiting (buffer);
  if (size > waiting)
    size = waiting;
  if (size == 0)
    return 0;
  memcpy (data, buffer->data + buffer->taken, size);
  buffer->taken += size;
  return size;
}

bool
stream_buffer_rewind (struct stream_buffer *buffer)
{
  if (buffer->dropped)
    return false;
  buffer->taken = 0;
  return true;
}

bool
stream_buffer_ended (const struct stream_buffer *buffer)
{
  return buffer->whole && stream_buffer_waiting (buffer) == 0;
}
