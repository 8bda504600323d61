/** @file
 * How slow a target is, measured by the work of the requests that it ran.
 *
 * The mean latency of a target also depends on which requests it happened to
 * run.  The ratio of the time that each took to the work expected of it
 * doesn't.
 */
#ifndef POLICY_COST_TARGET_WORK_H
#define POLICY_COST_TARGET_WORK_H

#include <stdint.h>

/** All zero before any sample. */
struct target_work
{
  double ratio; /**< mean of time to expected work, relative */
  uint32_t samples;
  int64_t updated_us;
};

/** An answered attempt took RATIO times the work expected of it, relative to
 * those at all targets at that time. */
void target_work_observe (struct target_work *work, int64_t now_us,
                          double ratio);

/** The slowness of a target relative to MEDIAN, the median ratio of all
 * targets (0: unknown): 1 with few or old samples.  Because of the median, it
 * stays when all targets become slower together. */
double target_work_slowness (const struct target_work *work, double median,
                             int64_t now_us);

#endif
