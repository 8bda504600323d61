/** @file
 * Who may command: holders of the shared secret, or, where none is
 * configured, processes on this machine.
 */
#ifndef NODE_OPERATOR_OPERATOR_AUTH_H
#define NODE_OPERATOR_OPERATOR_AUTH_H

#include <stddef.h>
#include <sys/socket.h>

#include "base/status.h"

enum
{
  OPERATOR_SECRET_SIZE = 256,     /**< longest secret, with its NUL */
  OPERATOR_SECRET_MIN_BYTES = 16, /**< a shorter one can be guessed */
};

struct operator_auth
{
  char secret[OPERATOR_SECRET_SIZE]; /**< "" is none */
};

/** Read the secret of PATH, its first line; "" means that there is none. */
enum status operator_auth_load (struct operator_auth *guard, const char *path);

/** May the sender at PEER with this Authorization header (or NULL) command?
 * STATUS_REFUSED with the remedy in the message otherwise. */
enum status operator_auth_check (const struct operator_auth *guard,
                                 const char *authorization,
                                 const struct sockaddr *peer);

#endif
