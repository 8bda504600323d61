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
                                    .keep_consumed = keep };
}

void
stream_buffer_release (struct stream_buffer *buffer)
{
  free (buffer->data);
  *buffer = (struct stream_buffer){ 0 };
}

size_t
stream_buffer_pending_bytes (const struct stream_buffer *buffer)
{
  return buffer->used_bytes - buffer->consumed_bytes;
}

size_t
stream_buffer_free_bytes (const struct stream_buffer *buffer)
{
  return buffer->capacity_bytes - stream_buffer_pending_bytes (buffer);
}

static void
drop_taken (struct stream_buffer *buffer)
{
  if (buffer->consumed_bytes == 0)
    return;
  const size_t waiting = stream_buffer_pending_bytes (buffer);
  memmove (buffer->data, buffer->data + buffer->consumed_bytes, waiting);
  buffer->used_bytes = waiting;
  buffer->consumed_bytes = 0;
  buffer->start_discarded = true;
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
  const size_t room = stream_buffer_free_bytes (buffer);
  if (size > room)
    size = room;
  if (size == 0)
    return 0;
  const bool fits = buffer->used_bytes + size <= buffer->capacity_bytes;
  if (!buffer->keep_consumed || !fits)
    drop_taken (buffer);
  if (buffer->used_bytes + size > buffer->size_bytes)
    grow (buffer, buffer->used_bytes + size);
  memcpy (buffer->data + buffer->used_bytes, data, size);
  buffer->used_bytes += size;
  return size;
}

size_t
stream_buffer_read (struct stream_buffer *buffer, char *data, size_t size)
{
  const size_t waiting = stream_buffer_pending_bytes (buffer);
  if (size > waiting)
    size = waiting;
  if (size == 0)
    return 0;
  memcpy (data, buffer->data + buffer->consumed_bytes, size);
  buffer->consumed_bytes += size;
  return size;
}

bool
stream_buffer_rewind (struct stream_buffer *buffer)
{
  if (buffer->start_discarded)
    return false;
  buffer->consumed_bytes = 0;
  return true;
}

bool
stream_buffer_is_drained (const struct stream_buffer *buffer)
{
  return buffer->is_complete && stream_buffer_pending_bytes (buffer) == 0;
}
