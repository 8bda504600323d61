#define LOG_MODULE "caller"

#include "node/caller/decision_log.h"

#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/exchange_admit.h"

static void
log_and_store (struct exchange *x, const char *verdict, const char *target,
               const char *reason)
{
  struct decision *entry = decision_ring_add (&x->context->decisions);
  const uint32_t attempt = x->attempt_count + 1;
  entry->time_ms = clock_now_ms ();
  entry->request_id = x->id;
  entry->attempt = attempt;
  snprintf (entry->service, sizeof entry->service, "%s", x->service->name);
  snprintf (entry->route, sizeof entry->route, "%s", x->route);
  snprintf (entry->target, sizeof entry->target, "%s", target);
  snprintf (entry->verdict, sizeof entry->verdict, "%s", verdict);
  snprintf (entry->reason, sizeof entry->reason, "%s", reason);
  const char *service = x->service->name;
  const char *route = x->route;
  const char *id = x->head.id;
  LOG_INFO ("route", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_STR ("route", route), LOG_INT ("request", x->id),
            LOG_INT ("attempt", attempt), LOG_STR ("verdict", verdict),
            LOG_STR ("target", target), LOG_STR ("why", reason),
            LOG_STR ("workspace", x->workspace),
            LOG_INT ("precedence", exchange_precedence (x)));
}

void
decision_count_precedence (const struct exchange *x, enum policy_reason reason)
{
  if (reason == POLICY_REASON_DISPLACED
      || reason == POLICY_REASON_RETRY_RESERVED)
    caller_counters_add (x->context->counters.precedence, x->service->name,
                         policy_reason_name (reason));
}

void
decision_log (struct exchange *x, const struct policy_decision *decision)
{
  static const char *const verdicts[] = { [POLICY_SEND] = "send",
                                          [POLICY_QUEUE] = "queue",
                                          [POLICY_REFUSE] = "refuse" };
  const char *target = "-";
  if (decision->verdict == POLICY_SEND)
    target = x->service->spec->targets[decision->target].name;
  if (decision->reason == POLICY_REASON_WORKING_SET)
    caller_counters_add (x->context->counters.working_set, x->service->name,
                         NULL);
  log_and_store (x, verdicts[decision->verdict], target,
                 policy_reason_name (decision->reason));
  decision_count_precedence (x, decision->reason);
}

void
decision_log_relay (struct exchange *x, const char *host)
{
  log_and_store (x, "relay", host, "ticket-of-that-host");
}

void
decision_log_forward (struct exchange *x, const char *host)
{
  log_and_store (x, "relay", host, "cut-from-targets");
}

void
decision_log_failure_forwarded (const struct exchange *x,
                                const struct policy_decision *decision)
{
  const char *service = x->service->name;
  const char *route = x->route;
  const char *id = x->head.id;
  const char *reason = policy_reason_name (decision->reason);
  LOG_INFO ("failure-passed-on", LOG_STR ("id", id),
            LOG_STR ("service", service), LOG_STR ("route", route),
            LOG_INT ("request", x->id), LOG_INT ("attempts", x->attempt_count),
            LOG_STR ("why", reason),
            LOG_INT ("precedence", exchange_precedence (x)));
  decision_count_precedence (x, decision->reason);
}
