/** @file
 * A bounded buffer for one direction of a request's body.
 *
 * Bytes are appended at the end and read from the front.  With
 * `keep_consumed`, bytes that were read are kept as long as the whole body
 * fits, so that another attempt can send it from its start.
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
  size_t capacity_bytes; /**< maximum */
  size_t consumed_bytes; /**< already read, at the front of `data` */
  size_t used_bytes;
  bool keep_consumed;
  bool start_discarded; /**< first bytes were discarded: no rewind */
  bool is_complete;     /**< all bytes have been appended */
};

void stream_buffer_init (struct stream_buffer *buffer, size_t capacity_bytes,
                         bool keep_consumed);
void stream_buffer_release (struct stream_buffer *buffer);

/** Number of bytes that can be appended now. */
size_t stream_buffer_free_bytes (const struct stream_buffer *buffer);
/** Number of bytes that can be read now. */
size_t stream_buffer_pending_bytes (const struct stream_buffer *buffer);

/** Append at most SIZE bytes.
 * @return the number of bytes appended */
size_t stream_buffer_append (struct stream_buffer *buffer, const char *data,
                             size_t size);

/** Read at most SIZE bytes into DATA.
 * @return the number of bytes read */
size_t stream_buffer_read (struct stream_buffer *buffer, char *data,
                           size_t size);

/** Go back to the first byte.
 * @return false if it has been discarded */
bool stream_buffer_rewind (struct stream_buffer *buffer);

/** All bytes were read and no more will be appended. */
bool stream_buffer_is_drained (const struct stream_buffer *buffer);

#endif
