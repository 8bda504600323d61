/** @file
 * Fields of a detector, shared by its sources.  Internal.
 */
#ifndef POLICY_DETECTION_DETECTOR_STATE_H
#define POLICY_DETECTION_DETECTOR_STATE_H

#include "policy/detection/detector.h"
#include "policy/detection/target.h"

struct detection_detector
{
  struct detection_detector_options options;
  struct readmission_options readmission;
  struct detection_target *targets; /* by key */
  struct baseline baseline;
  struct detection_tests tests;
  int64_t decayed_us;
  int64_t upstream_until_us;
  size_t capacity; /* of each array below, but not of paths */
  const struct baseline_target **baseline_targets;
  struct baseline_rank *order;
  struct detection_ejection *eject;
  uint64_t *probe;
  struct detection_share *shares;
  uint64_t *reinstate;
  struct detection_path *paths;
  size_t path_capacity;
};

/** Sets the tests from the current baseline and preference. */
void detection_detector_set_tests (struct detection_detector *detector);

#endif
