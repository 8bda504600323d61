#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "node/caller/exchange.h"
#include "node/caller/exchange_access.h"
#include "node/caller/exchange_admit.h"
#include "node/caller/exchange_caller.h"
#include "node/caller/exchange_contact.h"
#include "node/caller/exchange_forward.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/exchange_leave.h"
#include "node/caller/exchange_poison.h"
#include "node/caller/exchange_quota.h"
#include "node/caller/exchange_ticket.h"
#include "node/caller/reach_check.h"
#include "node/caller/response_room.h"

enum
{
  US_PER_MS = 1000,
  /* A starting host usually receives its settings within a second. */
  SETTINGS_RETRY_AFTER_MS = 500,
  /* Since the start of the process. */
  SETTINGS_WAIT_MAX_US = 1000 * US_PER_MS,
  /* After the first service, others follow within this time. */
  SERVICES_SETTLE_US = 100 * US_PER_MS,
  /* The path is probed again within this time. */
  CUT_RETRY_AFTER_MS = 250
};

static void
refuse_unrouted (struct exchange *x)
{
  char message[LOCAL_RESPONSE_MESSAGE_SIZE];
  snprintf (message, sizeof message,
            "no route takes %.16s %.100s: check host, path and method",
            x->head.method, x->head.path);
  exchange_refuse (x, MHD_HTTP_NOT_FOUND, "no-route", 0, message);
}

/* A newly started host that doesn't know a route, or the targets of its
   service, yet must not respond with "not found", which callers treat as
   final. */
static void
refuse_not_configured (struct exchange *x, const char *reason)
{
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, reason,
                   SETTINGS_RETRY_AFTER_MS,
                   "this host doesn't know its settings yet: come back after "
                   "the time given or ask another one");
}

static void
apply_route (struct exchange *x, const struct route *route)
{
  const struct service_limits *limits = &x->service->spec->limits;
  caller_service_ref (x->service);
  x->repeatable = route->spec.repeatable;
  x->timeout_ms
      = route->timeout_ms > 0 ? route->timeout_ms : limits->timeout_ms;
  x->attempts_max = route->attempts > 0 ? route->attempts : limits->attempts;
  x->has_route_timeout = route->timeout_ms > 0;
  x->attempt_count = x->head.attempts;
  x->needs_key = !route->is_open;
  x->route_priority = route->priority;
  if (route->latency_goal_ms > 0)
    x->goal_us = x->started_us + (int64_t)route->latency_goal_ms * US_PER_MS;
  snprintf (x->route, sizeof x->route, "%.63s", route->spec.path_prefix);
  memcpy (x->route_host, route->spec.host, sizeof x->route_host);
}

/* A newly started host usually receives its settings within a tenth of a
   second.  Waiting is better than a refusal, since callers may not retry. */
static void
wait_for_settings (struct exchange *x)
{
  const struct caller_context *context = x->context;
  const int64_t remaining_us
      = context->started_us + SETTINGS_WAIT_MAX_US - clock_now_us ();
  if (remaining_us > 0)
    exchange_wait_for (x, EXCHANGE_WAIT_SETTINGS, remaining_us);
  else
    refuse_not_configured (x, "no-settings");
}

/* A host that gets its services one by one may have started too recently to
   know the route of X. */
static void
handle_unrouted (struct exchange *x)
{
  const struct caller_context *context = x->context;
  const bool has_service = context->first_service_us > 0;
  const int64_t known_us = has_service
                               ? context->first_service_us + SERVICES_SETTLE_US
                               : context->started_us + SETTINGS_WAIT_MAX_US;
  const int64_t remaining_us = known_us - clock_now_us ();
  if (context->settings->modes.has_registry
      || (has_service && remaining_us <= 0))
    refuse_unrouted (x);
  else if (remaining_us > 0)
    exchange_wait_for (x, EXCHANGE_WAIT_SETTINGS, remaining_us);
  else
    refuse_not_configured (x, "no-settings");
}

static void
note_config (struct exchange *x)
{
  const struct caller_context *context = x->context;
  x->config_version = context->config != NULL ? context->config->version
                                              : x->service->spec->version;
  x->config_age_ms = freshness_age_ms (&context->freshness, clock_now_ms ());
  if (x->config_age_ms != FRESHNESS_AGE_UNKNOWN_MS)
    counter_observe (context->counters.config_age,
                     (int64_t)x->config_age_ms * US_PER_MS);
}

/* Finds the service of X in the configuration in force.  Returns false if X
   was refused or waits. */
static bool
find_service (struct exchange *x)
{
  const struct caller_context *context = x->context;
  if (context->settings->modes.has_registry && context->config == NULL)
    {
      wait_for_settings (x);
      return false;
    }
  if (!exchange_contact_check (x))
    return false;
  const uint32_t method = route_method_bit (x->head.method);
  const struct route *route = route_table_match (context->routes, x->head.host,
                                                 x->head.path, method);
  if (route == NULL)
    {
      handle_unrouted (x);
      return false;
    }
  const char *service = exchange_indirect_service (x, route);
  if (service == NULL)
    service = route_select_service (route);
  x->service = caller_context_service (context, service);
  if (x->service == NULL)
    {
      refuse_not_configured (x, "no-service");
      return false;
    }
  apply_route (x, route);
  note_config (x);
  return true;
}

static bool
check_limits (struct exchange *x)
{
  const struct fleet_config *config = x->context->config;
  const uint32_t head_bytes = config != NULL
                                  ? config->limits.header_bytes
                                  : x->context->settings->limits.header_bytes;
  const uint32_t body_bytes = x->service->spec->limits.body_bytes;
  char message[LOCAL_RESPONSE_MESSAGE_SIZE];
  if (x->head.head_bytes > head_bytes)
    {
      snprintf (message, sizeof message,
                "the request's head is larger than %u bytes: send fewer or "
                "shorter fields",
                head_bytes);
      exchange_refuse (x, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                       "head-too-large", 0, message);
      return false;
    }
  if (x->head.body == REQUEST_BODY_SIZED && x->head.body_bytes > body_bytes)
    {
      snprintf (message, sizeof message,
                "the body is larger than the service's %u bytes: send less",
                body_bytes);
      exchange_refuse (x, MHD_HTTP_CONTENT_TOO_LARGE, "body-too-large", 0,
                       message);
      return false;
    }
  return true;
}

static bool
set_deadline (struct exchange *x)
{
  int64_t remaining_ms = x->head.deadline_ms;
  if (remaining_ms < 0
      || (x->has_route_timeout && x->timeout_ms < remaining_ms))
    remaining_ms = x->timeout_ms;
  x->deadline_us = x->started_us + remaining_ms * US_PER_MS;
  if (remaining_ms > 0)
    return true;
  exchange_refuse (x, MHD_HTTP_GATEWAY_TIMEOUT, "deadline", 0,
                   "the request came with no time left: send it with more");
  return false;
}

/* Callers that received this host's address earlier still send requests while
   it leaves.  A request that arrives too late to be finished would end in a
   closed connection without a response when the process exits.  Requests sent
   in the second half of the shutdown time are therefore refused at once, so
   that they go to other hosts. */
bool
exchange_start_refuses_all (const struct caller_context *context)
{
  return context->leaving
         && clock_now_ms () >= context->leave_times.refuse_from_ms;
}

static bool
refuse_if_leaving (struct exchange *x)
{
  if (!exchange_start_refuses_all (x->context))
    return false;
  exchange_leave_refuse (x);
  return true;
}

/* The library couldn't write any response. */
static bool
refuse_without_room (struct exchange *x)
{
  if (response_room_has_local (x))
    return false;
  exchange_refuse (x, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                   "head-too-large", 0,
                   "the request's head has too many fields, arguments or "
                   "cookies: send fewer");
  exchange_send_raw_response (x);
  return true;
}

void
exchange_start (struct exchange *x, const char *method, const char *version)
{
  x->state = EXCHANGE_WAITING;
  exchange_count_in_flight (x);
  const enum status status = request_head_read (
      &x->head, x->context->interface, x->connection, x->uri, method, version);
  if (refuse_without_room (x))
    return;
  if (status != STATUS_OK)
    {
      exchange_refuse (x, MHD_HTTP_BAD_REQUEST, "bad-request", 0,
                       status_message ());
      return;
    }
  if (x->head.may_have_run)
    run_record_note_host (&x->run_record);
  if (refuse_if_leaving (x))
    return;
  x->deadline_us = x->started_us + SETTINGS_WAIT_MAX_US;
  exchange_check_and_admit (x);
}

/* An attempt of this host would wait for its deadline. */
static bool
refuse_if_cut (struct exchange *x)
{
  if (!reach_check_is_silent (x->context->reach_check)
      && !exchange_forward_is_useless (x))
    return false;
  x->targets_unreached = true;
  struct local_response response = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
                                     .reason = "cut-from-targets",
                                     .retry_after_ms = CUT_RETRY_AFTER_MS };
  strcpy (response.message,
          "this host can't reach any target now: come back after the time "
          "given, or use another host");
  exchange_respond_locally (x, &response);
  return true;
}

void
exchange_check_and_admit (struct exchange *x)
{
  if (x->service == NULL)
    {
      if (!find_service (x) || !set_deadline (x))
        return;
      exchange_set_timer (x, x->deadline_us - clock_now_us ());
    }
  if (!exchange_access_check (x) || !check_limits (x)
      || !exchange_leave_check (x))
    return;
  const bool needs_ticket
      = !x->repeatable && x->head.ticket[0] != '\0' && !x->ticket_claimed;
  if (!needs_ticket && (exchange_forward (x) || refuse_if_cut (x)))
    return;
  if (!exchange_poison_check (x) || !exchange_quota_check (x))
    return;
  if (needs_ticket && !exchange_ticket_claim (x))
    return;
  exchange_admit (x);
}
