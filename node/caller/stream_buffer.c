#include "node/caller/stream_buffer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  INITIAL_SIZE_BYTES = 2048
};

void
stream_buffer_init (struct stream_buffer *buffer, size_t capacity_bytes,
                    bool keep_consumed)
{
  *buffer = (struct stream_buffer){ .capacity_bytes = capacity_bytes,
                                    .keep_consumed = keep_consumed };
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
discard_consumed (struct stream_buffer *buffer)
{
  if (buffer->consumed_bytes == 0)
    return;
  const size_t pending = stream_buffer_pending_bytes (buffer);
  memmove (buffer->data, buffer->data + buffer->consumed_bytes, pending);
  buffer->used_bytes = pending;
  buffer->consumed_bytes = 0;
  buffer->start_discarded = true;
}

static void
grow (struct stream_buffer *buffer, size_t needed)
{
  size_t size
      = buffer->size_bytes > 0 ? buffer->size_bytes : INITIAL_SIZE_BYTES;
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
  const size_t free_bytes = stream_buffer_free_bytes (buffer);
  if (size > free_bytes)
    size = free_bytes;
  if (size == 0)
    return 0;
  const bool fits = buffer->used_bytes + size <= buffer->capacity_bytes;
  if (!buffer->keep_consumed || !fits)
    discard_consumed (buffer);
  if (buffer->used_bytes + size > buffer->size_bytes)
    grow (buffer, buffer->used_bytes + size);
  memcpy (buffer->data + buffer->used_bytes, data, size);
  buffer->used_bytes += size;
  return size;
}

size_t
stream_buffer_read (struct stream_buffer *buffer, char *data, size_t size)
{
  const size_t pending = stream_buffer_pending_bytes (buffer);
  if (size > pending)
    size = pending;
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
