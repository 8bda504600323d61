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
add (struct served_share *share, int64_t now_us, double unserved)
{
  const double kept = exp (-(double)(now_us - share->faded_us) / FADES_US);
  share->faded_us = now_us;
  share->ended = share->ended * kept + 1;
  share->failed = share->failed * kept + unserved;
}

void
served_share_add (struct served_share *share, int64_t now_us,
                  const struct policy_outcome *outcome)
{
  if (outcome->end == ATTEMPT_CANCELLED)
    return;
  const double unserved = outcome->repeatable ? unserved_of_repeatable : 1;
  add (share, now_us, outcome->end != ATTEMPT_ANSWERED ? unserved : 0);
}

void
served_share_add_refused (struct served_share *share, int64_t now_us)
{
  add (share, now_us, 1);
}

double
served_share_missing (const struct served_share *share)
{
  return share->ended < LEAST_ENDED ? 0 : share->failed / share->ended;
}
