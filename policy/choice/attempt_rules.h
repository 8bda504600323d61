/** @file
 * How far an attempt got, and what that allows.
 */
#ifndef POLICY_CHOICE_ATTEMPT_RULES_H
#define POLICY_CHOICE_ATTEMPT_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

/** What is known of the request's fate at the target. */
enum attempt_stage
{
  STAGE_NOT_RUN,    /**< not sent, or refused by the target as not run */
  STAGE_MAYBE_SENT, /**< unknown: it may have run */
  STAGE_ANSWERED,   /**< it ran, or the target says how it ended */
};

enum attempt_stage attempt_stage_of (enum attempt_end end);

/** May the caller be told that the request was not run? */
bool attempt_may_report_not_run (enum attempt_end end);

/** May the request be sent again? */
bool attempt_may_retry (enum attempt_end end, bool repeatable);

#endif
