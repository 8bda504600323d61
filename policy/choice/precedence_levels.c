#include "policy/choice/precedence_levels.h"

#include <math.h>

enum
{
  /* A number is in use for this long after its last request: longer than most
     requests wait, so that the order of the queue doesn't change back while
     requests of several numbers are queued. */
  IN_USE_US = 10000000,
};

/* Long enough for several requests of a kind of which a host gets one a
   second, short compared with the overloads in which kinds starve. */
static const double half_life_us = 5e6;
/* A kind must be served at least a quarter as often as all.  The thresholds
   are higher, since the share is a mean over the last seconds, and fall with
   the number, so that several starved kinds aren't served in the wrong order.
 */
static const double starved_share_max = 0.45;
static const double starved_share_min = 0.3;
static const double starved_share_step = 0.05;
/* With fewer decided requests the share is too uncertain. */
static const double min_requests = 4;

static uint32_t
index_of (uint32_t precedence)
{
  return precedence < PRECEDENCE_LEVELS ? precedence : PRECEDENCE_LEVELS - 1;
}

static bool
is_in_use (const struct precedence_levels *levels, int64_t now_us,
           uint32_t index)
{
  const struct precedence_level *level = &levels->levels[index];
  return level->seen && now_us - level->seen_us < IN_USE_US;
}

static void
decay (struct precedence_levels *levels, int64_t now_us)
{
  if (now_us <= levels->decayed_us)
    return;
  const double kept
      = exp2 (-(double)(now_us - levels->decayed_us) / half_life_us);
  levels->decayed_us = now_us;
  for (int i = 0; i < PRECEDENCE_LEVELS; i++)
    {
      levels->levels[i].sent *= kept;
      levels->levels[i].refused *= kept;
    }
}

void
precedence_levels_note_arrival (struct precedence_levels *levels,
                                int64_t now_us, uint32_t precedence)
{
  struct precedence_level *level = &levels->levels[index_of (precedence)];
  level->seen = true;
  level->seen_us = now_us;
}

void
precedence_levels_note_end (struct precedence_levels *levels, int64_t now_us,
                            uint32_t precedence, bool sent)
{
  struct precedence_level *level = &levels->levels[index_of (precedence)];
  decay (levels, now_us);
  if (sent)
    level->sent += 1;
  else
    level->refused += 1;
}

bool
precedence_levels_has_several (const struct precedence_levels *levels,
                               int64_t now_us)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < PRECEDENCE_LEVELS && count < 2; i++)
    count += is_in_use (levels, now_us, i);
  return count > 1;
}

uint32_t
precedence_levels_below (const struct precedence_levels *levels,
                         int64_t now_us, uint32_t precedence)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < index_of (precedence); i++)
    count += is_in_use (levels, now_us, i);
  return count;
}

uint32_t
precedence_levels_next_lower (const struct precedence_levels *levels,
                              int64_t now_us, uint32_t precedence)
{
  for (uint32_t i = index_of (precedence); i-- > 0;)
    if (is_in_use (levels, now_us, i))
      return i;
  return precedence;
}

uint32_t
precedence_levels_lowest (const struct precedence_levels *levels,
                          int64_t now_us, uint32_t precedence)
{
  for (uint32_t i = 0; i < index_of (precedence); i++)
    if (is_in_use (levels, now_us, i))
      return i;
  return precedence;
}

bool
precedence_levels_is_starved (const struct precedence_levels *levels,
                              int64_t now_us, uint32_t precedence)
{
  const uint32_t below = precedence_levels_below (levels, now_us, precedence);
  const double threshold
      = fmax (starved_share_max - (double)below * starved_share_step,
              starved_share_min);
  const struct precedence_level *own = &levels->levels[index_of (precedence)];
  double sent = 0;
  double refused = 0;
  for (int i = 0; i < PRECEDENCE_LEVELS; i++)
    {
      sent += levels->levels[i].sent;
      refused += levels->levels[i].refused;
    }
  const double own_requests = own->sent + own->refused;
  return own_requests >= min_requests
         && own->sent * (sent + refused) < threshold * sent * own_requests;
}
