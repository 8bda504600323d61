/** @file
 * A check of MessagePack bytes before the codec sees them.
 */
#ifndef WIRE_PEER_MSGPACK_CHECK_H
#define WIRE_PEER_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/** Could the SIZE bytes of DATA be one whole object: does no container or
 * text in it claim more than the bytes that follow? */
bool msgpack_sizes_valid (const char *data, size_t size);

#endif
