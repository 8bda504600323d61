/** @file
 * `IP:PORT` and `[IP6]:PORT` texts as socket addresses.
 */
#ifndef WIRE_PEER_PEER_ADDRESS_H
#define WIRE_PEER_PEER_ADDRESS_H

#include <sys/socket.h>

#include "base/status.h"

/** Parse TEXT, numbers only: no name is looked up. */
enum status peer_address_parse (const char *text,
                                struct sockaddr_storage *address,
                                socklen_t *size);

#endif
