/** @file
 * Authorization of commands: holders of the shared secret or, if none is
 * configured, processes on this machine.
 */
#ifndef NODE_OPERATOR_OPERATOR_AUTH_H
#define NODE_OPERATOR_OPERATOR_AUTH_H

#include <stddef.h>
#include <sys/socket.h>

#include "base/status.h"

enum
{
  OPERATOR_SECRET_SIZE = 256, /**< maximum size of the secret, with its NUL */
  OPERATOR_SECRET_MIN_BYTES = 16, /**< a shorter secret can be guessed */
};

struct operator_auth
{
  char secret[OPERATOR_SECRET_SIZE]; /**< "" is none */
};

/** Read the secret from the first line of the file PATH; "" means that there
 * is none. */
enum status operator_auth_load (struct operator_auth *auth, const char *path);

/** Whether the sender at PEER with this AUTHORIZATION header (or NULL) may
 * send commands.
 * @return STATUS_REFUSED if not; the message names the remedy. */
enum status operator_auth_check (const struct operator_auth *auth,
                                 const char *authorization,
                                 const struct sockaddr *peer);

#endif
