/** @file
 * A small HTTP server on an address of its own whose requests are answered
 * synchronously, such as address and readiness requests.
 */
#ifndef NODE_PLAIN_SERVER_H
#define NODE_PLAIN_SERVER_H

#include <ev.h>
#include <microhttpd.h>

#include "base/status.h"

struct plain_server;

/** Handle a request: queue a response on CONNECTION. */
typedef enum MHD_Result
plain_server_handler (void *owner, struct MHD_Connection *connection,
                      const char *path, const char *method);

struct plain_server_options
{
  struct ev_loop *loop;
  const char *address; /**< IP:PORT */
  const char *what;    /**< purpose of the server, for messages */
  plain_server_handler *answer;
  void *owner;
};

/** Start listening.  On failure the message names the address and the
 * remedy. */
enum status plain_server_create (const struct plain_server_options *options,
                                 struct plain_server **server);
void plain_server_destroy (struct plain_server *server);

/** Queue a response with TEXT as its body. */
enum MHD_Result plain_server_respond (struct MHD_Connection *connection,
                                      unsigned int status,
                                      const char *content_type,
                                      const char *text);

#endif
