/** @file
 * Frames on a peer connection: a length of four bytes, highest first, then
 * as many bytes of one message.
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
  /** Largest message: one value of the platform and its names. */
  FRAME_PAYLOAD_MAX_BYTES = 1024 * 1024 + 4096,
};

/** Add SIZE bytes of DATA as one frame. */
void frame_append (struct peer_buffer *buffer, const char *data, size_t size);

/** The whole frame at the front of BUFFER, if there is one; skip
 * FRAME_HEADER_BYTES + *SIZE when it is done with.
 * @return STATUS_OK, STATUS_NOT_FOUND (more bytes are needed) or
 * STATUS_INVALID (longer than FRAME_PAYLOAD_MAX_BYTES or empty: close). */
enum status frame_peek (const struct peer_buffer *buffer, const char **payload,
                        size_t *size);

#endif
