/** @file
 * How far an attempt got, and whether it may be retried.
 */
#ifndef POLICY_CHOICE_ATTEMPT_RULES_H
#define POLICY_CHOICE_ATTEMPT_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

/** What is known about the execution of the request at the target. */
enum attempt_stage
{
  STAGE_NOT_RUN,    /**< not sent, or rejected by the target without running
                         it */
  STAGE_MAYBE_SENT, /**< unknown: it may have run */
  STAGE_ANSWERED,   /**< it ran, or the target reported how it ended */
};

enum attempt_stage attempt_stage_of (enum attempt_end end);

/** May the request be reported to the caller as not run? */
bool attempt_may_report_not_run (enum attempt_end end);

/** May the request be sent again? */
bool attempt_may_retry (enum attempt_end end, bool repeatable);

#endif
