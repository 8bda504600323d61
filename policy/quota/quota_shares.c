#include "policy/quota/quota_shares.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/quota/quota_limit.h"

enum
{
  FLEET_KEPT_MS = 60 * 1000,
  FIRST_ROOM = 16,
  /** Hosts that start together, or whose keeper is lost, have lent their
   * shares within a third of that; the rest is for what callers sent
   * meanwhile. */
  SETTLE_MS = 2000,
};

static const double MS_PER_SECOND = 1000.0;
static const double much_grown = 1.25;

struct lent_share
{
  uint64_t lender;
  int64_t until_ms;
};

struct quota_shares
{
  struct lent_share *lent;
  size_t lent_count;
  size_t lent_room;
  int64_t own_from_ms;
  uint32_t hosts;
  int64_t hosts_ms;     /* when `hosts` was last told */
  uint32_t fewer_hosts; /* the highest of the numbers below it since */
  double part;          /* the least since it grew much */
  int64_t grown_ms;     /* when that was */
  int64_t counted_ms;   /* up to which `seconds` is counted */
  double seconds;
};

struct quota_shares *
quota_shares_create (int64_t now_ms, int64_t own_from_ms)
{
  struct quota_shares *shares = xcalloc (1, sizeof *shares);
  shares->counted_ms = now_ms;
  shares->own_from_ms = own_from_ms;
  return shares;
}

void
quota_shares_destroy (struct quota_shares *shares)
{
  if (shares == NULL)
    return;
  free (shares->lent);
  free (shares);
}

/* The time within [FROM_MS, UNTIL_MS) that isn't counted yet. */
static int64_t
uncounted_ms (const struct quota_shares *shares, int64_t now_ms,
              int64_t from_ms, int64_t until_ms)
{
  const int64_t begin_ms
      = from_ms > shares->counted_ms ? from_ms : shares->counted_ms;
  const int64_t end_ms = until_ms < now_ms ? until_ms : now_ms;
  return end_ms > begin_ms ? end_ms - begin_ms : 0;
}

/* Count up to NOW_MS and drop what is over. */
static void
count (struct quota_shares *shares, int64_t now_ms)
{
  size_t kept = 0;
  if (now_ms <= shares->counted_ms)
    return;
  int64_t usable_ms
      = uncounted_ms (shares, now_ms, shares->own_from_ms, INT64_MAX);
  for (size_t i = 0; i < shares->lent_count; i++)
    {
      const struct lent_share share = shares->lent[i];
      usable_ms += uncounted_ms (shares, now_ms, INT64_MIN, share.until_ms);
      if (share.until_ms > now_ms)
        shares->lent[kept++] = share;
    }
  shares->lent_count = kept;
  if (shares->hosts > 0)
    shares->seconds += (double)usable_ms / MS_PER_SECOND / shares->hosts;
  shares->counted_ms = now_ms;
}

void
quota_shares_note_host_count (struct quota_shares *shares, int64_t now_ms,
                              uint32_t hosts)
{
  count (shares, now_ms);
  if (hosts >= shares->hosts)
    {
      shares->hosts = hosts;
      shares->hosts_ms = now_ms;
      shares->fewer_hosts = 0;
      return;
    }
  if (hosts > shares->fewer_hosts)
    shares->fewer_hosts = hosts;
  if (now_ms - shares->hosts_ms < FLEET_KEPT_MS)
    return;
  shares->hosts = shares->fewer_hosts;
  shares->hosts_ms = now_ms;
  shares->fewer_hosts = 0;
}

uint32_t
quota_shares_host_count (const struct quota_shares *shares)
{
  return shares->hosts;
}

void
quota_shares_set_own_from (struct quota_shares *shares, int64_t now_ms,
                           int64_t from_ms)
{
  count (shares, now_ms);
  shares->own_from_ms = from_ms;
}

static struct lent_share *
share_of (struct quota_shares *shares, uint64_t lender)
{
  for (size_t i = 0; i < shares->lent_count; i++)
    if (shares->lent[i].lender == lender)
      return &shares->lent[i];
  if (shares->lent_count == shares->lent_room)
    {
      shares->lent_room
          = shares->lent_room > 0 ? shares->lent_room * 2 : FIRST_ROOM;
      shares->lent = xreallocarray (shares->lent, shares->lent_room,
                                    sizeof *shares->lent);
    }
  struct lent_share *share = &shares->lent[shares->lent_count++];
  *share = (struct lent_share){ .lender = lender };
  return share;
}

void
quota_shares_add_lease (struct quota_shares *shares, int64_t now_ms,
                        uint64_t lender, int64_t after_ms)
{
  const int64_t until_ms
      = after_ms + quota_term_less_drift_ms (QUOTA_LEASE_MS);
  count (shares, now_ms);
  if (until_ms <= now_ms)
    return;
  struct lent_share *share = share_of (shares, lender);
  if (until_ms > share->until_ms)
    share->until_ms = until_ms;
}

static void
note_growth (struct quota_shares *shares, int64_t now_ms, double part)
{
  if (part > shares->part * much_grown)
    shares->grown_ms = now_ms;
  if (part > shares->part * much_grown || part < shares->part)
    shares->part = part;
}

double
quota_shares_fraction (struct quota_shares *shares, int64_t now_ms)
{
  count (shares, now_ms);
  if (shares->hosts == 0)
    return 0;
  const bool has_own = now_ms >= shares->own_from_ms;
  const size_t usable = shares->lent_count + (has_own ? 1 : 0);
  const double part
      = usable < shares->hosts ? (double)usable / shares->hosts : 1;
  note_growth (shares, now_ms, part);
  return part;
}

bool
quota_shares_are_stable (struct quota_shares *shares, int64_t now_ms)
{
  const double part = quota_shares_fraction (shares, now_ms);
  return part > 0 && now_ms - shares->grown_ms >= SETTLE_MS;
}

double
quota_shares_integral_s (struct quota_shares *shares, int64_t now_ms)
{
  count (shares, now_ms);
  return shares->seconds;
}
