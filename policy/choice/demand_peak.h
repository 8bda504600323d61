/** @file
 * The most that was wanted at once lately, from samples at any times.
 */
#ifndef POLICY_CHOICE_DEMAND_PEAK_H
#define POLICY_CHOICE_DEMAND_PEAK_H

#include <stdint.h>

enum
{
  /** A peak counts for one to two of these. */
  DEMAND_WINDOW_US = 1000000,
};

/** Zeroed: nothing wanted yet. */
struct demand_peak
{
  int64_t window; /**< number of the window that CURRENT is of */
  uint32_t current;
  uint32_t previous; /**< of the window before */
};

/** At NOW_US as many as WANTED were in flight or waiting. */
void demand_peak_add (struct demand_peak *peak, int64_t now_us,
                      uint32_t wanted);

/** The peak as of NOW_US. */
uint32_t demand_peak_value (const struct demand_peak *peak, int64_t now_us);

#endif
