/** @file
 * Evidence of one host on the targets of one service.
 *
 * detection_recorder_record() is called at each outcome: a table look-up and a
 * few additions, no allocation.  detection_recorder_collect() returns the
 * evidence recorded since the last call, for the report to the service's
 * owner.
 */
#ifndef POLICY_DETECTION_RECORDER_H
#define POLICY_DETECTION_RECORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/evidence.h"

/** Reported evidence on one target. */
struct detection_report_item
{
  uint64_t target_key; /**< as in struct policy_target */
  struct detection_evidence evidence;
};

struct detection_recorder;

struct detection_recorder *detection_recorder_create (void);
void detection_recorder_destroy (struct detection_recorder *recorder);

/** Replaces the target set.  Evidence on keys that remain is kept. */
void detection_recorder_set_targets (struct detection_recorder *recorder,
                                     const uint64_t *keys, size_t count);

/** Counts one outcome of the target with KEY; unknown keys are ignored.
 * @param latency_us from sending to the end of the attempt
 * @return true if the target has so many failures since the last report that
 * reporting at once shortens detection; the caller limits the rate of such
 * reports. */
bool detection_recorder_record (struct detection_recorder *recorder,
                                uint64_t key, enum attempt_end end,
                                int64_t latency_us);

/** Copies and clears the recorded evidence, one item for each target that has
 * any.
 * @param items space for MAX_ITEMS items; the remaining ones are returned by
 * the next call
 * @return the number of items written */
size_t detection_recorder_collect (struct detection_recorder *recorder,
                                   struct detection_report_item *items,
                                   size_t max_items);

#endif
