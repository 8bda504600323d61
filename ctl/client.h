/** @file
 * HTTP client for reads from a host and commands to it.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <json-c/json.h>

#include "base/status.h"

struct client;

struct client_options
{
  const char *host;        /**< its operator address, IP:PORT */
  const char *secret_file; /**< file of the shared secret; NULL: none */
};

/** A response; release `body` with json_object_put(). */
struct client_reply
{
  long http_code;
  struct json_object *body; /**< always an object */
};

/** @return STATUS_SYSTEM if the secret file can't be read, STATUS_INVALID if
 * it is empty. */
enum status client_create (const struct client_options *options,
                           struct client **client);
void client_destroy (struct client *client);

/** Read PATH of the host.
 * @return STATUS_UNREACHABLE: no response, or none that a host gives. */
enum status client_get (struct client *client, const char *path,
                        struct client_reply *reply);

/** As client_get() from another ADDRESS, without the secret. */
enum status client_get_from (struct client *client, const char *address,
                             const char *path, struct client_reply *reply);

/** Send COMMAND.
 * @return STATUS_UNREACHABLE: certainly not sent; STATUS_LOST_ANSWER: sent,
 * but no valid response: it may have taken effect. */
enum status client_command (struct client *client, struct json_object *command,
                            struct client_reply *reply);

/** Percent-encode TEXT for a URL, in new memory. */
char *client_escape (struct client *client, const char *text);

#endif
