/** @file
 * The verdict on one target: is its score high enough, and do its observers
 * agree?  Internal to the detector.
 */
#ifndef POLICY_DETECTION_EVALUATION_H
#define POLICY_DETECTION_EVALUATION_H

#include "policy/detection/target.h"

/** Judge TARGET and record verdict, reason and score in it.  An observer that
 * alone sees the target fail while others see it well is excluded from now
 * on, until it sees the target well again. */
void detection_evaluate (struct detection_target *target, int64_t now_us,
                         const struct detection_tests *tests);

/** Is a score raised enough to count against the rest of the service? */
bool detection_evaluation_elevated (const struct detection_target *target,
                                    const struct detection_tests *tests);

/** Are there failures or slow answers not yet made good, so that the target
 * may share in a fault that is common to many? */
bool detection_evaluation_residual (const struct detection_target *target,
                                    const struct detection_tests *tests);

/** When the evidence that convicts TARGET began. */
int64_t detection_evaluation_onset_us (const struct detection_target *target,
                                       const struct detection_tests *tests);

#endif
