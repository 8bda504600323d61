/** @file
 * Questions and commands to a host, over HTTP.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <json-c/json.h>

#include "base/status.h"

struct client;

struct client_options
{
  const char *host;        /**< its operator address, IP:PORT */
  const char *secret_file; /**< the shared secret; NULL: none */
};

/** An answer; release `body` with json_object_put(). */
struct client_reply
{
  long http_code;
  struct json_object *body; /**< always an object */
};

/** @return STATUS_INVALID when the secret file can't be used. */
enum status client_create (const struct client_options *options,
                           struct client **client);
void client_destroy (struct client *client);

/** Read PATH of the host.  STATUS_UNREACHABLE: no answer, or none that a
 * host gives. */
enum status client_get (struct client *client, const char *path,
                        struct client_reply *reply);

/** As client_get() of another ADDRESS, without the secret. */
enum status client_get_from (struct client *client, const char *address,
                             const char *path, struct client_reply *reply);

/** Send COMMAND.  STATUS_UNREACHABLE: surely not sent; STATUS_LOST_ANSWER:
 * sent, and no answer understood: it may have taken effect. */
enum status client_command (struct client *client, struct json_object *command,
                            struct client_reply *reply);

/** TEXT as part of a URL, in new memory. */
char *client_escape (struct client *client, const char *text);

#endif
