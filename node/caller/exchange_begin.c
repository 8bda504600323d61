#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/status.h"
#include "node/caller/exchange.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_ticket.h"

enum
{
  US_PER_MS = 1000
};

/* Refuse what no target has seen. */
static void
refuse (struct exchange *x, uint32_t status, const char *reason,
        const char *message)
{
  struct own_answer own
      = { .status = status, .outcome = ANSWER_NOT_RUN, .reason = reason };
  snprintf (own.message, sizeof own.message, "%s", message);
  exchange_answer_own (x, &own);
}

static bool
find_route (struct exchange *x)
{
  const uint32_t method = route_method_bit (x->head.method);
  const struct route *route = route_table_match (
      x->context->routes, x->head.host, x->head.path, method);
  if (route == NULL)
    {
      char message[OWN_ANSWER_MESSAGE_SIZE];
      snprintf (message, sizeof message,
                "no route takes %.16s %.100s: check host, path and method",
                x->head.method, x->head.path);
      refuse (x, MHD_HTTP_NOT_FOUND, "no-route", message);
      return false;
    }
  x->service = caller_context_service (x->context, route->service);
  caller_service_use (x->service);
  x->repeatable = route->spec.repeatable;
  snprintf (x->route, sizeof x->route, "%.63s", route->spec.path_prefix);
  return true;
}

static bool
check_limits (struct exchange *x)
{
  const uint32_t head_bytes = x->context->settings->limits.header_bytes;
  const uint32_t body_bytes = x->service->spec->limits.body_bytes;
  char message[OWN_ANSWER_MESSAGE_SIZE];
  if (x->head.head_bytes > head_bytes)
    {
      snprintf (message, sizeof message,
                "the request's head is larger than %u bytes: send fewer or "
                "shorter fields",
                head_bytes);
      refuse (x, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-large",
              message);
      return false;
    }
  if (x->head.body == REQUEST_BODY_SIZED && x->head.body_bytes > body_bytes)
    {
      snprintf (message, sizeof message,
                "the body is larger than the service's %u bytes: send less",
                body_bytes);
      refuse (x, MHD_HTTP_CONTENT_TOO_LARGE, "body-too-large", message);
      return false;
    }
  return true;
}

static bool
set_deadline (struct exchange *x)
{
  int64_t left_ms = x->head.deadline_ms;
  if (left_ms < 0)
    left_ms = x->service->spec->limits.timeout_ms;
  x->deadline_us = clock_now_us () + left_ms * US_PER_MS;
  if (left_ms > 0)
    return true;
  refuse (x, MHD_HTTP_GATEWAY_TIMEOUT, "deadline",
          "the request came with no time left: send it with more");
  return false;
}

void
exchange_begin (struct exchange *x, const char *method, const char *version)
{
  x->state = EXCHANGE_WAITING;
  exchange_count (x);
  const enum status status
      = request_head_read (&x->head, x->connection, x->uri, method, version);
  if (status != STATUS_OK)
    {
      refuse (x, MHD_HTTP_BAD_REQUEST, "bad-request", status_message ());
      return;
    }
  if (!find_route (x) || !check_limits (x) || !set_deadline (x))
    return;
  exchange_arm (x, x->deadline_us - clock_now_us ());
  const bool by_ticket = !x->repeatable && x->head.ticket[0] != '\0';
  if (by_ticket && !exchange_ticket_claim (x))
    return;
  exchange_admit (x);
}
