#include "wire/peer/frame.h"

static size_t
payload_size (const char *bytes)
{
  size_t size = 0;
  for (int i = 0; i < FRAME_HEADER_BYTES; i++)
    size = size << 8 | (uint8_t)bytes[i];
  return size;
}

void
frame_append (struct peer_buffer *buffer, const char *data, size_t size)
{
  uint8_t header[FRAME_HEADER_BYTES];
  for (int i = 0; i < FRAME_HEADER_BYTES; i++)
    header[i] = (uint8_t)(size >> (8 * (FRAME_HEADER_BYTES - 1 - i)));
  peer_buffer_append (buffer, header, sizeof header);
  peer_buffer_append (buffer, data, size);
}

enum status
frame_peek (const struct peer_buffer *buffer, const char **payload,
            size_t *size)
{
  const size_t available = peer_buffer_size (buffer);
  if (available < FRAME_HEADER_BYTES)
    return STATUS_NOT_FOUND;
  const char *header = buffer->bytes + buffer->begin;
  *size = payload_size (header);
  if (*size == 0 || *size > FRAME_PAYLOAD_MAX_BYTES)
    return status_set (STATUS_INVALID,
                       "peer frame has a length of %zu bytes, expected 1 to "
                       "%d; check that only jaystaird connects to this port",
                       *size, FRAME_PAYLOAD_MAX_BYTES);
  if (available - FRAME_HEADER_BYTES < *size)
    return STATUS_NOT_FOUND;
  *payload = header + FRAME_HEADER_BYTES;
  return STATUS_OK;
}
