#include "policy/choice/attempt_rules.h"

enum attempt_stage
attempt_stage_of (enum attempt_end end)
{
  switch (end)
    {
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_SHED:
      return STAGE_NOT_RUN;
    case ATTEMPT_ANSWERED:
    case ATTEMPT_FAILED:
      return STAGE_ANSWERED;
    case ATTEMPT_CUT:
    case ATTEMPT_TIMED_OUT:
    case ATTEMPT_CANCELLED:
      return STAGE_PERHAPS_SENT;
    }
  return STAGE_PERHAPS_SENT;
}

bool
attempt_may_say_not_run (enum attempt_end end)
{
  return attempt_stage_of (end) == STAGE_NOT_RUN;
}

/* Guards at-most-once: an unrepeatable request whose fate is unknown would
 * run twice (two holds, two wires) if it were sent again; only a stage in
 * which nothing ran leaves that out. */
bool
attempt_may_retry (enum attempt_end end, bool repeatable)
{
  if (end == ATTEMPT_ANSWERED || end == ATTEMPT_CANCELLED)
    return false;
  return repeatable || attempt_stage_of (end) == STAGE_NOT_RUN;
}

int64_t
attempt_timeout_us (int64_t typical_us, int64_t left_us,
                    uint32_t attempts_left)
{
  const int64_t half_us = left_us / 2;
  if (attempts_left == 0 || half_us <= 0)
    return ATTEMPT_NO_TIMEOUT;
  if (typical_us <= 0)
    return half_us;
  /* Guards slow but honest answers against being cut off and asked for again,
   * which would load the other targets just when all are slow. */
  if (typical_us > half_us / ATTEMPT_TIMEOUT_TYPICAL_LEAST)
    return ATTEMPT_NO_TIMEOUT;
  int64_t timeout_us = typical_us * ATTEMPT_TIMEOUT_TYPICAL;
  if (timeout_us < ATTEMPT_TIMEOUT_LEAST_US)
    timeout_us = ATTEMPT_TIMEOUT_LEAST_US;
  return timeout_us < half_us ? timeout_us : half_us;
}
