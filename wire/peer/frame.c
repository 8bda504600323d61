#include "wire/peer/frame.h"

static size_t
head_size (const char *bytes)
{
  size_t size = 0;
  for (int i = 0; i < FRAME_HEAD_BYTES; i++)
    size = size << 8 | (uint8_t)bytes[i];
  return size;
}

void
frame_add (struct peer_buffer *buffer, const char *data, size_t size)
{
  uint8_t head[FRAME_HEAD_BYTES];
  for (int i = 0; i < FRAME_HEAD_BYTES; i++)
    head[i] = (uint8_t)(size >> (8 * (FRAME_HEAD_BYTES - 1 - i)));
  peer_buffer_add (buffer, head, sizeof head);
  peer_buffer_add (buffer, data, size);
}

enum status
frame_front (const struct peer_buffer *buffer, const char **payload,
             size_t *size)
{
  const size_t held = peer_buffer_size (buffer);
  if (held < FRAME_HEAD_BYTES)
    return STATUS_NOT_FOUND;
  const char *head = buffer->bytes + buffer->start;
  *size = head_size (head);
  if (*size == 0 || *size > FRAME_MAX_BYTES)
    return status_set (STATUS_INVALID,
                       "peer frame of %zu bytes: 1 to %d are allowed; is "
                       "something else than jaystaird connecting here?",
                       *size, FRAME_MAX_BYTES);
  if (held - FRAME_HEAD_BYTES < *size)
    return STATUS_NOT_FOUND;
  *payload = head + FRAME_HEAD_BYTES;
  return STATUS_OK;
}
