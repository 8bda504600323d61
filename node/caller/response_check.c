#define LOG_MODULE "caller"

#include "node/caller/response_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/decimal.h"
#include "base/log.h"
#include "node/caller/response_room.h"

const char response_check_leaving_field[] = "Jaystair-Leaving-Target";

enum
{
  MS_PER_SECOND = 1000,
  KEEP_ALIVE_MAX_S = 24 * 60 * 60,
  RETRY_AFTER_MAX_MS = 60 * 60 * 1000
};

static bool
is_rejection_status (uint32_t status)
{
  return status == MHD_HTTP_TOO_MANY_REQUESTS
         || status == MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Only an explicit statement of the target shows that a request was not run.
   With a status that isn't one of rejections the response contradicts itself:
   a target's own 500 or 504 is one of a request that it has run. */
bool
response_check_is_shed (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  const char *not_run
      = header_list_find (&x->attempt.headers, interface->not_run);
  const uint32_t status = x->attempt.status;
  if (status == MHD_HTTP_MISDIRECTED_REQUEST)
    return interface->intended_target != NULL;
  if (not_run == NULL)
    return false;
  if (interface->not_run_value != NULL)
    return strcasecmp (not_run, interface->not_run_value) == 0
           && is_rejection_status (status);
  return is_rejection_status (status) || status == MHD_HTTP_BAD_REQUEST;
}

void
response_check_store_retry_after (struct exchange *x)
{
  const struct header_list *headers = &x->attempt.headers;
  const char *name = x->context->interface->retry_after_ms;
  const char *exact = name != NULL ? header_list_find (headers, name) : NULL;
  const char *seconds = header_list_find (headers, "Retry-After");
  uint32_t retry_ms = 0;
  if (exact != NULL)
    {
      const long long exact_ms = strtoll (exact, NULL, 10);
      if (exact_ms >= 0 && exact_ms <= RETRY_AFTER_MAX_MS)
        x->target_retry_after_ms = (uint32_t)exact_ms;
    }
  else if (seconds != NULL
           && decimal_parse_millis (seconds, RETRY_AFTER_MAX_MS, &retry_ms))
    x->target_retry_after_ms = retry_ms;
}

static bool
says_leaving (const struct exchange *x)
{
  const char *name = x->context->interface->leaving;
  const char *leaving
      = name != NULL ? header_list_find (&x->attempt.headers, name) : NULL;
  return leaving != NULL && strcmp (leaving, "1") == 0;
}

static void
set_leaving (struct exchange *x, uint32_t target)
{
  const struct caller_target *state = &x->service->targets[target];
  if (!state->leaving)
    LOG_INFO ("target-leaving", LOG_STR ("id", x->head.id),
              LOG_STR ("service", x->service->name),
              LOG_STR ("target", x->service->spec->targets[target].name),
              LOG_STR ("source", "answer"));
  if (x->context->interface->leaving_is_final)
    caller_service_set_left (x->service, state->key);
  else
    caller_service_set_leaving (x->service, state->key, true);
}

/* Another target may answer at an address that is used again. */
static void
update_leaving (struct exchange *x)
{
  const uint32_t target
      = caller_service_find_target (x->service, x->attempt.key);
  if (says_leaving (x) && x->attempt.status != MHD_HTTP_MISDIRECTED_REQUEST
      && target != POLICY_NO_TARGET)
    set_leaving (x, target);
}

bool
response_check_is_leaving (const struct exchange *x)
{
  const uint32_t target
      = caller_service_find_target (x->service, x->attempt.key);
  return target != POLICY_NO_TARGET && x->service->targets[target].leaving;
}

void
response_check_update_chosen_target (struct exchange *x)
{
  const char *name
      = header_list_find (&x->attempt.headers, response_check_leaving_field);
  for (uint32_t i = 0; name != NULL && i < x->service->spec->target_count; i++)
    if (strcmp (x->service->spec->targets[i].name, name) == 0)
      set_leaving (x, i);
  header_list_remove (&x->attempt.headers, response_check_leaving_field);
}

/* Of another host's response it would be that host which is to rest. */
static void
update_rest (struct exchange *x)
{
  const char *name = x->context->interface->rest;
  const char *text
      = name != NULL ? header_list_find (&x->attempt.headers, name) : NULL;
  uint32_t rest_ms;
  if (text == NULL || x->attempt.status != MHD_HTTP_SERVICE_UNAVAILABLE
      || x->attempt.is_indirect
      || !decimal_parse_millis (text, RETRY_AFTER_MAX_MS, &rest_ms))
    return;
  LOG_INFO ("target-rests", LOG_STR ("id", x->head.id),
            LOG_STR ("service", x->service->name),
            LOG_STR ("target", x->attempt.target),
            LOG_INT ("rest_ms", rest_ms));
  caller_service_set_rest (x->service, x->attempt.key, rest_ms);
}

/* Parses `Keep-Alive: timeout=10`, in seconds.  Another host names its own. */
static void
update_idle_timeout (struct exchange *x)
{
  if (x->attempt.is_indirect)
    return;
  const char *keep_alive
      = header_list_find (&x->attempt.headers, "Keep-Alive");
  const char *timeout
      = keep_alive != NULL ? strstr (keep_alive, "timeout=") : NULL;
  if (timeout == NULL)
    return;
  const long seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds > 0 && seconds < KEEP_ALIVE_MAX_S)
    caller_service_set_idle_timeout (x->service, x->attempt.key,
                                     (uint32_t)seconds * MS_PER_SECOND);
}

void
response_check_update_target (struct exchange *x)
{
  update_leaving (x);
  update_rest (x);
  update_idle_timeout (x);
}

/* If libmicrohttpd can't write the whole head, it closes the caller's
   connection without a response. */
bool
response_check_is_too_large (const struct exchange *x)
{
  return x->attempt.headers.used_bytes
             > x->context->settings->limits.header_bytes
         || !response_room_has_target (x);
}

static void
log_foreign (const struct exchange *x, const struct target_head *head,
             const char *id, const char *why)
{
  char shown[REQUEST_ID_SIZE];
  const char *answer_id = shown;
  snprintf (shown, sizeof shown, "%s", id != NULL ? id : "");
  LOG_WARN ("answer-rejected", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("service", x->service->name),
            LOG_STR ("target", x->attempt.target),
            LOG_INT ("attempt", x->attempt_count),
            LOG_INT ("status", head->status), LOG_STR ("answer_id", answer_id),
            LOG_INT ("new_connection", head->is_first_on_connection),
            LOG_STR ("why", why));
  caller_counters_add (x->context->counters.foreign_answers, x->service->name,
                       NULL);
}

static bool
has_only_id (const struct header_list *headers, const char *name,
             const char *expected)
{
  for (size_t i = 0; i < headers->count; i++)
    if (strcasecmp (header_list_name (headers, i), name) == 0
        && strcmp (header_list_value (headers, i), expected) != 0)
      return false;
  return true;
}

/* Targets answer requests that they can't read without an id.  On a connection
   that has carried other requests, such an answer may be to one of these. */
static const char *
check_id (const struct exchange *x, const struct target_head *head,
          const char *id)
{
  const char *name = x->context->interface->request_id;
  const char *expected = header_list_find (&x->head.headers, name);
  const bool is_success = head->status < MHD_HTTP_MULTIPLE_CHOICES;
  if (id == NULL)
    return is_success || !head->is_first_on_connection
               ? "the answer doesn't say to which request"
               : NULL;
  return expected == NULL || !has_only_id (head->headers, name, expected)
             ? "the answer is another request's"
             : NULL;
}

/* Bytes on a reused connection may belong to the response to another request
   or come from no target at all: they arrive late, after their request was
   cancelled, or after a first response. */
const char *
response_check_origin (const struct exchange *x,
                       const struct target_head *head)
{
  const struct caller_interface *interface = x->context->interface;
  const char *id = header_list_find (head->headers, interface->request_id);
  const bool is_success = head->status < MHD_HTTP_MULTIPLE_CHOICES;
  const char *error = NULL;
  if (interface->targets_echo_request_id)
    error = check_id (x, head, id);
  if (error == NULL && is_success && interface->signature != NULL
      && header_list_find (head->headers, interface->signature) == NULL)
    error = "the answer bears no signature";
  if (error != NULL)
    log_foreign (x, head, id, error);
  return error;
}

const char *
response_check_error (const struct exchange *x)
{
  return x->context->interface->rejects_content_coding
                 && header_list_find (&x->attempt.headers, "Content-Encoding")
                        != NULL
             ? "the answer's body is coded"
             : NULL;
}

/* Callers take these statuses for "not run and never will be", which no target
   has stated. */
bool
response_check_is_unsigned_refusal (const struct exchange *x)
{
  switch (x->attempt.status)
    {
    case MHD_HTTP_REQUEST_TIMEOUT:
    case MHD_HTTP_MISDIRECTED_REQUEST:
    case MHD_HTTP_TOO_MANY_REQUESTS:
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      return x->context->interface->signature != NULL;
    default:
      return false;
    }
}
