#include "node/caller/exchange_send.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "node/caller/decision_log.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/exchange_timeout.h"
#include "node/caller/reach_check.h"
#include "node/caller/response_check.h"

enum
{
  US_PER_MS = 1000,
  MS_PER_SECOND = 1000,
  CURL_IDLE_AGE_UNIT_MS = 1000, /* libcurl's unit of idle time */
  IDLE_MARGIN_DENOMINATOR = 4,
  IDLE_MARGIN_NUMERATOR = 3,
  DEADLINE_FIELD_SIZE = 64,
  NAME_FIELD_SIZE = SERVICE_NAME_SIZE + 64,
  TICKET_FIELD_SIZE = REQUEST_TICKET_SIZE + 32,
  ATTEMPTS_FIELD_SIZE = 32,
  EXTRA_FIELDS_MAX = 6,
  BODY_RETRY_AFTER_MS = 100,
  /* Another host can be chosen then. */
  FORWARD_CONNECT_TIMEOUT_MS = 300
};

static void
update_upload_stall (struct exchange_attempt *attempt, bool is_stalled)
{
  const int64_t now_us = clock_now_us ();
  if (attempt->upload_stall_start_us > 0)
    attempt->upload_stall_us += now_us - attempt->upload_stall_start_us;
  attempt->upload_stall_start_us = is_stalled ? now_us : 0;
}

static size_t
on_read (void *owner, char *data, size_t size)
{
  struct exchange *x = owner;
  const size_t read_bytes = stream_buffer_read (&x->upload, data, size);
  const bool is_stalled = read_bytes == 0 && !x->upload.is_complete;
  update_upload_stall (&x->attempt, is_stalled);
  if (read_bytes > 0)
    exchange_schedule_run (x);
  return is_stalled ? TARGET_CALL_PAUSE : read_bytes;
}

static const char *
on_head (void *owner, const struct target_head *head)
{
  struct exchange *x = owner;
  struct exchange_attempt *attempt = &x->attempt;
  const char *error = response_check_origin (x, head);
  if (error != NULL)
    return error;
  attempt->head_received = true;
  attempt->response_head_us = clock_now_us ();
  attempt->status = head->status;
  attempt->length_bytes = head->length_bytes;
  attempt->on_new_connection = head->is_first_on_connection;
  attempt->is_identified
      = header_list_find (head->headers, x->context->interface->request_id)
        != NULL;
  header_list_clear (&attempt->headers);
  for (size_t i = 0; i < head->headers->count; i++)
    {
      const char *name = header_list_name (head->headers, i);
      const char *value = header_list_value (head->headers, i);
      header_list_add (&attempt->headers, name, strlen (name), value,
                       strlen (value));
    }
  if (!attempt->is_relay && !attempt->is_indirect)
    reach_check_note_contact (x->context->reach_check);
  exchange_schedule_run (x);
  return NULL;
}

static bool
on_body (void *owner, const char *data, size_t size)
{
  struct exchange *x = owner;
  x->last_progress_us = clock_now_us ();
  if (stream_buffer_free_bytes (&x->response_body) < size)
    {
      x->attempt.caller_was_slow = true;
      exchange_schedule_run (x);
      return false;
    }
  stream_buffer_append (&x->response_body, data, size);
  exchange_schedule_run (x);
  return true;
}

static void
on_end (void *owner, enum target_call_end end, const char *message)
{
  struct exchange *x = owner;
  x->attempt.call = NULL;
  x->last_progress_us = clock_now_us ();
  exchange_attempt_ended (x, end, message);
  exchange_schedule_run (x);
}

static const struct target_call_events events
    = { .read = on_read, .head = on_head, .body = on_body, .end = on_end };

/* The beginning of the body isn't held any more, so that no attempt can send
   the request as it came. */
static void
refuse_without_body (struct exchange *x)
{
  if (!x->attempt.is_relay)
    caller_service_record_outcome (x->service, x->attempt.key,
                                   ATTEMPT_CANCELLED, 0, x->repeatable);
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, "body-discarded",
                   BODY_RETRY_AFTER_MS,
                   "an attempt was lost after a part of the body had been "
                   "sent: send the request again if its outcome allows it");
}

/* Send X to ADDRESS.  The fields of the attempt that identify the target are
   set already.  Returns false if X was refused. */
static bool
send_to (struct exchange *x, const char *address, const char *const *extra)
{
  struct exchange_attempt *attempt = &x->attempt;
  const struct service_limits *limits = &x->service->spec->limits;
  if (!stream_buffer_rewind (&x->upload))
    {
      refuse_without_body (x);
      return false;
    }
  attempt->head_received = false;
  attempt->caller_was_slow = false;
  attempt->upload_stall_us = 0;
  attempt->upload_stall_start_us = 0;
  attempt->head_timeout_us = ATTEMPT_NO_TIMEOUT;
  attempt->outcome_pending = true;
  run_record_begin (&x->run_record);
  attempt->started_us = clock_now_us ();
  x->response_body.consumed_bytes = 0;
  x->response_body.used_bytes = 0;
  x->state = EXCHANGE_SENT;
  const struct target_call_options options = {
    .curl = x->context->curl,
    .events = &events,
    .owner = x,
    .address = address,
    .pool = attempt->is_relay || attempt->is_indirect ? 0 : attempt->key,
    .method = x->head.method,
    .uri = x->uri,
    .headers = &x->head.headers,
    .extra_fields = extra,
    .has_body = x->head.body != REQUEST_BODY_NONE,
    .body_bytes = x->head.body == REQUEST_BODY_SIZED ? x->head.body_bytes : -1,
    .force_new_connection = attempt->reuse_idle_max_ms < CURL_IDLE_AGE_UNIT_MS,
    .reuse_idle_max_ms = attempt->reuse_idle_max_ms,
    .connect_timeout_ms = attempt->is_forwarded ? FORWARD_CONNECT_TIMEOUT_MS
                                                : limits->connect_timeout_ms,
  };
  attempt->call = target_call_start (&options);
  return true;
}

/* Targets beyond the first ones aren't remembered, so any may have been. */
static bool
may_have_tried (const struct exchange *x, uint64_t key)
{
  for (uint32_t i = 0; i < x->tried_count; i++)
    if (x->tried_targets[i] == key)
      return true;
  return x->tried_count == POLICY_TRIED_MAX;
}

/* Whether the answer to X has another id than late answers to earlier requests
   on the connection.  All attempts of a request have the same id. */
static bool
is_identifiable (const struct exchange *x, const struct caller_target *target)
{
  return !x->context->interface->targets_echo_request_id
         || (x->head.id[0] != '\0' && !may_have_tried (x, target->key));
}

/* Only 3/4 of an idle timeout are used, because the close may cross the
   request on the way. */
static uint32_t
reuse_within (uint32_t idle_timeout_ms, uint32_t max_ms)
{
  const uint32_t reuse_ms
      = idle_timeout_ms / IDLE_MARGIN_DENOMINATOR * IDLE_MARGIN_NUMERATOR;
  return idle_timeout_ms > 0 && reuse_ms < max_ms ? reuse_ms : max_ms;
}

/* The maximum idle time of a connection that may be reused for X. */
static uint32_t
reuse_idle_max (const struct exchange *x, const struct caller_target *target)
{
  if (!is_identifiable (x, target))
    return 0;
  const struct caller_limits *limits = &x->context->settings->limits;
  const uint32_t max_ms
      = x->repeatable ? limits->reuse_idle_ms : limits->reuse_idle_once_ms;
  return reuse_within (target->idle_timeout_ms, max_ms);
}

/* The same for a connection to another host, which names the same time to its
   callers as this one. */
static uint32_t
reuse_idle_max_of_host (const struct exchange *x)
{
  const struct host_settings *settings = x->context->settings;
  return reuse_within (host_settings_keep_alive_s (settings) * MS_PER_SECOND,
                       settings->limits.reuse_idle_ms);
}

static void
format_deadline (const struct exchange *x, char text[DEADLINE_FIELD_SIZE])
{
  const int64_t remaining_ms = (x->deadline_us - clock_now_us ()) / US_PER_MS;
  snprintf (text, DEADLINE_FIELD_SIZE, "%s: %lld",
            x->context->interface->deadline_ms,
            (long long)(remaining_ms > 0 ? remaining_ms : 0));
}

void
exchange_send (struct exchange *x, uint32_t index)
{
  const struct target_spec *target = &x->service->spec->targets[index];
  struct exchange_attempt *attempt = &x->attempt;
  char deadline[DEADLINE_FIELD_SIZE];
  char named_target[NAME_FIELD_SIZE];
  char workspace[NAME_FIELD_SIZE];
  char service[NAME_FIELD_SIZE];
  const char *extra[EXTRA_FIELDS_MAX] = { deadline };
  size_t extra_count = 1;
  const struct caller_interface *interface = x->context->interface;
  const struct bus_host_entry *via = exchange_indirect_choose (x, index);
  const char *target_field
      = via != NULL ? "Jaystair-Target" : interface->intended_target;
  format_deadline (x, deadline);
  if (target_field != NULL)
    {
      snprintf (named_target, sizeof named_target, "%s: %s", target_field,
                target->name);
      extra[extra_count++] = named_target;
    }
  if (via != NULL)
    {
      snprintf (service, sizeof service, "Jaystair-Service: %s",
                x->service->name);
      extra[extra_count++] = service;
      extra[extra_count++] = "Jaystair-Relayed: 1";
    }
  if (x->workspace[0] != '\0')
    {
      snprintf (workspace, sizeof workspace, "%s: %s", interface->workspace,
                x->workspace);
      extra[extra_count++] = workspace;
    }
  attempt->key = x->service->targets[index].key;
  attempt->is_relay = false;
  attempt->is_forwarded = false;
  attempt->is_indirect = via != NULL;
  attempt->reuse_idle_max_ms
      = via != NULL ? 0 : reuse_idle_max (x, &x->service->targets[index]);
  snprintf (attempt->target, sizeof attempt->target, "%s", target->name);
  if (x->tried_count < POLICY_TRIED_MAX)
    x->tried_targets[x->tried_count++] = attempt->key;
  x->attempt_count++;
  if (x->attempt_count > 1)
    caller_counters_add (x->context->counters.retries, x->service->name, NULL);
  if (send_to (x, via != NULL ? via->caller_address : target->address, extra))
    exchange_timeout_start (x);
}

void
exchange_relay (struct exchange *x, const char *host, const char *address)
{
  char deadline[DEADLINE_FIELD_SIZE];
  char ticket[TICKET_FIELD_SIZE];
  format_deadline (x, deadline);
  snprintf (ticket, sizeof ticket, "Jaystair-Ticket: %s", x->head.ticket);
  char *credentials = NULL;
  if (x->head.credentials != NULL)
    credentials = xasprintf ("Authorization: %s", x->head.credentials);
  const char *const extra[]
      = { deadline, ticket, "Jaystair-Relayed: 1", credentials, NULL };
  x->attempt.is_relay = true;
  x->attempt.is_forwarded = false;
  x->attempt.is_indirect = false;
  x->attempt.reuse_idle_max_ms = 0;
  snprintf (x->attempt.target, sizeof x->attempt.target, "%s", host);
  decision_log_relay (x, host);
  /* The issuing host may have run the ticket before. */
  if (send_to (x, address, extra))
    run_record_note_host (&x->run_record);
  free (credentials);
}

void
exchange_send_whole (struct exchange *x, const struct bus_host_entry *host)
{
  char deadline[DEADLINE_FIELD_SIZE];
  char attempts[ATTEMPTS_FIELD_SIZE];
  const char *extra[EXTRA_FIELDS_MAX] = { deadline, "Jaystair-Forwarded: 1" };
  size_t extra_count = 2;
  char *credentials = NULL;
  format_deadline (x, deadline);
  if (x->attempt_count > 0)
    {
      snprintf (attempts, sizeof attempts, "Jaystair-Attempts: %u",
                x->attempt_count - x->unsent_count);
      extra[extra_count++] = attempts;
    }
  if (run_record_may_have_run (&x->run_record))
    extra[extra_count++] = "Jaystair-May-Have-Run: 1";
  /* Without workspaces the field is one of the caller's own. */
  if (x->head.credentials != NULL && x->context->workspaces != NULL)
    {
      credentials = xasprintf ("Authorization: %s", x->head.credentials);
      extra[extra_count++] = credentials;
    }
  x->attempt.is_relay = true;
  x->attempt.is_forwarded = true;
  x->attempt.is_indirect = false;
  x->attempt.reuse_idle_max_ms
      = x->repeatable ? reuse_idle_max_of_host (x) : 0;
  snprintf (x->attempt.target, sizeof x->attempt.target, "%s", host->name);
  decision_log_forward (x, host->name);
  caller_counters_add (x->context->counters.forwards, x->service->name, NULL);
  send_to (x, host->caller_address, extra);
  free (credentials);
}

void
exchange_unpause_attempt (struct exchange *x)
{
  const bool send
      = x->upload.is_complete || stream_buffer_pending_bytes (&x->upload) > 0;
  const bool receive
      = stream_buffer_free_bytes (&x->response_body) >= CURL_MAX_WRITE_SIZE;
  target_call_unpause (x->attempt.call, send, receive);
}
