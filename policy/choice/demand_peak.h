/** @file
 * The recent peak of concurrent demand, from samples taken at any time.
 */
#ifndef POLICY_CHOICE_DEMAND_PEAK_H
#define POLICY_CHOICE_DEMAND_PEAK_H

#include <stdint.h>

enum
{
  /** A peak is remembered for one to two windows. */
  DEMAND_WINDOW_US = 1000000,
};

/** All zero means no demand yet. */
struct demand_peak
{
  int64_t window; /**< index of the window of `current` */
  uint32_t current;
  uint32_t previous; /**< peak of the previous window */
};

/** Add a sample: at NOW_US, WANTED requests were in flight or waiting. */
void demand_peak_add (struct demand_peak *peak, int64_t now_us,
                      uint32_t wanted);

/** The peak as of NOW_US. */
uint32_t demand_peak_value (const struct demand_peak *peak, int64_t now_us);

#endif
