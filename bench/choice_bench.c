/** @file
 * Cost of a request in service_policy, admission and outcome, with 10, 100 and
 * 1,000 targets, and with 16, all of which are candidates, by load and by
 * expected work.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "policy/service_policy.h"

enum
{
  REQUESTS = 2000000,
  SLOTS = 5,
  FAILING_PERCENT = 40, /* of the requests to the first target */
  CLASSES = 200,        /* of requests */
  CANDIDATES = 16,
};

/* Half of all slots are busy.  The oldest attempt ends when a request
   arrives. */
static void
run (struct service_policy *policy, uint32_t count, bool by_cost,
     struct rng *rng)
{
  const uint32_t depth = count * SLOTS / 2;
  uint32_t *in_flight = xcalloc (depth, sizeof *in_flight);
  int64_t now_us = 1;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      now_us += 10000 / depth;
      const struct policy_request r = {
        .id = i + 1,
        .deadline_us = now_us + 1000000,
        .repeatable = true,
        .attempt = 1,
        .cost_keys = { 100 + i % CLASSES, 10 + i % 4, 1 },
      };
      if (i >= depth)
        {
          const uint32_t target = in_flight[i % depth];
          const bool is_failure
              = target == 0 && rng_below (rng, 100) < FAILING_PERCENT;
          const struct policy_outcome o = {
            .target = target,
            .end = is_failure ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
            .latency_us = 10000,
            .repeatable = true,
          };
          const uint32_t ended = i - depth;
          const uint64_t keys[POLICY_COST_KEYS]
              = { 100 + ended % CLASSES, 10 + ended % 4, 1 };
          if (by_cost)
            service_policy_learn_work (policy, now_us, &o, keys);
          service_policy_outcome (policy, now_us, &o);
          struct policy_decision none;
          if (service_policy_next (policy, now_us, &none))
            abort ();
        }
      const struct policy_decision d
          = service_policy_admit (policy, now_us, &r);
      if (d.verdict != POLICY_SEND)
        abort ();
      in_flight[i % depth] = d.target;
    }
  free (in_flight);
}

/* Returns the time of a request. */
static double
measure (const char *name, uint32_t count, bool by_cost)
{
  const struct service_policy_options options = {
    .seed = 1,
    .queue_requests = 100,
    .queue_bytes = 1000000,
    .retries = { .percent = 20, .max_tokens = 3, .tokens_per_second = 0.3 },
    .attempts = 3,
    .modes = { .by_cost = by_cost },
  };
  struct rng rng;
  rng_seed (&rng, 1);
  struct policy_target *targets = xcalloc (count, sizeof *targets);
  for (uint32_t i = 0; i < count; i++)
    targets[i] = (struct policy_target){
      .warm_up_us = -1,
      .key = rng_next (&rng),
      .slots = SLOTS,
      .accepts_work = true,
    };
  struct service_policy *policy = service_policy_create (&options);
  service_policy_set_targets (policy, 0, targets, count);
  const int64_t start_us = clock_now_us ();
  run (policy, count, by_cost, &rng);
  const int64_t elapsed_us = clock_now_us () - start_us;
  const double request_ns = (double)elapsed_us * 1000 / REQUESTS;
  printf ("figure policy_ns_per_request_%s%" PRIu32 " %.0f ns\n", name, count,
          request_ns);
  service_policy_destroy (policy);
  free (targets);
  return request_ns;
}

int
main (void)
{
  measure ("", 10, false);
  measure ("", 100, false);
  measure ("", 1000, false);
  const double by_load_ns = measure ("", CANDIDATES, false);
  const double by_cost_ns = measure ("by_cost_", CANDIDATES, true);
  printf ("figure policy_ns_by_cost_overhead_%d %.0f ns\n", CANDIDATES,
          by_cost_ns - by_load_ns);
  return 0;
}
