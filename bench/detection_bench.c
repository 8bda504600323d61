/** @file
 * Time to the ejection of gray targets and the rate of false ejections, for
 * the detector in both preferences and two naive detectors on the same
 * outcomes: five consecutive failures, and Envoy-like success-rate deviation
 * over windows of 10 s.  The naive detectors get every outcome immediately and
 * in one place, which favours them: in a fleet each host would count alone.
 *
 * usage: detection_bench [THOUSANDS [SCENARIO]], with the length of the runs
 * for false ejections in thousands of requests, and one scenario to run
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "policy/detection/tests/fake_pool.h"

enum
{
  RUNS = 200,
  FAULT_START_US = 60000000,
  DETECTION_TIMEOUT_US = 300000000, /* from the start of the fault */
  FALSE_THOUSANDS = 5000,
  CONSECUTIVE_FAILURES = 5,
  WINDOW_US = 10000000,
  WINDOW_REQUESTS = 100,
  COST_REQUESTS = 5000000
};

#define EJECTION_DEVIATIONS 1.9

enum method
{
  METHOD_FEWER,
  METHOD_FASTER,
  METHOD_CONSECUTIVE,
  METHOD_DEVIATION,
  METHOD_COUNT
};

static const char *const method_names[METHOD_COUNT] = {
  "fewer_false",
  "faster",
  "five_in_row",
  "deviation",
};

struct window
{
  uint32_t requests;
  uint32_t failures;
};

/* The two naive detectors. */
struct naive
{
  uint32_t consecutive_failures[FAKE_TARGETS_MAX];
  struct window windows[FAKE_TARGETS_MAX];
  int64_t window_end_us;
};

/* The four detectors on the same outcomes, and their ejections. */
struct comparison
{
  struct fake_pool pool;
  struct fake_fleet fleets[2];
  struct naive naive;
  uint32_t ejected[METHOD_COUNT]; /* bits of targets, at this outcome */
};

static bool
is_failure (enum attempt_end end)
{
  return end != ATTEMPT_ANSWERED;
}

static uint32_t
evaluate_deviation (struct naive *naive, uint32_t targets)
{
  double rates[FAKE_TARGETS_MAX];
  double sum = 0;
  double squares = 0;
  uint32_t count = 0;
  for (uint32_t i = 0; i < targets; i++)
    {
      const struct window *w = &naive->windows[i];
      rates[i] = w->requests < WINDOW_REQUESTS
                     ? NAN
                     : 1 - (double)w->failures / w->requests;
      if (isnan (rates[i]))
        continue;
      sum += rates[i];
      squares += rates[i] * rates[i];
      count++;
    }
  memset (naive->windows, 0, sizeof naive->windows);
  if (count < 5)
    return 0;
  double mean = sum / count;
  double deviation = sqrt (fmax (0, squares / count - mean * mean));
  uint32_t ejected = 0;
  for (uint32_t i = 0; i < targets; i++)
    if (rates[i] < mean - EJECTION_DEVIATIONS * deviation)
      ejected |= 1U << i;
  return ejected;
}

static void
feed_naive (struct comparison *s, const struct fake_outcome *o)
{
  struct naive *naive = &s->naive;
  bool failed = is_failure (o->end);
  uint32_t *consecutive_failures = &naive->consecutive_failures[o->target];
  *consecutive_failures = failed ? *consecutive_failures + 1 : 0;
  if (*consecutive_failures >= CONSECUTIVE_FAILURES)
    {
      s->ejected[METHOD_CONSECUTIVE] = 1U << o->target;
      *consecutive_failures = 0;
    }
  naive->windows[o->target].requests++;
  naive->windows[o->target].failures += failed;
  if (o->now_us < naive->window_end_us)
    return;
  naive->window_end_us = o->now_us + WINDOW_US;
  s->ejected[METHOD_DEVIATION] = evaluate_deviation (naive, s->pool.targets);
}

/* Records an ejection and reinstates the target at once, so that all detectors
   continue to get the same outcomes. */
static void
feed_fleet (struct comparison *s, enum method method,
            const struct fake_outcome *o)
{
  struct fake_fleet *fleet = &s->fleets[method];
  struct detection_decisions decisions;
  if (!fake_fleet_feed (fleet, o, &decisions))
    return;
  for (size_t i = 0; i < decisions.eject_count; i++)
    {
      uint64_t key = decisions.eject[i].target_key;
      s->ejected[method] |= 1U << fake_fleet_target (fleet, key);
      detection_detector_ejected (fleet->detector, o->now_us, key);
      detection_detector_reinstated (fleet->detector, o->now_us, key);
    }
}

static void
comparison_init (struct comparison *s, uint64_t seed)
{
  memset (s, 0, sizeof *s);
  fake_pool_init (&s->pool, seed);
  s->naive.window_end_us = WINDOW_US;
  for (int m = METHOD_FEWER; m <= METHOD_FASTER; m++)
    {
      const struct detection_detector_options options = {
        .prefer_faster_detection = m == METHOD_FASTER,
        .has_repeatable_routes = true,
      };
      fake_fleet_init (&s->fleets[m], &s->pool, &options);
    }
}

static void
comparison_clear (struct comparison *s)
{
  fake_fleet_clear (&s->fleets[METHOD_FEWER]);
  fake_fleet_clear (&s->fleets[METHOD_FASTER]);
}

static struct fake_outcome
comparison_next (struct comparison *s)
{
  struct fake_outcome o = fake_pool_next (&s->pool);
  memset (s->ejected, 0, sizeof s->ejected);
  feed_fleet (s, METHOD_FEWER, &o);
  feed_fleet (s, METHOD_FASTER, &o);
  feed_naive (s, &o);
  return o;
}

/* A fault, and whether any ejection is correct. */
struct scenario
{
  const char *name;
  struct fake_fault fault;
  double background;
  bool nothing_to_eject; /* every ejection is false */
  bool cold_start;       /* the first target is new when the fault starts */
};

/* A fault of the first N targets, for all hosts. */
#define FAULT(n) .targets = (n), .dc = FAKE_ALL, .host = FAKE_ALL

static const struct scenario scenarios[] = {
  { .name = "fail100",
    .background = 0.01,
    .fault = { FAULT (1), .failures = 1 } },
  { .name = "fail40",
    .background = 0.01,
    .fault = { FAULT (1), .failures = 0.4 } },
  { .name = "fail40_at_3percent",
    .background = 0.03,
    .fault = { FAULT (1), .failures = 0.4 } },
  { .name = "fail10",
    .background = 0.01,
    .fault = { FAULT (1), .failures = 0.1 } },
  { .name = "slow10x",
    .background = 0.01,
    .fault = { FAULT (1), .slow_factor = 10 } },
  { .name = "timeout50",
    .background = 0.01,
    .fault = { FAULT (1), .timeouts = 0.5 } },
  { .name = "flap2s",
    .background = 0.01,
    .fault = { FAULT (1), .failures = 1, .period_us = 2000000 } },
  { .name = "flap20s",
    .background = 0.01,
    .fault = { FAULT (1), .failures = 1, .period_us = 20000000 } },
  { .name = "dc_blind",
    .background = 0.01,
    .nothing_to_eject = true,
    .fault = { .targets = 1, .dc = 1, .host = FAKE_ALL, .failures = 1 } },
  { .name = "all_slow",
    .background = 0.01,
    .nothing_to_eject = true,
    .fault = { FAULT (10), .slow_factor = 10 } },
  { .name = "all_fail40",
    .background = 0.01,
    .nothing_to_eject = true,
    .fault = { FAULT (10), .failures = 0.4 } },
  { .name = "cold_start",
    .background = 0.01,
    .nothing_to_eject = true,
    .cold_start = true,
    .fault = { FAULT (1), .slow_factor = 10, .end_us = 8000000 } },
};

/* Results of one method in all runs of a scenario. */
struct result
{
  double requests[RUNS]; /* to the faulty target until its ejection */
  double detection_ms[RUNS];
  uint32_t found;
  uint32_t false_ejections;
};

static int
compare_numbers (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return (first > second) - (first < second);
}

static double
quantile (double *numbers, uint32_t count, double q)
{
  qsort (numbers, count, sizeof *numbers, compare_numbers);
  return numbers[(uint32_t)(q * (count - 1))];
}

static double
mean (const double *numbers, uint32_t count)
{
  double sum = 0;
  for (uint32_t i = 0; i < count; i++)
    sum += numbers[i];
  return sum / count;
}

static void
replace_first_target (struct comparison *s)
{
  for (int m = METHOD_FEWER; m <= METHOD_FASTER; m++)
    {
      struct fake_fleet *fleet = &s->fleets[m];
      detection_detector_set_targets (fleet->detector, s->pool.now_us,
                                      fleet->keys + 1, s->pool.targets - 1);
      detection_detector_set_targets (fleet->detector, s->pool.now_us,
                                      fleet->keys, s->pool.targets);
    }
}

static void
record_ejections (struct result *result, uint32_t ejected,
                  const struct scenario *scenario, bool *found,
                  uint32_t requests, int64_t detection_us)
{
  uint32_t faulty
      = scenario->nothing_to_eject ? 0 : (1U << scenario->fault.targets) - 1;
  result->false_ejections += (uint32_t)__builtin_popcount (ejected & ~faulty);
  if (*found || (ejected & faulty) == 0)
    return;
  *found = true;
  result->requests[result->found] = requests;
  result->detection_ms[result->found] = (double)detection_us / 1000;
  result->found++;
}

static bool
all_found (const bool found[METHOD_COUNT])
{
  for (int m = 0; m < METHOD_COUNT; m++)
    if (!found[m])
      return false;
  return true;
}

/* Ejections before the fault aren't counted, as the deviation method ejects
   healthy targets all the time; run_false() counts those. */
static void
run_once (const struct scenario *scenario, uint64_t seed,
          struct result *results)
{
  struct comparison s;
  comparison_init (&s, seed);
  s.pool.background = scenario->background;
  s.pool.fault = scenario->fault;
  s.pool.fault.start_us = FAULT_START_US;
  if (s.pool.fault.end_us != 0)
    s.pool.fault.end_us += FAULT_START_US;
  while (s.pool.now_us < FAULT_START_US)
    comparison_next (&s);
  if (scenario->cold_start)
    replace_first_target (&s);
  bool found[METHOD_COUNT] = { false };
  uint32_t requests = 0;
  int64_t length_us = scenario->nothing_to_eject ? DETECTION_TIMEOUT_US / 5
                                                 : DETECTION_TIMEOUT_US;
  while (s.pool.now_us < FAULT_START_US + length_us && !all_found (found))
    {
      struct fake_outcome o = comparison_next (&s);
      requests += o.target == 0;
      for (int m = 0; m < METHOD_COUNT; m++)
        record_ejections (&results[m], s.ejected[m], scenario, &found[m],
                          requests, o.now_us - FAULT_START_US);
    }
  comparison_clear (&s);
}

static void
print_found (const struct scenario *scenario, enum method m,
             struct result *result)
{
  const char *method = method_names[m];
  printf ("figure detect_%s_found_%s %.3f share\n", scenario->name, method,
          (double)result->found / RUNS);
  if (result->found == 0)
    return;
  printf ("figure detect_%s_requests_%s %.1f requests\n", scenario->name,
          method, mean (result->requests, result->found));
  printf ("figure detect_%s_requests_p99_%s %.0f requests\n", scenario->name,
          method, quantile (result->requests, result->found, 0.99));
  printf ("figure detect_%s_ms_%s %.0f ms\n", scenario->name, method,
          mean (result->detection_ms, result->found));
}

static void
run_scenario (const struct scenario *scenario)
{
  struct result results[METHOD_COUNT];
  memset (results, 0, sizeof results);
  for (uint64_t seed = 1; seed <= RUNS; seed++)
    run_once (scenario, seed, results);
  for (int m = 0; m < METHOD_COUNT; m++)
    {
      if (!scenario->nothing_to_eject)
        print_found (scenario, m, &results[m]);
      printf ("figure detect_%s_false_ejections_%s %.3f per_run\n",
              scenario->name, method_names[m],
              (double)results[m].false_ejections / RUNS);
    }
  fflush (stdout);
}

static void
run_false (double background, uint64_t thousands)
{
  struct comparison s;
  comparison_init (&s, 7);
  s.pool.background = background;
  uint64_t counts[METHOD_COUNT] = { 0 };
  for (uint64_t i = 0; i < thousands * 1000; i++)
    {
      comparison_next (&s);
      for (int m = 0; m < METHOD_COUNT; m++)
        counts[m] += (uint64_t)__builtin_popcount (s.ejected[m]);
    }
  for (int m = 0; m < METHOD_COUNT; m++)
    printf ("figure detect_false_ejections_at_%.0fpercent_%s %.3f "
            "per_million_requests\n",
            100 * background, method_names[m],
            (double)counts[m] * 1000 / (double)thousands);
  printf ("figure detect_false_run_at_%.0fpercent %.1f million_requests\n",
          100 * background, (double)thousands / 1000);
  comparison_clear (&s);
  fflush (stdout);
}

static double
seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
run_cost (uint32_t targets)
{
  uint64_t *keys = calloc (targets, sizeof *keys);
  if (keys == NULL)
    return;
  struct rng rng;
  rng_seed (&rng, 1);
  for (uint32_t i = 0; i < targets; i++)
    keys[i] = rng_next (&rng);
  struct detection_recorder *recorder = detection_recorder_create ();
  detection_recorder_set_targets (recorder, keys, targets);
  uint32_t urgent = 0;
  double start = seconds ();
  for (uint32_t i = 0; i < COST_REQUESTS; i++)
    urgent += detection_recorder_record (recorder, keys[i % targets],
                                         ATTEMPT_ANSWERED, 1000 + i % 65536);
  double elapsed = seconds () - start;
  printf ("figure detect_record_ns_%u_targets %.1f ns\n", targets,
          elapsed * 1e9 / COST_REQUESTS);
  if (urgent != 0)
    printf ("unexpected urgent reports: %u\n", urgent);
  detection_recorder_destroy (recorder);
  free (keys);
}

int
main (int argc, char **argv)
{
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    if (argc < 3 || strcmp (argv[2], scenarios[i].name) == 0)
      run_scenario (&scenarios[i]);
  uint64_t thousands
      = argc > 1 ? strtoull (argv[1], NULL, 10) : FALSE_THOUSANDS;
  run_false (0.01, thousands);
  run_false (0.03, thousands);
  run_cost (10);
  run_cost (1000);
  return 0;
}
