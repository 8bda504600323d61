/** @file
 * The memory of a caller's connection, which libmicrohttpd limits.  It holds
 * the head of a request, a record of each of its fields, query arguments and
 * cookies, bytes of the next requests, and the head of the response.  If the
 * latter doesn't fit, the connection is closed without a response.
 */
#ifndef NODE_CALLER_RESPONSE_ROOM_H
#define NODE_CALLER_RESPONSE_ROOM_H

#include <stddef.h>

#include "node/caller/exchange.h"
#include "node/host_settings.h"

/** Bytes of memory of a connection. */
size_t response_room_memory_bytes (const struct caller_limits *limits);

/** Whether a response of the host's own fits behind the request of X, whose
 * head was read, if the caller sends no further request ahead. */
bool response_room_has_local (const struct exchange *x);

/** Whether the head of the target's response fits, whatever the caller sends
 * ahead. */
bool response_room_has_target (const struct exchange *x);

#endif
