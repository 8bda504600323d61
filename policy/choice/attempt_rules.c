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
      return STAGE_MAYBE_SENT;
    }
  return STAGE_MAYBE_SENT;
}

bool
attempt_may_report_not_run (enum attempt_end end)
{
  return attempt_stage_of (end) == STAGE_NOT_RUN;
}

/* Ensures at-most-once execution.  An unrepeatable request with an unknown
   outcome could run twice (for example, reserve or pay twice) if it were
   sent again; that is ruled out only if nothing was run. */
bool
attempt_may_retry (enum attempt_end end, bool repeatable)
{
  if (end == ATTEMPT_ANSWERED || end == ATTEMPT_CANCELLED)
    return false;
  return repeatable || attempt_stage_of (end) == STAGE_NOT_RUN;
}
