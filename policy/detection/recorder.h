/** @file
 * One host's evidence on the targets of one service.
 *
 * detection_recorder_record() is called at each outcome: a table look-up and
 * a few additions, no allocation.  detection_recorder_collect() hands over
 * what came together since the last call, to be sent to the service's owner.
 */
#ifndef POLICY_DETECTION_RECORDER_H
#define POLICY_DETECTION_RECORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/evidence.h"

/** Evidence on one target, as reported. */
struct detection_report_item
{
  uint64_t target_key; /**< as in struct policy_target */
  struct detection_evidence evidence;
};

struct detection_recorder;

struct detection_recorder *detection_recorder_create (void);
void detection_recorder_destroy (struct detection_recorder *recorder);

/** Replace the target set.  Evidence on keys that stay is kept. */
void detection_recorder_set_targets (struct detection_recorder *recorder,
                                     const uint64_t *keys, size_t count);

/** Count one outcome of the target with KEY; unknown keys are ignored.
 * @param latency_us from send to end
 * @return true when the failures on this target since the last report are
 * many enough that reporting at once would shorten detection; the caller
 * bounds how often it does so. */
bool detection_recorder_record (struct detection_recorder *recorder,
                                uint64_t key, enum attempt_end end,
                                int64_t latency_us);

/** Hand over and clear what was seen, one item a target with evidence.
 * @param items room for MOST items; what doesn't fit stays for the next call
 * @return the number of items written */
size_t detection_recorder_collect (struct detection_recorder *recorder,
                                   struct detection_report_item *items,
                                   size_t most);

#endif
