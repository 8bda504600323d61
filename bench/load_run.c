#include "bench/load_run.h"

#include <stdlib.h>

#include "base/rng.h"
#include "base/xmalloc.h"

enum
{
  REPEATABLE_PERCENT = 70,
  QUICK_FAILURE_US = 2000,
  FLAP_INTERVAL_US = 2000000,
  SHARE_WINDOW_ATTEMPTS = 200,
  AVOIDED_ATTEMPTS_BELOW = 2, /* per window: a tenth of the fair share of one
                                 of ten targets */
};

struct attempt_record
{
  int64_t at_us;
  bool gray;
};

struct attempt
{
  int64_t end_us;
  int64_t sent_us;
  uint32_t request;
  uint32_t target;
  enum attempt_end end;
};

struct request_state
{
  struct policy_request r;
  bool was_queued;
  bool counted;
};

struct run
{
  const struct load_case *c;
  struct load_balancer *balancer;
  struct rng arrivals;
  struct rng rng;
  int64_t now_us;
  struct request_state *requests;
  uint32_t request_count;
  struct attempt *in_flight; /* unordered, a few dozen */
  uint32_t in_flight_count;
  struct attempt_record *records;
  uint32_t record_count;
  struct load_result result;
};

/* Draws the end of an attempt at a healthy or gray target. */
static void
decide_end (struct run *run, struct attempt *f)
{
  const bool started = run->now_us >= run->c->onset_us;
  const bool gray = started && (f->target == 0 || run->c->gray == ALL_SLOW_3);
  const enum gray_kind kind = gray ? run->c->gray : GRAY_NONE;
  const int64_t phase = (run->now_us - run->c->onset_us) / FLAP_INTERVAL_US;
  double duration_us
      = 1000 + rng_exponential (&run->rng, LOAD_SERVICE_US - 1000);
  const uint64_t percent_roll = rng_below (&run->rng, 100);
  f->end = ATTEMPT_ANSWERED;
  if (kind == GRAY_FAILS_ALL || (kind == GRAY_FAILS_40 && percent_roll < 40)
      || (kind == GRAY_FLAPS && phase % 2 == 0))
    {
      f->end = ATTEMPT_FAILED;
      duration_us = QUICK_FAILURE_US;
    }
  if (kind == GRAY_SLOW_10)
    duration_us *= 10;
  if (kind == ALL_SLOW_3)
    duration_us *= 3;
  if (kind == GRAY_TIMES_OUT_HALF && percent_roll < 50)
    duration_us = 1e9;
  f->end_us = run->now_us + (int64_t)duration_us;
  const int64_t deadline_us = run->requests[f->request].r.deadline_us;
  if (f->end_us >= deadline_us)
    {
      f->end_us = deadline_us;
      f->end = ATTEMPT_TIMED_OUT;
    }
}

static void
send_attempt (struct run *run, uint32_t request, uint32_t target)
{
  struct attempt *f = &run->in_flight[run->in_flight_count++];
  *f = (struct attempt){
    .request = request,
    .target = target,
    .sent_us = run->now_us,
  };
  decide_end (run, f);
  if (!run->requests[request].counted)
    return;
  run->result.attempts++;
  run->result.gray_attempts += (uint64_t)(target == 0);
  run->records[run->record_count++]
      = (struct attempt_record){ run->now_us, target == 0 };
}

static void
apply (struct run *run, const struct policy_decision *d)
{
  struct request_state *s = &run->requests[d->request_id];
  switch (d->verdict)
    {
    case POLICY_SEND:
      send_attempt (run, (uint32_t)d->request_id, d->target);
      break;
    case POLICY_QUEUE:
      s->was_queued = true;
      break;
    case POLICY_REFUSE:
      if (!s->counted)
        break;
      if (s->r.attempt > 1)
        run->result.failed++;
      else
        {
          run->result.refused++;
          run->result.refused_after_waiting += (uint64_t)s->was_queued;
        }
      break;
    }
}

static void
admit (struct run *run, uint32_t request)
{
  run->requests[request].was_queued = false;
  const struct policy_decision d = run->balancer->admit (
      run->balancer, run->now_us, &run->requests[request].r);
  apply (run, &d);
}

static void
arrive (struct run *run)
{
  const uint32_t i = run->request_count++;
  run->requests[i] = (struct request_state){
    .r = {
      .id = i,
      .deadline_us = run->now_us + LOAD_DEADLINE_US,
      .queued_bytes = 1000,
      .repeatable = rng_below (&run->arrivals, 100) < REPEATABLE_PERCENT,
      .attempt = 1,
    },
    .counted = run->now_us >= run->c->onset_us,
  };
  run->result.requests += (uint64_t)run->requests[i].counted;
  admit (run, i);
}

static void
handle_queued (struct run *run)
{
  struct policy_decision d;
  while (run->balancer->next (run->balancer, run->now_us, &d))
    apply (run, &d);
}

static void
retry_or_fail (struct run *run, const struct attempt *f)
{
  struct request_state *s = &run->requests[f->request];
  if (service_policy_may_retry (f->end, s->r.repeatable)
      && run->now_us < s->r.deadline_us && s->r.tried_count < POLICY_TRIED_MAX)
    {
      s->r.tried[s->r.tried_count++] = f->target;
      s->r.attempt++;
      admit (run, f->request);
      return;
    }
  run->result.failed += (uint64_t)s->counted;
  run->result.failed_unrepeatable
      += (uint64_t)(s->counted && !s->r.repeatable);
}

static void
finish (struct run *run, uint32_t at)
{
  const struct attempt f = run->in_flight[at];
  run->in_flight[at] = run->in_flight[--run->in_flight_count];
  const struct request_state *s = &run->requests[f.request];
  const struct policy_outcome o = {
    .target = f.target,
    .end = f.end,
    .latency_us = run->now_us - f.sent_us,
    .repeatable = s->r.repeatable,
  };
  run->balancer->outcome (run->balancer, run->now_us, &o);
  handle_queued (run);
  if (f.end == ATTEMPT_ANSWERED)
    run->result.good += (uint64_t)s->counted;
  else
    retry_or_fail (run, &f);
}

static uint32_t
find_next_end (const struct run *run)
{
  uint32_t first = UINT32_MAX;
  for (uint32_t i = 0; i < run->in_flight_count; i++)
    if (first == UINT32_MAX
        || run->in_flight[i].end_us < run->in_flight[first].end_us)
      first = i;
  return first;
}

/* Finds the first attempt that starts a window in which the gray target gets
   less than a tenth of the fair share. */
static void
find_avoided (struct run *run)
{
  struct load_result *r = &run->result;
  r->avoided_requests = -1;
  uint32_t gray = 0;
  for (uint32_t i = 0; i < run->record_count; i++)
    {
      gray += (uint32_t)run->records[i].gray;
      if (i >= SHARE_WINDOW_ATTEMPTS)
        gray -= (uint32_t)run->records[i - SHARE_WINDOW_ATTEMPTS].gray;
      if (i + 1 < SHARE_WINDOW_ATTEMPTS || gray >= AVOIDED_ATTEMPTS_BELOW)
        continue;
      r->avoided_requests = i + 1 - SHARE_WINDOW_ATTEMPTS;
      const int64_t at_us = run->records[r->avoided_requests].at_us;
      r->avoided_ms = (double)(at_us - run->c->onset_us) / 1000;
      return;
    }
}

struct load_result
load_run (const struct load_case *c, struct load_balancer *balancer)
{
  const double gap_us
      = (double)LOAD_SERVICE_US / (10 * LOAD_SLOTS) * 100 / c->load_percent;
  const uint32_t max_requests
      = (uint32_t)((double)c->end_us / gap_us * 1.2) + 1000;
  struct run run = { .c = c, .balancer = balancer, .now_us = 1 };
  rng_seed (&run.arrivals, c->seed);
  rng_seed (&run.rng, c->seed + 1);
  run.requests = xcalloc (max_requests, sizeof *run.requests);
  run.in_flight
      = xcalloc ((size_t)c->targets * LOAD_SLOTS, sizeof *run.in_flight);
  run.records = xcalloc (max_requests * 4UL, sizeof *run.records);
  int64_t arrival_us = 1;
  for (;;)
    {
      const uint32_t at = find_next_end (&run);
      const int64_t end_us
          = at == UINT32_MAX ? INT64_MAX : run.in_flight[at].end_us;
      const int64_t wake_us = balancer->wake_us (balancer);
      if (arrival_us >= c->end_us && end_us == INT64_MAX
          && wake_us == INT64_MAX)
        break;
      const int64_t next_us = arrival_us < c->end_us ? arrival_us : INT64_MAX;
      if (wake_us < end_us && wake_us < next_us)
        {
          run.now_us = wake_us > run.now_us ? wake_us : run.now_us;
          handle_queued (&run);
          continue;
        }
      if (end_us <= next_us)
        {
          run.now_us = end_us;
          finish (&run, at);
          continue;
        }
      run.now_us = arrival_us;
      arrive (&run);
      arrival_us += 1 + (int64_t)rng_exponential (&run.arrivals, gap_us - 1);
    }
  run.result.seconds = (double)(c->end_us - c->onset_us) / 1e6;
  find_avoided (&run);
  free (run.requests);
  free (run.in_flight);
  free (run.records);
  return run.result;
}
