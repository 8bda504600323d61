#define LOG_MODULE "caller"

#include "node/caller/reach_check.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/caller/exchange_forward.h"
#include "node/ejection/target_probe.h"
#include "policy/choice/reach_state.h"

enum
{
  US_PER_MS = 1000,
  PROBE_TIMEOUT_MS = 250,
  PROBES_MAX = 4,
  /* Attempts that wait for longer than this, and than usual, are a sign. */
  HANG_MIN_MS = 300,
  CONNECT_HANG_MS = 150,
  SILENCE_MIN_MS = 1000,
};

static const double CHECK_INTERVAL_S = 0.1;
static const double HANG_FACTOR = 2;

struct reach_check
{
  struct caller_context *context;
  struct reach_state state;
  struct rng rng;
  ev_timer timer;
  struct target_probe *probes[PROBES_MAX]; /* NULL: none */
  uint32_t refused_count; /* probes of the last rounds, while cut */
  struct reach_query *queries;
};

static void on_probe_done (void *owner, struct target_probe *probe, bool ok);
static void cancel_round (struct reach_check *check);

uint32_t
reach_check_target_count (const struct reach_check *check)
{
  const struct caller_service *service;
  size_t count = 0;
  for (service = check->context->services; service != NULL;
       service = service->hh.next)
    if (service->spec != NULL)
      count += service->spec->target_count;
  return (uint32_t)count;
}

static const char *
nth_address (const struct caller_context *context, uint32_t n)
{
  const struct caller_service *service;
  for (service = context->services; service != NULL;
       service = service->hh.next)
    {
      if (service->spec == NULL)
        continue;
      if (n < service->spec->target_count)
        return service->spec->targets[n].address;
      n -= (uint32_t)service->spec->target_count;
    }
  return NULL;
}

/* Evenly spaced from a random start, so that they belong to several
   services. */
static void
start_probes (struct reach_check *check, uint32_t count)
{
  const uint32_t targets = reach_check_target_count (check);
  if (targets == 0)
    {
      cancel_round (check);
      return;
    }
  const uint32_t first = (uint32_t)rng_below (&check->rng, targets);
  ev_now_update (check->context->loop);
  for (uint32_t i = 0; i < count; i++)
    {
      const uint32_t n
          = (uint32_t)((first + (uint64_t)i * targets / count) % targets);
      check->probes[i] = target_probe_start (
          check->context->loop, nth_address (check->context, n),
          PROBE_TIMEOUT_MS, on_probe_done, check);
    }
}

static void
begin_round (struct reach_check *check, uint32_t probes)
{
  if (probes == 0)
    return;
  if (!check->state.is_cut)
    check->refused_count = 0;
  start_probes (check, probes);
}

static void
answer_queries (struct reach_check *check)
{
  struct reach_query *query;
  struct reach_query *next;
  const bool is_reached = check->state.is_reached;
  const uint64_t round = check->state.round;
  bool has_more = false;
  DL_FOREACH_SAFE (check->queries, query, next)
  {
    if (query->round > round)
      {
        has_more = true;
        continue;
      }
    DL_DELETE (check->queries, query);
    query->done (query, is_reached);
  }
  if (has_more)
    begin_round (check, reach_state_begin_now (&check->state));
}

static void
apply_change (struct reach_check *check, enum reach_change change)
{
  struct caller_context *context = check->context;
  if (change == REACH_UNCHANGED)
    return;
  counter_set (context->counters.cut_from_targets,
               (int64_t)check->state.is_cut);
  if (change == REACH_RESTORED)
    {
      LOG_INFO ("targets-reached-again");
      return;
    }
  const bool is_refused = check->refused_count > 0;
  LOG_WARN ("targets-lost", LOG_INT ("refused", check->refused_count),
            LOG_INT ("silent_ms",
                     reach_state_silence_ms (&check->state, clock_now_ms ())),
            LOG_STR ("effect", "requests go through other hosts"));
  exchange_forward_all (context, !is_refused);
}

/* The services were removed while their targets were probed. */
static void
cancel_round (struct reach_check *check)
{
  apply_change (check,
                reach_state_cancel_round (&check->state, clock_now_ms ()));
  answer_queries (check);
}

static void
on_probe_done (void *owner, struct target_probe *probe, bool ok)
{
  struct reach_check *check = owner;
  check->refused_count += (uint32_t)target_probe_was_refused (probe);
  for (int i = 0; i < PROBES_MAX; i++)
    if (check->probes[i] == probe)
      check->probes[i] = NULL;
  target_probe_destroy (probe);
  const struct reach_step step
      = reach_state_note_probe (&check->state, clock_now_ms (), ok);
  if (step.probes > 0)
    start_probes (check, step.probes);
  if (!step.is_round_end)
    return;
  apply_change (check, step.change);
  answer_queries (check);
}

/* How long X may wait for its target until it is a sign of a cut. */
static int64_t
patience_us (const struct exchange *x)
{
  if (!target_call_may_have_sent (x->attempt.call))
    return CONNECT_HANG_MS * US_PER_MS;
  const double usual_us = service_policy_usual_latency_us (x->service->policy);
  const int64_t long_us = (int64_t)(usual_us * HANG_FACTOR);
  return long_us > HANG_MIN_MS * US_PER_MS ? long_us : HANG_MIN_MS * US_PER_MS;
}

/* Whether X waits longer for a target than usual, and no target has answered
   since it was sent. */
static bool
hangs (const struct exchange *x, int64_t now_us, int64_t silence_us)
{
  const struct exchange_attempt *attempt = &x->attempt;
  if (x->state != EXCHANGE_SENT || attempt->call == NULL || attempt->is_relay
      || attempt->is_indirect || attempt->head_received)
    return false;
  const int64_t waited_us = now_us - attempt->started_us;
  return waited_us >= patience_us (x) && silence_us >= waited_us;
}

static bool
any_hangs (const struct reach_check *check)
{
  const struct exchange *x;
  const int64_t now_us = clock_now_us ();
  const int64_t silence_ms
      = reach_state_silence_ms (&check->state, now_us / US_PER_MS);
  if (silence_ms < CONNECT_HANG_MS)
    return false;
  DL_FOREACH (check->context->exchanges, x)
  {
    if (hangs (x, now_us, silence_ms * US_PER_MS))
      return true;
  }
  return false;
}

static void
check_now (struct reach_check *check, bool is_suspicious)
{
  if (reach_check_target_count (check) > 0)
    begin_round (check, reach_state_begin (&check->state, clock_now_ms (),
                                           is_suspicious));
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct reach_check *check = timer->data;
  check_now (check, any_hangs (check));
}

struct reach_check *
reach_check_create (struct caller_context *context)
{
  struct reach_check *check = xcalloc (1, sizeof *check);
  uint64_t seed;
  rng_secure_bytes (&seed, sizeof seed);
  check->context = context;
  rng_seed (&check->rng, seed);
  ev_timer_init (&check->timer, on_timer, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
  check->timer.data = check;
  ev_timer_start (context->loop, &check->timer);
  return check;
}

void
reach_check_destroy (struct reach_check *check)
{
  if (check == NULL)
    return;
  ev_timer_stop (check->context->loop, &check->timer);
  for (int i = 0; i < PROBES_MAX; i++)
    target_probe_destroy (check->probes[i]);
  free (check);
}

bool
reach_check_is_cut (const struct reach_check *check)
{
  return check->state.is_cut;
}

bool
reach_check_is_silent (const struct reach_check *check)
{
  return check->state.is_cut && check->refused_count == 0
         && reach_state_silence_ms (&check->state, clock_now_ms ())
                >= SILENCE_MIN_MS;
}

void
reach_check_note_contact (struct reach_check *check)
{
  reach_state_note_contact (&check->state, clock_now_ms ());
}

void
reach_check_note_failure (struct reach_check *check)
{
  check_now (check, true);
}

void
reach_check_start_query (struct reach_check *check, struct reach_query *query)
{
  DL_APPEND (check->queries, query);
  query->round = check->state.round + 1;
  begin_round (check, reach_state_begin_now (&check->state));
}

void
reach_check_cancel_query (struct reach_check *check, struct reach_query *query)
{
  DL_DELETE (check->queries, query);
}
