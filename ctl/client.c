#include "ctl/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "base/xmalloc.h"
#include "wire/response_head.h"

enum
{
  CONNECT_TIMEOUT_MS = 3000,
  READ_TIMEOUT_MS = 10000,
  COMMAND_TIMEOUT_MS = 30000, /* more than the 22 s a host may need */
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024,
  SECRET_SIZE = 256,
};

struct client
{
  CURL *curl;
  char *host;
  char *authorization; /**< header line; NULL: none */
};

/** The body of a response as it is received. */
struct body
{
  char *text;
  size_t size;
};

/** One request. */
struct call
{
  const char *address;
  const char *path;
  const char *authorization;
  const char *command; /**< NULL: a read */
};

static enum status
read_secret (const char *path, char **authorization)
{
  char secret[SECRET_SIZE];
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return status_errno ("the secret file %s can't be read", path);
  if (fgets (secret, sizeof secret, file) == NULL)
    secret[0] = '\0';
  fclose (file);
  secret[strcspn (secret, "\r\n")] = '\0';
  if (secret[0] == '\0')
    return status_set (STATUS_INVALID,
                       "the secret file %s is empty: its first line is the "
                       "secret",
                       path);
  *authorization = xasprintf ("Authorization: Bearer %s", secret);
  return STATUS_OK;
}

enum status
client_create (const struct client_options *options,
               struct client **new_client)
{
  char *authorization = NULL;
  if (options->secret_file != NULL)
    {
      const enum status status
          = read_secret (options->secret_file, &authorization);
      if (status != STATUS_OK)
        return status;
    }
  struct client *client = xcalloc (1, sizeof *client);
  client->authorization = authorization;
  client->host = xstrdup (options->host);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->curl = curl_easy_init ();
  *new_client = client;
  return STATUS_OK;
}

void
client_destroy (struct client *client)
{
  if (client == NULL)
    return;
  curl_easy_cleanup (client->curl);
  curl_global_cleanup ();
  free (client->authorization);
  free (client->host);
  free (client);
}

char *
client_escape (struct client *client, const char *text)
{
  char *escaped = curl_easy_escape (client->curl, text, 0);
  char *copy = xstrdup (escaped);
  curl_free (escaped);
  return copy;
}

static size_t
append_to_body (char *data, size_t size, size_t count, void *owner)
{
  struct body *body = owner;
  const size_t bytes = size * count;
  if (bytes > RESPONSE_MAX_BYTES - body->size)
    return 0;
  body->text = xreallocarray (body->text, body->size + bytes + 1, 1);
  memcpy (body->text + body->size, data, bytes);
  body->size += bytes;
  body->text[body->size] = '\0';
  return bytes;
}

/* libcurl repeats a request by itself if a connection that it reuses closes
   early, which would run a command twice, so each request gets a new
   connection.  A proxy from the environment would see the secret, so none is
   used. */
static void
set_options (CURL *curl, const struct call *call, const char *url,
             struct curl_slist *headers, struct response_head *head,
             struct body *body)
{
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (
      curl, CURLOPT_TIMEOUT_MS,
      (long)(call->command == NULL ? READ_TIMEOUT_MS : COMMAND_TIMEOUT_MS));
  response_head_attach (head, curl, NULL, NULL);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_to_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, body);
  if (call->command != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->command);
}

static struct curl_slist *
make_headers (const struct call *call)
{
  struct curl_slist *headers = NULL;
  if (call->authorization != NULL)
    headers = curl_slist_append (headers, call->authorization);
  if (call->command != NULL)
    {
      headers = curl_slist_append (headers, "Content-Type: application/json");
      headers = curl_slist_append (headers, "Expect:");
    }
  return headers;
}

static enum status
transfer_failure (const struct response_head *head, const struct call *call,
                  CURLcode code)
{
  long sent_bytes = 0;
  curl_easy_getinfo (head->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (call->command != NULL && sent_bytes > 0)
    return status_set (STATUS_LOST_ANSWER,
                       "%s received the command and sent %s (%s): it may "
                       "have taken effect; look with \"show\" before sending "
                       "it again",
                       call->address,
                       head->part == RESPONSE_NONE ? "no response"
                                                   : "no complete response",
                       curl_easy_strerror (code));
  if (head->part != RESPONSE_NONE)
    return status_set (STATUS_UNREACHABLE,
                       "%s sent no complete response (%s): try again",
                       call->address, curl_easy_strerror (code));
  return status_set (STATUS_UNREACHABLE,
                     "%s can't be reached (%s): give a host's operator "
                     "address with --host IP:PORT",
                     call->address, curl_easy_strerror (code));
}

static enum status
parse_body (const struct call *call, const struct body *body,
            struct client_reply *reply)
{
  reply->body = body->text == NULL ? NULL : json_tokener_parse (body->text);
  if (json_object_is_type (reply->body, json_type_object))
    return STATUS_OK;
  json_object_put (reply->body);
  reply->body = NULL;
  return status_set (call->command == NULL ? STATUS_UNREACHABLE
                                           : STATUS_LOST_ANSWER,
                     "%s doesn't respond as a host of jaystair does (HTTP "
                     "%ld): --host takes the operator address",
                     call->address, reply->http_code);
}

static enum status
perform (struct client *client, const struct call *call,
         struct client_reply *reply)
{
  struct body body = { .text = NULL };
  struct response_head head;
  char *url = xasprintf ("http://%s%s", call->address, call->path);
  struct curl_slist *headers = make_headers (call);
  *reply = (struct client_reply){ .body = NULL };
  set_options (client->curl, call, url, headers, &head, &body);
  const CURLcode code
      = response_head_result (&head, curl_easy_perform (client->curl));
  curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &reply->http_code);
  const enum status status = code == CURLE_OK
                                 ? parse_body (call, &body, reply)
                                 : transfer_failure (&head, call, code);
  curl_slist_free_all (headers);
  free (url);
  free (body.text);
  return status;
}

enum status
client_get (struct client *client, const char *path,
            struct client_reply *reply)
{
  const struct call call = { .address = client->host,
                             .path = path,
                             .authorization = client->authorization };
  return perform (client, &call, reply);
}

enum status
client_get_from (struct client *client, const char *address, const char *path,
                 struct client_reply *reply)
{
  const struct call call = { .address = address, .path = path };
  return perform (client, &call, reply);
}

enum status
client_command (struct client *client, struct json_object *command,
                struct client_reply *reply)
{
  const struct call call = { .address = client->host,
                             .path = "/v1/command",
                             .authorization = client->authorization,
                             .command = json_object_to_json_string_ext (
                                 command, JSON_C_TO_STRING_PLAIN) };
  return perform (client, &call, reply);
}
