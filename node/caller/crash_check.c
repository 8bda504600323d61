#define LOG_MODULE "caller"

#include "node/caller/crash_check.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/exchange_fingerprint.h"
#include "node/caller/poison_filter.h"
#include "node/caller/reach_check.h"
#include "node/ejection/target_probe.h"

enum
{
  US_PER_MS = 1000,
  CONNECT_TIMEOUT_MS = 1000,
  PROBES_PER_CHECK_MAX = 2,
  PROBE_DELAY_MS = 50,
  REQUESTS_PER_CHECK_MAX = 64,
  CONCURRENT_CHECKS_MAX = 64,
};

static const double MS_PER_SECOND = 1000.0;

struct crash_check
{
  struct crash_checks *checks;
  ev_timer probe_timer;
  struct target_probe *probe; /* NULL between probes */
  struct reach_query query;
  bool is_querying;
  uint32_t probe_count;
  char service[SERVICE_NAME_SIZE];
  char target[SERVICE_NAME_SIZE];
  char address[SERVICE_ADDRESS_SIZE];
  uint64_t key; /* of the target */
  int64_t started_us;
  struct poison_crash requests[REQUESTS_PER_CHECK_MAX];
  uint32_t request_count;
  struct crash_check *prev, *next;
};

struct crash_checks
{
  struct caller_context *context;
  struct crash_check *list;
  uint32_t count;
};

struct crash_checks *
crash_checks_create (struct caller_context *context)
{
  struct crash_checks *checks = xcalloc (1, sizeof *checks);
  checks->context = context;
  return checks;
}

static void
check_destroy (struct crash_check *check)
{
  if (check->is_querying)
    reach_check_cancel_query (check->checks->context->reach_check,
                              &check->query);
  DL_DELETE (check->checks->list, check);
  check->checks->count--;
  ev_timer_stop (check->checks->context->loop, &check->probe_timer);
  target_probe_destroy (check->probe);
  free (check);
}

void
crash_checks_destroy (struct crash_checks *checks)
{
  struct crash_check *check;
  struct crash_check *next;
  if (checks == NULL)
    return;
  DL_FOREACH_SAFE (checks->list, check, next)
  {
    check_destroy (check);
  }
  free (checks);
}

static void
report_crash (const struct crash_check *check)
{
  const struct caller_counters *counters = &check->checks->context->counters;
  caller_counters_add (counters->target_crashes, check->service, NULL);
  for (uint32_t i = 0; i < check->request_count; i++)
    {
      char text[FINGERPRINT_TEXT_SIZE];
      char *fingerprint = text;
      fingerprint_format (&check->requests[i].fingerprint, fingerprint);
      LOG_WARN ("target-crashed", LOG_STR ("service", check->service),
                LOG_STR ("target", check->target),
                LOG_STR ("fingerprint", fingerprint),
                LOG_INT ("under_way_here", check->request_count),
                LOG_INT ("checked_us", clock_now_us () - check->started_us));
      poison_filter_add_crash (check->checks->context->poison, check->service,
                               &check->requests[i]);
    }
}

/* A host that is cut from all targets is refused by targets that run. */
static void
on_reach_known (struct reach_query *query, bool is_reached)
{
  struct crash_check *check
      = (struct crash_check *)((char *)query
                               - offsetof (struct crash_check, query));
  check->is_querying = false;
  if (is_reached)
    report_crash (check);
  else
    LOG_WARN ("target-crash-unconfirmed", LOG_STR ("service", check->service),
              LOG_STR ("target", check->target),
              LOG_INT ("under_way_here", check->request_count),
              LOG_STR ("why", "this host can't connect to any target"));
  check_destroy (check);
}

/* With a single target there is nothing to compare its refusal with. */
static void
confirm_crash (struct crash_check *check, struct target_probe *probe)
{
  struct reach_check *reach = check->checks->context->reach_check;
  if (reach_check_target_count (reach) < 2)
    {
      report_crash (check);
      check_destroy (check);
      return;
    }
  target_probe_destroy (probe);
  check->probe = NULL;
  check->is_querying = true;
  check->query.done = on_reach_known;
  reach_check_start_query (reach, &check->query);
}

/* An exiting target may close its connections before its listening socket and
   still accept a probe, so a probe that is not refused is repeated. */
static void
on_probe_done (void *owner, struct target_probe *probe, bool ok)
{
  struct crash_check *check = owner;
  if (target_probe_was_refused (probe))
    {
      confirm_crash (check, probe);
      return;
    }
  if (check->probe_count == PROBES_PER_CHECK_MAX)
    {
      check_destroy (check);
      return;
    }
  target_probe_destroy (probe);
  check->probe = NULL;
  ev_timer_start (check->checks->context->loop, &check->probe_timer);
}

static void
start_probe (struct crash_check *check)
{
  check->probe_count++;
  check->probe
      = target_probe_start (check->checks->context->loop, check->address,
                            CONNECT_TIMEOUT_MS, on_probe_done, check);
}

static void
on_probe_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  start_probe (timer->data);
}

/* Returns the check in progress of the target of X, or starts one.  Returns
   NULL if the target is no longer configured or too many checks are in
   progress. */
static struct crash_check *
find_or_start_check (struct crash_checks *checks, const struct exchange *x)
{
  struct crash_check *check;
  DL_SEARCH_SCALAR (checks->list, check, key, x->attempt.key);
  if (check != NULL)
    return check;
  const uint32_t index
      = caller_service_find_target (x->service, x->attempt.key);
  if (index == POLICY_NO_TARGET || checks->count == CONCURRENT_CHECKS_MAX)
    return NULL;
  check = xcalloc (1, sizeof *check);
  check->checks = checks;
  check->key = x->attempt.key;
  check->started_us = clock_now_us ();
  snprintf (check->service, sizeof check->service, "%s", x->service->name);
  snprintf (check->target, sizeof check->target, "%s", x->attempt.target);
  DL_APPEND (checks->list, check);
  checks->count++;
  snprintf (check->address, sizeof check->address, "%s",
            x->service->spec->targets[index].address);
  ev_timer_init (&check->probe_timer, on_probe_timer,
                 PROBE_DELAY_MS / MS_PER_SECOND, 0.);
  check->probe_timer.data = check;
  start_probe (check);
  return check;
}

void
crash_checks_add (struct crash_checks *checks, const struct exchange *x)
{
  struct fingerprint fingerprint;
  if (!exchange_fingerprint (x, &fingerprint))
    return;
  struct crash_check *check = find_or_start_check (checks, x);
  if (check == NULL || check->request_count == REQUESTS_PER_CHECK_MAX)
    return;
  for (uint32_t i = 0; i < check->request_count; i++)
    if (fingerprint_equal (&check->requests[i].fingerprint, &fingerprint))
      return;
  check->requests[check->request_count++]
      = (struct poison_crash){ .fingerprint = fingerprint,
                               .target = check->key,
                               .sent_ms = x->attempt.started_us / US_PER_MS,
                               .crashed_ms = clock_now_ms () };
}
