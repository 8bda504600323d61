/** @file
 * The cost of a decision: choice and outcome, at 10, 100 and 1,000 targets.
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
  FAILING_PERCENT = 40, /* of what the first target gets */
};

/* Half of all slots busy; the oldest attempt ends as a new request comes. */
static void
run (struct service_policy *policy, uint32_t count, struct rng *rng)
{
  const uint32_t depth = count * SLOTS / 2;
  uint32_t *flying = xcalloc (depth, sizeof *flying);
  int64_t now_us = 1;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      now_us += 10000 / depth;
      const struct policy_request r = {
        .id = i + 1,
        .deadline_us = now_us + 1000000,
        .repeatable = true,
        .attempt = 1,
      };
      if (i >= depth)
        {
          const uint32_t target = flying[i % depth];
          const bool bad
              = target == 0 && rng_below (rng, 100) < FAILING_PERCENT;
          const struct policy_outcome o = {
            .target = target,
            .end = bad ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
            .latency_us = 10000,
            .repeatable = true,
          };
          service_policy_outcome (policy, now_us, &o);
          struct policy_decision none;
          if (service_policy_next (policy, now_us, &none))
            abort ();
        }
      const struct policy_decision d
          = service_policy_admit (policy, now_us, &r);
      if (d.verdict != POLICY_SEND)
        abort ();
      flying[i % depth] = d.target;
    }
  free (flying);
}

static void
measure (uint32_t count)
{
  const struct service_policy_options options = {
    .seed = 1,
    .queue_requests = 100,
    .queue_bytes = 1000000,
    .retries = { .percent = 20, .max_tokens = 3, .tokens_per_second = 0.3 },
    .attempts = 3,
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
  const int64_t begun_us = clock_now_us ();
  run (policy, count, &rng);
  const int64_t took_us = clock_now_us () - begun_us;
  printf ("figure policy_ns_per_request_%" PRIu32 " %.0f ns\n", count,
          (double)took_us * 1000 / REQUESTS);
  service_policy_destroy (policy);
  free (targets);
}

int
main (void)
{
  measure (10);
  measure (100);
  measure (1000);
  return 0;
}
