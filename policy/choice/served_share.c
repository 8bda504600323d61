#include "policy/choice/served_share.h"

#include <math.h>

enum
{
  FADES_US = 1500000, /* some requests of a quiet host */
  LEAST_ENDED = 5,
};

/* Of attempts that fail and may be tried elsewhere.  Where one in six fails,
   the second try often does as well, and retries run short. */
static const double unserved_of_repeatable = 0.6;

static void
fade (struct served_share *share, int64_t now_us)
{
  const double kept = exp (-(double)(now_us - share->faded_us) / FADES_US);
  share->faded_us = now_us;
  share->ended *= kept;
  share->failed *= kept;
  share->untold *= kept;
  share->heard *= kept;
}

void
served_share_add (struct served_share *share, int64_t now_us,
                  const struct policy_outcome *outcome)
{
  if (outcome->end == ATTEMPT_CANCELLED)
    return;
  fade (share, now_us);
  share->unserved = outcome->repeatable ? unserved_of_repeatable : 1;
  share->ended += 1;
  if (outcome->end == ATTEMPT_SHED || outcome->end == ATTEMPT_NOT_SENT)
    share->untold += share->unserved;
  else if (outcome->end != ATTEMPT_ANSWERED)
    share->failed += share->unserved;
}

void
served_share_add_refused (struct served_share *share, int64_t now_us)
{
  fade (share, now_us);
  share->ended += 1;
  share->untold += 1;
}

void
served_share_hear (struct served_share *share, int64_t now_us,
                   enum attempt_end end)
{
  if (end == ATTEMPT_CANCELLED || end == ATTEMPT_ANSWERED)
    return;
  fade (share, now_us);
  share->heard += share->unserved;
}

double
served_share_missing (const struct served_share *share, uint32_t set_hosts)
{
  if (share->ended < LEAST_ENDED)
    return 0;
  if (set_hosts < 2)
    return (share->failed + share->untold) / share->ended;
  const double failed = (share->failed + share->heard) / set_hosts;
  return (failed + share->untold) / share->ended;
}
