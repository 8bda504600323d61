#include "policy/choice/answer_times.h"

#include <math.h>

enum
{
  FIRST_US = 1000,
  /** Answers that a service gives before its times mean anything. */
  KNOWN_FROM = 12,
  /** Answers that are added before their shares are counted again. */
  SUMMED_AFTER = 16,
};

/* Each answer makes those before it weigh so much less: about the last three
   hundred count. */
static const double weight_growth = 1.0033;
static const double weight_most = 1e9;
/* Some answers take several times as long as all others, and few are seen. */
static const double longer_least = 0.01;

void
answer_times_init (struct answer_times *times)
{
  *times = (struct answer_times){ .weight = 1 };
  for (uint32_t i = 0; i <= ANSWER_TIMES_STEPS; i++)
    times->survival[i] = 1;
}

int64_t
answer_times_step_us (uint32_t n)
{
  return (int64_t)(FIRST_US * exp2 ((double)n / ANSWER_TIMES_PER_OCTAVE));
}

/* The place of LATENCY_US on the scale of steps; 0 is their beginning. */
static double
place_of (int64_t latency_us)
{
  if (latency_us <= FIRST_US)
    return 0;
  const double place
      = log2 ((double)latency_us / FIRST_US) * ANSWER_TIMES_PER_OCTAVE;
  return place < ANSWER_TIMES_STEPS ? place : ANSWER_TIMES_STEPS - 0.001;
}

static void
rescale (struct answer_times *times)
{
  for (uint32_t i = 0; i < ANSWER_TIMES_STEPS; i++)
    times->answers[i] /= times->weight;
  times->count /= times->weight;
  times->weight = 1;
}

static void
sum_up (struct answer_times *times)
{
  double longer = 0;
  times->unsummed = 0;
  times->survival[ANSWER_TIMES_STEPS] = 0;
  for (uint32_t i = ANSWER_TIMES_STEPS; i > 0; i--)
    {
      longer += times->answers[i - 1];
      times->survival[i - 1] = longer / times->count;
    }
}

void
answer_times_add (struct answer_times *times, int64_t latency_us)
{
  times->answers[(uint32_t)place_of (latency_us)] += times->weight;
  times->count += times->weight;
  times->weight *= weight_growth;
  times->unsummed++;
  if (times->weight > weight_most)
    rescale (times);
  if (times->unsummed >= SUMMED_AFTER
      || times->count < KNOWN_FROM * times->weight)
    sum_up (times);
}

bool
answer_times_known (const struct answer_times *times)
{
  return times->count >= KNOWN_FROM * times->weight;
}

bool
answer_times_are_few (const struct answer_times *times)
{
  return times->weight > times->count * longer_least;
}

double
answer_times_longer (const struct answer_times *times, int64_t age_us)
{
  if (!answer_times_known (times))
    return 1;
  const double place = place_of (age_us);
  const uint32_t step = (uint32_t)place;
  const double within = place - step;
  const double longer = times->survival[step] * (1 - within)
                        + times->survival[step + 1] * within;
  /* Nor does none of few answers mean that there is none. */
  const double least = times->weight / times->count;
  if (longer > longer_least && longer > least)
    return longer;
  return least > longer_least ? least : longer_least;
}
