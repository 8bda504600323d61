#define LOG_MODULE "caller"

#include "node/caller/target_limits.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/exchange.h"
#include "policy/limit/limit_text.h"

enum
{
  US_PER_MS = 1000,
  STATUS_ERROR_MIN = 400,
  REFRESH_ROWS_MAX = 64,
  LOGGED_VALUE_SIZE = 32,
};

static const double REFRESH_INTERVAL_S = 2.0;

static void
announce_limits (const struct caller_context *context, const char *service,
                 const struct limit_row *rows, size_t count,
                 enum limit_recipients to)
{
  struct bus_message message = { .topic = BUS_LIMITS_ANNOUNCED,
                                 .limits = { .count = count, .to = to } };
  snprintf (message.limits.service, sizeof message.limits.service, "%s",
            service);
  message.limits.rows = xcalloc (count, sizeof *rows);
  memcpy (message.limits.rows, rows, count * sizeof *rows);
  bus_post (context->bus, &message);
}

static struct limit_row
limit_row_of (const struct caller_target *target)
{
  const int64_t ago_us = clock_now_us () - target->limit.sent_us;
  return (struct limit_row){
    .target = target->key,
    .rate_millis = target->limit.rate_millis,
    .sent_ago_ms = ago_us < (int64_t)UINT32_MAX * US_PER_MS
                       ? (uint32_t)(ago_us / US_PER_MS)
                       : UINT32_MAX,
  };
}

static void
apply_change (const struct caller_context *context,
              struct caller_service *service, uint32_t index, bool is_own)
{
  const struct caller_target *target = &service->targets[index];
  const struct limit_row row = limit_row_of (target);
  LOG_INFO ("target-limit", LOG_STR ("service", service->name),
            LOG_STR ("target", service->spec->targets[index].name),
            LOG_INT ("limit_millis", row.rate_millis),
            LOG_STR ("source", is_own ? "answer" : "heard"));
  if (is_own)
    announce_limits (context, service->name, &row, 1, LIMIT_TO_SET);
  announce_limits (context, service->name, &row, 1, LIMIT_TO_RANDOM_FEW);
  caller_service_apply_limits (service);
}

static void
log_invalid_limit (const struct exchange *x, const char *text)
{
  char shown[LOGGED_VALUE_SIZE];
  const char *value = shown;
  snprintf (shown, sizeof shown, "%s", text);
  LOG_WARN ("limit-refused", LOG_STR ("service", x->service->name),
            LOG_STR ("target", x->attempt.target), LOG_STR ("value", value),
            LOG_STR ("remedy", "send a decimal number of requests a second "
                               "above 0"));
}

/* Reads the lowest valid limit of the response, which may have several fields.
   *IS_PRESENT is set if there is any field, valid or not.
   @return 0 if there is no valid limit */
static uint32_t
read_limit (const struct exchange *x, bool *is_present)
{
  const struct header_list *headers = &x->attempt.headers;
  const char *name = x->context->interface->target_limit;
  uint32_t lowest = 0;
  *is_present = false;
  for (size_t i = 0; name != NULL && i < headers->count; i++)
    {
      uint32_t rate_millis;
      if (!header_name_matches (header_list_name (headers, i), name))
        continue;
      *is_present = true;
      if (!limit_text_parse (header_list_value (headers, i), &rate_millis))
        log_invalid_limit (x, header_list_value (headers, i));
      else if (lowest == 0 || rate_millis < lowest)
        lowest = rate_millis;
    }
  return lowest;
}

void
target_limits_update_from_answer (const struct exchange *x)
{
  const uint32_t index
      = caller_service_find_target (x->service, x->attempt.key);
  if (index == POLICY_NO_TARGET || x->context->interface->target_limit == NULL)
    return;
  struct limit_state *limit = &x->service->targets[index].limit;
  const int64_t sent_us = x->attempt.started_us;
  bool is_present;
  const uint32_t rate_millis = read_limit (x, &is_present);
  /* An invalid value leaves the current limit in force. */
  const bool changes
      = rate_millis > 0 ? limit_state_note_answer (limit, rate_millis, sent_us)
                        : !is_present && x->attempt.status < STATUS_ERROR_MIN
                              && limit_state_note_missing (
                                  limit, clock_now_us (), sent_us);
  if (changes)
    apply_change (x->context, x->service, index, true);
}

void
target_limits_receive (struct caller_context *context,
                       const struct bus_limits *received)
{
  struct caller_service *service
      = caller_context_service (context, received->service);
  for (size_t i = 0; service != NULL && i < received->count; i++)
    {
      const struct limit_row *row = &received->rows[i];
      const uint32_t index = caller_service_find_target (service, row->target);
      const int64_t sent_us
          = clock_now_us () - (int64_t)row->sent_ago_ms * US_PER_MS;
      if (index != POLICY_NO_TARGET
          && limit_state_note_reported (&service->targets[index].limit,
                                        row->rate_millis, sent_us))
        apply_change (context, service, index, false);
    }
}

static void
refresh_service (const struct caller_context *context,
                 const struct caller_service *service)
{
  struct limit_row rows[REFRESH_ROWS_MAX];
  size_t count = 0;
  for (size_t i = 0; service->spec != NULL && i < service->spec->target_count
                     && count < REFRESH_ROWS_MAX;
       i++)
    if (service->targets[i].limit.sent_us != 0)
      rows[count++] = limit_row_of (&service->targets[i]);
  if (count > 0)
    announce_limits (context, service->name, rows, count, LIMIT_TO_RANDOM_ONE);
}

/* Periodic resend for hosts that were partitioned or have just started. */
static void
on_refresh (struct ev_loop *loop, ev_timer *timer, int events)
{
  const struct caller_context *context = timer->data;
  for (const struct caller_service *service = context->services;
       service != NULL; service = service->hh.next)
    refresh_service (context, service);
}

void
target_limits_start (struct caller_context *context)
{
  ev_timer_init (&context->limit_refresh_timer, on_refresh, REFRESH_INTERVAL_S,
                 REFRESH_INTERVAL_S);
  context->limit_refresh_timer.data = context;
  ev_timer_start (context->loop, &context->limit_refresh_timer);
}

void
target_limits_stop (struct caller_context *context)
{
  ev_timer_stop (context->loop, &context->limit_refresh_timer);
}
