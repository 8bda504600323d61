/** @file
 * The current rate limit of one target.  Responses may arrive out of order,
 * so the response to the request that was sent last takes precedence.
 */
#ifndef POLICY_LIMIT_LIMIT_STATE_H
#define POLICY_LIMIT_LIMIT_STATE_H

#include <stdbool.h>
#include <stdint.h>

struct limit_state
{
  uint32_t rate_millis; /**< thousandths of a request a second; 0: no limit */
  int64_t sent_us;      /**< when the request was sent whose response set it */
  int64_t missing_since_us; /**< first response without the field; 0: none
                               since the limit was last updated */
};

enum
{
  /** How long responses must lack the field until a limit is withdrawn. */
  LIMIT_WITHDRAWAL_DELAY_US = 1000 * 1000,
};

/** A response to a request sent at SENT_US sets a limit of RATE_MILLIS.
 * @return whether the limit has changed */
bool limit_state_note_answer (struct limit_state *state, uint32_t rate_millis,
                              int64_t sent_us);

/** A response received at NOW_US to a request sent at SENT_US lacks the field.
 * @return whether the limit is withdrawn */
bool limit_state_note_missing (struct limit_state *state, int64_t now_us,
                               int64_t sent_us);

/** Another host reports a limit of RATE_MILLIS, 0 for none, from a response to
 * a request sent at SENT_US.
 * @return whether the limit has changed */
bool limit_state_note_reported (struct limit_state *state,
                                uint32_t rate_millis, int64_t sent_us);

#endif
