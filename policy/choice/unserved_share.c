#include "policy/choice/unserved_share.h"

#include <math.h>

enum
{
  DECAY_US = 1500000, /* time for some requests at a host with little
                          traffic */
  MIN_FINISHED = 5,
};

/* Weight of failed attempts that can be retried.  Where one in six fails,
   the second attempt often fails too, and the retry budget is exhausted. */
static const double repeatable_failure_weight = 0.6;

static void
decay (struct unserved_share *share, int64_t now_us)
{
  const double kept = exp (-(double)(now_us - share->decayed_us) / DECAY_US);
  share->decayed_us = now_us;
  share->finished *= kept;
  share->failed *= kept;
  share->unreported *= kept;
  share->remote_failed *= kept;
}

void
unserved_share_add (struct unserved_share *share, int64_t now_us,
                    const struct policy_outcome *outcome)
{
  if (outcome->end == ATTEMPT_CANCELLED)
    return;
  decay (share, now_us);
  share->failure_weight = outcome->repeatable ? repeatable_failure_weight : 1;
  share->finished += 1;
  if (outcome->end == ATTEMPT_SHED || outcome->end == ATTEMPT_NOT_SENT)
    share->unreported += share->failure_weight;
  else if (outcome->end != ATTEMPT_ANSWERED)
    share->failed += share->failure_weight;
}

void
unserved_share_add_refused (struct unserved_share *share, int64_t now_us)
{
  decay (share, now_us);
  share->finished += 1;
  share->unreported += 1;
}

void
unserved_share_add_remote (struct unserved_share *share, int64_t now_us,
                           enum attempt_end end)
{
  if (end == ATTEMPT_CANCELLED || end == ATTEMPT_ANSWERED)
    return;
  decay (share, now_us);
  share->remote_failed += share->failure_weight;
}

double
unserved_share_value (const struct unserved_share *share, uint32_t set_hosts)
{
  if (share->finished < MIN_FINISHED)
    return 0;
  if (set_hosts < 2)
    return (share->failed + share->unreported) / share->finished;
  const double failed = (share->failed + share->remote_failed) / set_hosts;
  return (failed + share->unreported) / share->finished;
}
