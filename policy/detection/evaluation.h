/** @file
 * Evaluation of one target: whether its score is high enough, and whether its
 * observers agree.  Internal to the detector.
 */
#ifndef POLICY_DETECTION_EVALUATION_H
#define POLICY_DETECTION_EVALUATION_H

#include "policy/detection/target.h"

/** Evaluates TARGET and stores verdict, reason and score in it.  An observer
 * that is the only one to observe failures, while the others observe the
 * target as healthy, is excluded until it observes the target as healthy
 * again. */
void detection_evaluate (struct detection_target *target, int64_t now_us,
                         const struct detection_tests *tests);

/** Returns whether a score is elevated enough for the target to count as one
 * of several affected by a shared fault. */
bool detection_evaluation_elevated (const struct detection_target *target,
                                    const struct detection_tests *tests);

/** Returns whether a score still reflects failures or slow responses, so that
 * the target may be affected by a fault common to many targets. */
bool detection_evaluation_residual (const struct detection_target *target,
                                    const struct detection_tests *tests);

/** Returns when the evidence for a verdict of BAD began. */
int64_t detection_evaluation_onset_us (const struct detection_target *target,
                                       const struct detection_tests *tests);

#endif
