#include "policy/detection/tests/fake_pool.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "base/hash.h"

enum
{
  REPORT_INTERVAL_US = 1000000,
  URGENT_REPORT_US = 100000,
  STEP_INTERVAL_US = 100000,
  TYPICAL_LATENCY_US = 20000,
  TIMEOUT_US = 1000000,
  FULL_SHARE_PERMILLE = 1000,
  DRAWS_MAX = 10000
};

void
fake_pool_init (struct fake_pool *pool, uint64_t seed)
{
  *pool = (struct fake_pool){
    .targets = 10,
    .dcs = 3,
    .hosts = 12,
    .requests_per_second = 19,
    .background = 0.01,
    .fault = { .dc = FAKE_ALL, .host = FAKE_ALL },
    .now_us = 1,
  };
  for (uint32_t i = 0; i < FAKE_TARGETS_MAX; i++)
    pool->shares[i] = FULL_SHARE_PERMILLE;
  rng_seed (&pool->rng, seed);
}

static bool
is_affected (const struct fake_pool *pool, const struct fake_outcome *o)
{
  const struct fake_fault *f = &pool->fault;
  if (o->target >= f->targets || o->now_us < f->start_us
      || (f->end_us != 0 && o->now_us >= f->end_us))
    return false;
  if (f->dc != FAKE_ALL && o->host % pool->dcs != (uint32_t)f->dc)
    return false;
  if (f->host != FAKE_ALL && o->host != (uint32_t)f->host)
    return false;
  return f->period_us == 0
         || (o->now_us - f->start_us) % f->period_us < f->period_us / 2;
}

/* Latencies vary by a factor of about three in both directions. */
static int64_t
draw_latency (struct fake_pool *pool, double factor)
{
  double sum = 0;
  for (int i = 0; i < 4; i++)
    sum += rng_unit (&pool->rng) - 0.5;
  return (int64_t)(TYPICAL_LATENCY_US * factor * exp (0.8 * sum));
}

/* Draws a target by its share, or any target if all shares are 0, as when all
   are ejected. */
static uint32_t
draw_target (struct fake_pool *pool)
{
  uint32_t target = 0;
  for (int tries = 0; tries < DRAWS_MAX; tries++)
    {
      target = (uint32_t)rng_below (&pool->rng, pool->targets);
      if (rng_below (&pool->rng, FULL_SHARE_PERMILLE) < pool->shares[target])
        break;
    }
  return target;
}

struct fake_outcome
fake_pool_next (struct fake_pool *pool)
{
  double gap_us = 1e6 / (pool->requests_per_second * pool->targets);
  pool->now_us += 1 + (int64_t)rng_exponential (&pool->rng, gap_us);
  struct fake_outcome o = {
    .now_us = pool->now_us,
    .target = draw_target (pool),
    .host = (uint32_t)rng_below (&pool->rng, pool->hosts),
  };
  bool affected = is_affected (pool, &o);
  double chance = rng_unit (&pool->rng);
  double slow
      = affected && pool->fault.slow_factor > 0 ? pool->fault.slow_factor : 1;
  double timeouts = affected ? pool->fault.timeouts : 0;
  double failures = pool->background;
  if (affected && pool->fault.failures > failures)
    failures = pool->fault.failures;
  o.latency_us = draw_latency (pool, slow);
  o.end = ATTEMPT_ANSWERED;
  if (chance < timeouts)
    {
      o.end = ATTEMPT_TIMED_OUT;
      o.latency_us = TIMEOUT_US;
    }
  else if (chance < timeouts + failures)
    o.end = ATTEMPT_FAILED;
  return o;
}

uint64_t
fake_dc_key (uint32_t dc)
{
  return hash_pair (2, dc);
}

uint64_t
fake_host_key (uint32_t host)
{
  return hash_pair (3, host);
}

void
fake_fleet_init (struct fake_fleet *fleet, const struct fake_pool *pool,
                 const struct detection_detector_options *options)
{
  assert (pool->targets <= FAKE_TARGETS_MAX && pool->hosts <= FAKE_HOSTS_MAX);
  memset (fleet, 0, sizeof *fleet);
  fleet->dcs = pool->dcs;
  for (uint32_t i = 0; i < pool->targets; i++)
    fleet->keys[i] = hash_pair (1, i);
  for (uint32_t i = 0; i < pool->hosts; i++)
    {
      fleet->recorders[i] = detection_recorder_create ();
      detection_recorder_set_targets (fleet->recorders[i], fleet->keys,
                                      pool->targets);
      fleet->reported_us[i]
          = pool->now_us - (int64_t)i * REPORT_INTERVAL_US / pool->hosts;
    }
  fleet->detector = detection_detector_create (options);
  detection_detector_set_targets (fleet->detector, pool->now_us, fleet->keys,
                                  pool->targets);
}

void
fake_fleet_clear (struct fake_fleet *fleet)
{
  for (uint32_t i = 0; i < FAKE_HOSTS_MAX; i++)
    detection_recorder_destroy (fleet->recorders[i]);
  detection_detector_destroy (fleet->detector);
  memset (fleet, 0, sizeof *fleet);
}

static void
report (struct fake_fleet *fleet, int64_t now_us, uint32_t host)
{
  struct detection_report_item items[FAKE_TARGETS_MAX];
  size_t count = detection_recorder_collect (fleet->recorders[host], items,
                                             FAKE_TARGETS_MAX);
  fleet->reported_us[host] = now_us;
  detection_detector_report (fleet->detector, now_us, fake_host_key (host),
                             fake_dc_key (host % fleet->dcs), items, count);
}

bool
fake_fleet_feed (struct fake_fleet *fleet, const struct fake_outcome *o,
                 struct detection_decisions *decisions)
{
  bool urgent = detection_recorder_record (fleet->recorders[o->host],
                                           fleet->keys[o->target], o->end,
                                           o->latency_us);
  int64_t since_us = o->now_us - fleet->reported_us[o->host];
  bool urgent_report = urgent && since_us >= URGENT_REPORT_US;
  if (urgent_report || since_us >= REPORT_INTERVAL_US)
    report (fleet, o->now_us, o->host);
  if (!urgent_report && o->now_us - fleet->stepped_us < STEP_INTERVAL_US)
    return false;
  fleet->stepped_us = o->now_us;
  *decisions = detection_detector_step (fleet->detector, o->now_us);
  return true;
}

uint32_t
fake_fleet_target (const struct fake_fleet *fleet, uint64_t key)
{
  for (uint32_t i = 0; i < FAKE_TARGETS_MAX; i++)
    if (fleet->keys[i] == key)
      return i;
  assert (false);
  return FAKE_TARGETS_MAX;
}
