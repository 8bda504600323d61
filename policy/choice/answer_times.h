/** @file
 * How long good answers of a service take, as learned: a histogram over times
 * that grow by a constant factor, in which older answers fade.
 *
 * It says what the age of an attempt without an answer means.  A constant, or
 * a multiple of the mean, can't: of a service whose answers take 0.5 s and
 * seldom more than twice that, a second is a long time, of another with the
 * same mean it isn't.
 */
#ifndef POLICY_CHOICE_ANSWER_TIMES_H
#define POLICY_CHOICE_ANSWER_TIMES_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  ANSWER_TIMES_PER_OCTAVE = 8, /**< steps of a tenth: finer than the scatter */
  ANSWER_TIMES_OCTAVES = 17,   /**< from 1 ms to two minutes */
  ANSWER_TIMES_STEPS = ANSWER_TIMES_PER_OCTAVE * ANSWER_TIMES_OCTAVES,
};

struct answer_times
{
  double answers[ANSWER_TIMES_STEPS];      /**< by time, fading */
  double survival[ANSWER_TIMES_STEPS + 1]; /**< share that takes longer than
                                              the beginning of each step */
  double count;                            /**< sum of `answers` */
  double
      weight; /**< of the next answer; grows in place of all others' fading */
  uint32_t unsummed; /**< answers that `survival` doesn't show yet */
};

void answer_times_init (struct answer_times *times);

/** A good answer took LATENCY_US. */
void answer_times_add (struct answer_times *times, int64_t latency_us);

/** Is enough known for answer_times_longer() to mean anything? */
bool answer_times_known (const struct answer_times *times);

/** Are they too few for a rare longer one to be told from none? */
bool answer_times_are_few (const struct answer_times *times);

/** The share of answers that take longer than AGE_US: never 0, since longer
 * ones than any before may come. */
double answer_times_longer (const struct answer_times *times, int64_t age_us);

/** The beginning of step N. */
int64_t answer_times_step_us (uint32_t n);

#endif
