#include "wire/peer/frame.h"

static size_t
head_size (const char *bytes)
{
  size_t size = 0;
  for (int i = 0; i < FRAME_HEADER_BYTES; i++)
    size = size << 8 | (uint8_t)bytes[i];
  return size;
}

void
frame_append (struct peer_buffer *buffer, const char *data, size_t size)
{
  uint8_t head[FRAME_HEADER_BYTES];
  for (int i = 0; i < FRAME_HEADER_BYTES; i++)
    head[i] = (uint8_t)(size >> (8 * (FRAME_HEADER_BYTES - 1 - i)));
  peer_buffer_append (buffer, head, sizeof head);
  peer_buffer_append (buffer, data, size);
}

enum status
frame_peek (const struct peer_buffer *buffer, const char **payload,
            size_t *size)
{
  const size_t held = peer_buffer_size (buffer);
  if (held < FRAME_HEADER_BYTES)
    return STATUS_NOT_FOUND;
  const char *head = buffer->bytes + buffer->begin;
  *size = head_size (head);
  if (*size == 0 || *size > FRAME_PAYLOAD_MAX_BYTES)
    return status_set (STATUS_INVALID,
                       "peer frame of %zu bytes: 1 to %d are allowed; is "
                       "something else than jaystaird connecting here?",
                       *size, FRAME_PAYLOAD_MAX_BYTES);
  if (held - FRAME_HEADER_BYTES < *size)
    return STATUS_NOT_FOUND;
  *payload = head + FRAME_HEADER_BYTES;
  return STATUS_OK;
}
