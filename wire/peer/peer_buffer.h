/** @file
 * Growable buffer of bytes to send or to decode.
 */
#ifndef WIRE_PEER_PEER_BUFFER_H
#define WIRE_PEER_PEER_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

struct peer_buffer
{
  char *bytes;
  size_t begin;
  size_t end;
  size_t capacity;
};

/** Number of unconsumed bytes. */
static inline size_t
peer_buffer_size (const struct peer_buffer *buffer)
{
  return buffer->end - buffer->begin;
}

void peer_buffer_append (struct peer_buffer *buffer, const void *data,
                         size_t size);
/** Remove the first SIZE bytes. */
void peer_buffer_consume (struct peer_buffer *buffer, size_t size);
void peer_buffer_release (struct peer_buffer *buffer);

#endif
