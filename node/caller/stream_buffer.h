/** @file
 * A bounded buffer for one direction of a request's body.
 *
 * Bytes are appended at the end and taken from the front.  With `keep`, bytes
 * that were taken stay for as long as all of the body fits, so that a further
 * attempt can send it from the start again.
 */
#ifndef NODE_CALLER_STREAM_BUFFER_H
#define NODE_CALLER_STREAM_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct stream_buffer
{
  char *data;
  size_t size_bytes;     /**< of `data`, grown as needed */
  size_t capacity_bytes; /**< most it may hold */
  size_t consumed_bytes; /**< of the bytes in `data`, from the front */
  size_t used_bytes;
  bool keep_consumed;
  bool start_discarded; /**< bytes are gone: no rewind */
  bool is_complete;     /**< no more will be appended */
};

void stream_buffer_init (struct stream_buffer *buffer, size_t capacity_bytes,
                         bool keep);
void stream_buffer_release (struct stream_buffer *buffer);

/** Bytes that can be appended now. */
size_t stream_buffer_free_bytes (const struct stream_buffer *buffer);
/** Bytes waiting to be taken. */
size_t stream_buffer_pending_bytes (const struct stream_buffer *buffer);

/** Append at most SIZE bytes.
 * @return the number taken in */
size_t stream_buffer_append (struct stream_buffer *buffer, const char *data,
                             size_t size);

/** Take at most SIZE bytes into DATA.
 * @return the number taken */
size_t stream_buffer_read (struct stream_buffer *buffer, char *data,
                           size_t size);

/** Go back to the first byte.
 * @return false when it is gone */
bool stream_buffer_rewind (struct stream_buffer *buffer);

/** Everything was taken and no more will come. */
bool stream_buffer_is_drained (const struct stream_buffer *buffer);

#endif
