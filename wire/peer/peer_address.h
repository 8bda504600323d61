/** @file
 * Parsing of `IP:PORT` and `[IPv6]:PORT` into socket addresses.
 */
#ifndef WIRE_PEER_PEER_ADDRESS_H
#define WIRE_PEER_PEER_ADDRESS_H

#include <sys/socket.h>

#include "base/status.h"

/** Parse TEXT, which must be numeric: host names are not resolved. */
enum status peer_address_parse (const char *text,
                                struct sockaddr_storage *address,
                                socklen_t *size);

#endif
