#include "node/caller/exchange_caller.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "node/caller/caller_server.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_forward.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/response_check.h"
#include "node/http_connections.h"

enum
{
  RESPONSE_BLOCK_BYTES = 16 * 1024,
  HEADER_VALUE_SIZE = 1024,
  KEEP_ALIVE_SIZE = 32
};

static void
suspend_connection (struct exchange *x)
{
  if (!x->hangup_watched && !http_connections_is_ending (x->connection))
    {
      hangup_watch_add (x->context->hangup, x->fd, x);
      x->hangup_watched = true;
    }
  x->is_suspended = true;
  MHD_suspend_connection (x->connection);
}

static bool
has_response (const struct exchange *x)
{
  return x->state == EXCHANGE_LOCAL_RESPONSE
         || x->state == EXCHANGE_FORWARDING;
}

/* The rest of the request body is not needed any more. */
static bool
discards_upload (const struct exchange *x)
{
  return x->state == EXCHANGE_LOCAL_RESPONSE
         || (x->state == EXCHANGE_FORWARDING && x->attempt.call == NULL);
}

static bool
can_resume (const struct exchange *x)
{
  if (x->caller_disconnected || x->state == EXCHANGE_FINISHED)
    return true;
  if (x->response_queued)
    return x->response_truncated || x->response_body.is_complete
           || stream_buffer_pending_bytes (&x->response_body) > 0;
  if (x->upload_complete)
    return has_response (x);
  return discards_upload (x) || stream_buffer_free_bytes (&x->upload) > 0;
}

void
exchange_resume_connection (struct exchange *x)
{
  if (x->connection == NULL || !x->is_suspended || !can_resume (x))
    return;
  x->is_suspended = false;
  MHD_resume_connection (x->connection);
  mhd_loop_wake (x->context->mhd_loop);
}

/* Without an announced length, an HTTP/1.0 caller takes the end of the
   connection for the end of the body, so that a truncated response would look
   complete.  Connecting to AF_UNSPEC dissolves the association and makes the
   kernel send a reset, which no caller takes for a regular end. */
static void
reset_connection (const struct exchange *x)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  const int result = connect (x->fd, &none, sizeof none);
  (void)result;
}

void
exchange_abort_response (struct exchange *x)
{
  x->caller_disconnected = true;
  if (x->response_queued && x->head.http_1_0)
    reset_connection (x);
}

/* The kernel closes the connections of a process that is killed: with a reset
   if closing is abortive, otherwise in order. */
static void
set_abortive_close (const struct exchange *x, bool is_abortive)
{
  const struct linger linger = { .l_onoff = is_abortive };
  setsockopt (x->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static ssize_t
read_response_body (void *owner, uint64_t position, char *data, size_t size)
{
  struct exchange *x = owner;
  const size_t read_bytes = stream_buffer_read (&x->response_body, data, size);
  if (read_bytes > 0)
    {
      x->last_read_us = clock_now_us ();
      if (x->attempt.caller_was_slow)
        exchange_schedule_run (x);
      return (ssize_t)read_bytes;
    }
  if (x->response_truncated || x->caller_disconnected)
    {
      if (x->head.http_1_0)
        reset_connection (x);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  if (x->response_body.is_complete)
    {
      if (x->head.http_1_0)
        set_abortive_close (x, false);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  suspend_connection (x);
  return 0;
}

static uint64_t
response_body_bytes (const struct exchange *x)
{
  if (x->attempt.length_bytes >= 0)
    return (uint64_t)x->attempt.length_bytes;
  if (x->response_body.is_complete && strcmp (x->head.method, "HEAD") != 0)
    return stream_buffer_pending_bytes (&x->response_body);
  return MHD_SIZE_UNKNOWN;
}

/* The end of the connection is that of the body. */
static bool
ends_with_connection (const struct exchange *x)
{
  return x->head.http_1_0 && response_body_bytes (x) == MHD_SIZE_UNKNOWN
         && strcmp (x->head.method, "HEAD") != 0
         && x->attempt.status != MHD_HTTP_NOT_MODIFIED;
}

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  char spaced[HEADER_VALUE_SIZE];
  const char *tab = strchr (value, '\t');
  /* The library rejects tabs, which are equivalent to spaces here. */
  if (tab != NULL && strlen (value) < sizeof spaced)
    {
      snprintf (spaced, sizeof spaced, "%s", value);
      for (char *c = spaced; *c != '\0'; c++)
        if (*c == '\t')
          *c = ' ';
      value = spaced;
    }
  MHD_add_response_header (response, name, value);
}

static bool
closes_connection (const struct exchange *x)
{
  return x->context->leaving || http_connections_is_ending (x->connection)
         || caller_server_is_near_connection_limit (x->context->server);
}

static void
add_connection_header (struct MHD_Response *response, const struct exchange *x)
{
  char keep_alive[KEEP_ALIVE_SIZE];
  const uint32_t seconds = host_settings_keep_alive_s (x->context->settings);
  if (closes_connection (x))
    MHD_add_response_header (response, "Connection", "close");
  else if (seconds > 0)
    {
      snprintf (keep_alive, sizeof keep_alive, "timeout=%u", seconds);
      MHD_add_response_header (response, "Keep-Alive", keep_alive);
    }
}

static void
add_headers (struct MHD_Response *response, struct exchange *x)
{
  struct header_list *headers = &x->attempt.headers;
  header_list_remove_hop_by_hop (headers);
  if (!x->attempt.is_relay)
    header_list_remove_prefix (headers, "Jaystair-");
  for (size_t i = 0; i < headers->count; i++)
    add_header (response, header_list_name (headers, i),
                header_list_value (headers, i));
  /* The host that passed the request on doesn't know the target. */
  if (!x->attempt.is_relay && x->head.is_forwarded
      && response_check_is_leaving (x))
    MHD_add_response_header (response, response_check_leaving_field,
                             x->attempt.target);
  const char *outcome = x->context->interface->outcome;
  if (!x->attempt.is_relay && outcome != NULL)
    MHD_add_response_header (response, outcome,
                             request_outcome_name (REQUEST_OUTCOME_RAN));
  add_connection_header (response, x);
}

static struct MHD_Response *
create_target_response (struct exchange *x)
{
  const uint32_t status = x->attempt.status;
  struct MHD_Response *response;
  if (status == MHD_HTTP_NO_CONTENT)
    response = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  else
    response = MHD_create_response_from_callback (response_body_bytes (x),
                                                  RESPONSE_BLOCK_BYTES,
                                                  read_response_body, x, NULL);
  if (status != MHD_HTTP_NO_CONTENT && ends_with_connection (x))
    set_abortive_close (x, true);
  add_headers (response, x);
  return response;
}

/* The id of the request, as targets repeat it; NULL: none. */
static const char *
id_to_echo (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  return interface->targets_echo_request_id
             ? header_list_find (&x->head.headers, interface->request_id)
             : NULL;
}

static struct MHD_Response *
create_local_response (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  struct MHD_Response *response
      = local_response_create (&x->local_response, interface, false);
  add_connection_header (response, x);
  const char *id = id_to_echo (x);
  if (id != NULL)
    MHD_add_response_header (response, interface->request_id, id);
  if (exchange_indirect_is_requested (x))
    MHD_add_response_header (response, exchange_indirect_unreached_field, "1");
  if (x->targets_unreached && x->head.is_forwarded)
    MHD_add_response_header (response, exchange_forward_unreached_field, "1");
  return response;
}

static enum MHD_Result
queue_response (struct exchange *x)
{
  const bool is_local = x->state == EXCHANGE_LOCAL_RESPONSE;
  struct MHD_Response *response
      = is_local ? create_local_response (x) : create_target_response (x);
  const uint32_t status
      = is_local ? x->local_response.status : x->attempt.status;
  x->response_queued = true;
  const enum MHD_Result result
      = MHD_queue_response (x->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
refuse_large_body (struct exchange *x)
{
  exchange_cancel_attempt (x, ATTEMPT_CANCELLED);
  struct local_response response
      = { .status = MHD_HTTP_CONTENT_TOO_LARGE, .reason = "body-too-large" };
  strcpy (response.message,
          "the body is larger than the service takes: send less");
  exchange_respond_locally (x, &response);
}

static enum MHD_Result
receive_upload (struct exchange *x, const char *data, size_t *size)
{
  if (discards_upload (x))
    {
      *size = 0;
      return MHD_YES;
    }
  const size_t accepted = stream_buffer_append (&x->upload, data, *size);
  x->upload_bytes += accepted;
  body_prefix_append (&x->body_prefix, data, accepted);
  if (x->service != NULL
      && x->upload_bytes > x->service->spec->limits.body_bytes)
    {
      refuse_large_body (x);
      *size = 0;
      return MHD_YES;
    }
  *size -= accepted;
  exchange_schedule_run (x);
  if (*size > 0)
    suspend_connection (x);
  return MHD_YES;
}

enum MHD_Result
exchange_on_request (struct exchange *x, const char *upload_data,
                     size_t *upload_data_size)
{
  if (x->caller_disconnected || x->state == EXCHANGE_FINISHED)
    return MHD_NO;
  if (*upload_data_size > 0)
    return receive_upload (x, upload_data, upload_data_size);
  if (!x->upload_complete)
    {
      x->upload_complete = true;
      x->upload.is_complete = true;
      x->upload_end_ms = clock_now_ms ();
      exchange_schedule_run (x);
      /* A connection that is suspended now would be read when it is resumed,
         and closed at the end of what its caller sends.  From its next call
         on, the library takes the response first. */
      if (!x->raw_response_sent && !has_response (x))
        {
          mhd_loop_wake (x->context->mhd_loop);
          return MHD_YES;
        }
    }
  if (x->raw_response_sent)
    return MHD_NO;
  if (has_response (x))
    return queue_response (x);
  suspend_connection (x);
  return MHD_YES;
}

void
exchange_send_raw_response (struct exchange *x)
{
  char text[LOCAL_RESPONSE_TEXT_SIZE];
  const size_t size = local_response_format (
      &x->local_response, x->context->interface, id_to_echo (x), text);
  const ssize_t sent = send (x->fd, text, size, MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)sent;
  shutdown (x->fd, SHUT_WR);
  x->raw_response_sent = true;
  exchange_resume_connection (x);
}
