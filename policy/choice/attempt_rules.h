/** @file
 * How far an attempt got, and what that allows.
 */
#ifndef POLICY_CHOICE_ATTEMPT_RULES_H
#define POLICY_CHOICE_ATTEMPT_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  /** So many times the typical latency is surely no honest answer's time. */
  ATTEMPT_TIMEOUT_TYPICAL = 10,
  /** Below so many times, an honest answer may well be cut off. */
  ATTEMPT_TIMEOUT_TYPICAL_LEAST = 5,
  /** Collections, swapping and new connections pass within it. */
  ATTEMPT_TIMEOUT_LEAST_US = 1000000,
};

/** What is known of the request's fate at the target. */
enum attempt_stage
{
  STAGE_NOT_RUN,      /**< not sent, or refused by the target as not run */
  STAGE_PERHAPS_SENT, /**< unknown: it may have run */
  STAGE_ANSWERED,     /**< it ran, or the target says how it ended */
};

enum attempt_stage attempt_stage_of (enum attempt_end end);

/** May the caller be told that the request was not run? */
bool attempt_may_say_not_run (enum attempt_end end);

/** May the request be sent again? */
bool attempt_may_retry (enum attempt_end end, bool repeatable);

/** How long an attempt of a repeatable request may go without an answer's
 * head before another target is asked: ten times TYPICAL_US (0: not known)
 * but no less than a second, and at most half of LEFT_US, the time to the
 * deadline.
 * @return ATTEMPT_NO_TIMEOUT when it should wait for its deadline: it is the
 * last of ATTEMPTS_LEFT, or half the time left is no more than honest answers
 * take */
int64_t attempt_timeout_us (int64_t typical_us, int64_t left_us,
                            uint32_t attempts_left);

#endif
