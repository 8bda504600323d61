/** @file
 * IPv4 addresses of tests.
 */
#ifndef TESTS_HARNESS_SOCKET_ADDRESS_H
#define TESTS_HARNESS_SOCKET_ADDRESS_H

#include <netinet/in.h>

#include <string>

/** The socket address of an IP:PORT. */
sockaddr_in parse_socket_address (const std::string &address);

#endif
