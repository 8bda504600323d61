/** @file
 * Goodput, refusals, retries and the share of a gray target, at 30 % to 150 %
 * of the slots of ten targets, compared with round robin and least-in-flight
 * balancers.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/rng.h"
#include "bench/load_run.h"

enum
{
  TARGETS = 10,
  ONSET_US = 5000000,
  END_US = 25000000,
};

enum balancer_kind
{
  BALANCER_POLICY,
  BALANCER_ROUND_ROBIN,
  BALANCER_LEAST_IN_FLIGHT,
  BALANCER_KINDS,
};

static const char *const balancer_names[] = {
  [BALANCER_POLICY] = "policy",
  [BALANCER_ROUND_ROBIN] = "round_robin",
  [BALANCER_LEAST_IN_FLIGHT] = "least_in_flight",
};

static const char *const gray_names[] = {
  [GRAY_NONE] = "none",
  [GRAY_FAILS_ALL] = "fails_all",
  [GRAY_FAILS_40] = "fails_40",
  [GRAY_SLOW_10] = "slow_10",
  [GRAY_TIMES_OUT_HALF] = "times_out_half",
  [GRAY_FLAPS] = "flaps_2s",
  [ALL_SLOW_3] = "all_slow_3",
};

static struct load_balancer *
create (enum balancer_kind kind, uint32_t count)
{
  const struct service_policy_options options = {
    .seed = 7,
    .queue_requests = 50,
    .queue_bytes = 1000000,
    .retries = { .percent = 20, .max_tokens = 3, .tokens_per_second = 0.3 },
    .attempts = 3,
  };
  struct policy_target targets[TARGETS];
  for (uint32_t i = 0; i < count; i++)
    targets[i] = (struct policy_target){
      .warm_up_us = -1,
      .key = i + 1,
      .slots = LOAD_SLOTS,
      .accepts_work = true,
    };
  switch (kind)
    {
    case BALANCER_ROUND_ROBIN:
      return naive_balancer_create (NAIVE_ROUND_ROBIN, &options, targets,
                                    count);
    case BALANCER_LEAST_IN_FLIGHT:
      return naive_balancer_create (NAIVE_LEAST_IN_FLIGHT, &options, targets,
                                    count);
    default:
      return policy_balancer_create (&options, targets, count);
    }
}

static struct load_result
run (enum balancer_kind kind, uint32_t targets, uint32_t load_percent,
     enum gray_kind gray)
{
  const struct load_case c = {
    .targets = targets,
    .load_percent = load_percent,
    .gray = gray,
    .onset_us = ONSET_US,
    .end_us = END_US,
    .seed = 42,
  };
  struct load_balancer *balancer = create (kind, targets);
  const struct load_result r = load_run (&c, balancer);
  balancer->destroy (balancer);
  return r;
}

static void
print (const char *figure, const char *case_name, double value,
       const char *unit)
{
  printf ("figure load_%s_%s %.4g %s\n", case_name, figure, value, unit);
}

static void
report (const char *case_name, const struct load_result *r, double reference)
{
  const double requests = (double)r->requests;
  print ("goodput", case_name, (double)r->good / r->seconds, "requests/s");
  print ("goodput_of_reference", case_name, 100 * (double)r->good / reference,
         "%");
  print ("refused", case_name, 100 * (double)r->refused / requests, "%");
  print ("refused_after_waiting", case_name,
         100 * (double)r->refused_after_waiting / requests, "%");
  print ("failed", case_name, 100 * (double)r->failed / requests, "%");
  print ("failed_unrepeatable", case_name,
         100 * (double)r->failed_unrepeatable / requests, "%");
  const double sent = requests - (double)r->refused;
  print ("retries", case_name, (double)r->attempts / sent - 1, "per-request");
  print ("gray_share", case_name,
         100 * (double)r->gray_attempts / (double)r->attempts, "%");
  print ("avoided", case_name, (double)r->avoided_requests, "requests");
  print ("avoided", case_name, r->avoided_ms, "ms");
}

static double
capacity (void)
{
  return (double)TARGETS * LOAD_SLOTS * 1e6 / LOAD_SERVICE_US;
}

/* The reference number of good responses.  With a gray target it is that of
   the policy with the nine healthy targets, else the smaller of the requests
   and the capacity of the slots. */
static double
reference (enum gray_kind gray, uint32_t load_percent,
           const struct load_result *r)
{
  if (gray != GRAY_NONE && gray != ALL_SLOW_3)
    return (double)run (BALANCER_POLICY, TARGETS - 1, load_percent, GRAY_NONE)
        .good;
  const double slower = gray == ALL_SLOW_3 ? 3 : 1;
  const double max = capacity () / slower * r->seconds;
  return (double)r->requests < max ? (double)r->requests : max;
}

static void
compare (enum gray_kind gray, uint32_t load_percent)
{
  for (int kind = 0; kind < BALANCER_KINDS; kind++)
    {
      const struct load_result r
          = run ((enum balancer_kind)kind, TARGETS, load_percent, gray);
      char case_name[80];
      (void)snprintf (case_name, sizeof case_name, "%s_%s_%" PRIu32,
                      balancer_names[kind], gray_names[gray], load_percent);
      report (case_name, &r, reference (gray, load_percent, &r));
    }
}

int
main (void)
{
  static const uint32_t loads[] = { 30, 60, 90, 100, 120, 150 };
  for (int gray = 0; gray < GRAY_KINDS; gray++)
    for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
      compare ((enum gray_kind)gray, loads[i]);
  return 0;
}
