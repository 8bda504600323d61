/** @file
 * Validation of MessagePack sizes before decoding.
 */
#ifndef WIRE_PEER_MSGPACK_CHECK_H
#define WIRE_PEER_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/** Check that the SIZE bytes of DATA are exactly one object in which no
 * container, string or binary claims more than the bytes that follow. */
bool msgpack_sizes_valid (const char *data, size_t size);

#endif
