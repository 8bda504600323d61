#define LOG_MODULE "caller"

#include "node/caller/decision_log.h"

#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"

static void
note (struct exchange *x, const char *verdict, const char *target,
      const char *why)
{
  struct decision *kept = decision_ring_add (&x->context->decisions);
  const uint32_t attempt = x->attempt_count + 1;
  kept->time_ms = clock_now_ms ();
  kept->request_id = x->id;
  kept->attempt = attempt;
  snprintf (kept->service, sizeof kept->service, "%s", x->service->name);
  snprintf (kept->route, sizeof kept->route, "%s", x->route);
  snprintf (kept->target, sizeof kept->target, "%s", target);
  snprintf (kept->verdict, sizeof kept->verdict, "%s", verdict);
  snprintf (kept->reason, sizeof kept->reason, "%s", why);
  const char *service = x->service->name;
  const char *route = x->route;
  const char *id = x->head.id;
  LOG_INFO ("route", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_STR ("route", route), LOG_INT ("request", x->id),
            LOG_INT ("attempt", attempt), LOG_STR ("verdict", verdict),
            LOG_STR ("target", target), LOG_STR ("why", why),
            LOG_STR ("workspace", x->workspace));
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
  note (x, verdicts[decision->verdict], target,
        policy_reason_name (decision->reason));
}

void
decision_log_relay (struct exchange *x, const char *host)
{
  note (x, "relay", host, "ticket-of-that-host");
}

void
decision_log_failure_forwarded (const struct exchange *x,
                                const struct policy_decision *decision)
{
  const char *service = x->service->name;
  const char *route = x->route;
  const char *id = x->head.id;
  const char *why = policy_reason_name (decision->reason);
  LOG_INFO ("failure-passed-on", LOG_STR ("id", id),
            LOG_STR ("service", service), LOG_STR ("route", route),
            LOG_INT ("request", x->id), LOG_INT ("attempts", x->attempt_count),
            LOG_STR ("why", why));
}
