/** @file
 * Framing of messages on a peer connection: a length in four bytes,
 * big-endian, followed by the encoded message.
 */
#ifndef WIRE_PEER_FRAME_H
#define WIRE_PEER_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_buffer.h"

enum frame_size
{
  FRAME_HEADER_BYTES = 4,
  /** The largest message has one value of the platform and its names. */
  FRAME_PAYLOAD_MAX_BYTES = 1024 * 1024 + 4096,
};

/** Append a frame that holds SIZE bytes of DATA. */
void frame_append (struct peer_buffer *buffer, const char *data, size_t size);

/** Get the first frame of BUFFER without consuming it.  After use, consume
 * FRAME_HEADER_BYTES + *SIZE bytes.
 * @return STATUS_OK, STATUS_NOT_FOUND if the frame is incomplete, or
 * STATUS_INVALID if it is empty or longer than FRAME_PAYLOAD_MAX_BYTES; the
 * connection must be closed then. */
enum status frame_peek (const struct peer_buffer *buffer, const char **payload,
                        size_t *size);

#endif
