#include "policy/quota/quota_shares.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/quota/quota_limit.h"

enum
{
  HOST_COUNT_RETENTION_MS = 60 * 1000,
  INITIAL_LEASE_CAPACITY = 16,
  /** Time after the last large growth until the fraction counts as stable.
   * Hosts that start together, or whose coordinator has failed, lease their
   * shares within a third of this time; the rest is for the requests that
   * callers sent in the meantime. */
  STABILIZATION_MS = 2000,
};

static const double MS_PER_SECOND = 1000.0;
/* Growth of the fraction by more than this factor is large. */
static const double LARGE_GROWTH_FACTOR = 1.25;

struct share_lease
{
  uint64_t lessor;
  int64_t expires_ms;
};

struct quota_shares
{
  struct share_lease *leases;
  size_t lease_count;
  size_t lease_capacity;
  int64_t own_from_ms;
  uint32_t hosts;
  int64_t hosts_ms;         /* when `hosts` was last reported */
  uint32_t lower_hosts;     /* highest lower number reported since */
  double fraction;          /* minimum since the last large growth */
  int64_t growth_ms;        /* time of the last large growth */
  int64_t counted_until_ms; /* time up to which `integral_s` is computed */
  double integral_s;
};

struct quota_shares *
quota_shares_create (int64_t now_ms, int64_t own_from_ms)
{
  struct quota_shares *shares = xcalloc (1, sizeof *shares);
  shares->counted_until_ms = now_ms;
  shares->own_from_ms = own_from_ms;
  return shares;
}

void
quota_shares_destroy (struct quota_shares *shares)
{
  if (shares == NULL)
    return;
  free (shares->leases);
  free (shares);
}

/* Returns the length of the part of [FROM_MS, TO_MS) that isn't counted
   yet. */
static int64_t
uncounted_ms (const struct quota_shares *shares, int64_t now_ms,
              int64_t from_ms, int64_t to_ms)
{
  const int64_t begin_ms = from_ms > shares->counted_until_ms
                               ? from_ms
                               : shares->counted_until_ms;
  const int64_t end_ms = to_ms < now_ms ? to_ms : now_ms;
  return end_ms > begin_ms ? end_ms - begin_ms : 0;
}

/* Advances the integral to NOW_MS and removes the leases that have ended. */
static void
advance_integral (struct quota_shares *shares, int64_t now_ms)
{
  size_t kept = 0;
  if (now_ms <= shares->counted_until_ms)
    return;
  int64_t usable_ms
      = uncounted_ms (shares, now_ms, shares->own_from_ms, INT64_MAX);
  for (size_t i = 0; i < shares->lease_count; i++)
    {
      const struct share_lease lease = shares->leases[i];
      usable_ms += uncounted_ms (shares, now_ms, INT64_MIN, lease.expires_ms);
      if (lease.expires_ms > now_ms)
        shares->leases[kept++] = lease;
    }
  shares->lease_count = kept;
  if (shares->hosts > 0)
    shares->integral_s += (double)usable_ms / MS_PER_SECOND / shares->hosts;
  shares->counted_until_ms = now_ms;
}

void
quota_shares_note_host_count (struct quota_shares *shares, int64_t now_ms,
                              uint32_t hosts)
{
  advance_integral (shares, now_ms);
  if (hosts >= shares->hosts)
    {
      shares->hosts = hosts;
      shares->hosts_ms = now_ms;
      shares->lower_hosts = 0;
      return;
    }
  if (hosts > shares->lower_hosts)
    shares->lower_hosts = hosts;
  if (now_ms - shares->hosts_ms < HOST_COUNT_RETENTION_MS)
    return;
  shares->hosts = shares->lower_hosts;
  shares->hosts_ms = now_ms;
  shares->lower_hosts = 0;
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
  advance_integral (shares, now_ms);
  shares->own_from_ms = from_ms;
}

static struct share_lease *
find_or_add_lease (struct quota_shares *shares, uint64_t lessor)
{
  for (size_t i = 0; i < shares->lease_count; i++)
    if (shares->leases[i].lessor == lessor)
      return &shares->leases[i];
  if (shares->lease_count == shares->lease_capacity)
    {
      shares->lease_capacity = shares->lease_capacity > 0
                                   ? shares->lease_capacity * 2
                                   : INITIAL_LEASE_CAPACITY;
      shares->leases = xreallocarray (shares->leases, shares->lease_capacity,
                                      sizeof *shares->leases);
    }
  struct share_lease *lease = &shares->leases[shares->lease_count++];
  *lease = (struct share_lease){ .lessor = lessor };
  return lease;
}

void
quota_shares_add_lease (struct quota_shares *shares, int64_t now_ms,
                        uint64_t lessor, int64_t after_ms)
{
  const int64_t expires_ms
      = after_ms + quota_term_less_drift_ms (QUOTA_LEASE_MS);
  advance_integral (shares, now_ms);
  if (expires_ms <= now_ms)
    return;
  struct share_lease *lease = find_or_add_lease (shares, lessor);
  if (expires_ms > lease->expires_ms)
    lease->expires_ms = expires_ms;
}

static void
update_growth (struct quota_shares *shares, int64_t now_ms, double fraction)
{
  if (fraction > shares->fraction * LARGE_GROWTH_FACTOR)
    shares->growth_ms = now_ms;
  if (fraction > shares->fraction * LARGE_GROWTH_FACTOR
      || fraction < shares->fraction)
    shares->fraction = fraction;
}

double
quota_shares_fraction (struct quota_shares *shares, int64_t now_ms)
{
  advance_integral (shares, now_ms);
  if (shares->hosts == 0)
    return 0;
  const bool has_own = now_ms >= shares->own_from_ms;
  const size_t usable = shares->lease_count + (has_own ? 1 : 0);
  const double fraction
      = usable < shares->hosts ? (double)usable / shares->hosts : 1;
  update_growth (shares, now_ms, fraction);
  return fraction;
}

bool
quota_shares_are_stable (struct quota_shares *shares, int64_t now_ms)
{
  const double fraction = quota_shares_fraction (shares, now_ms);
  return fraction > 0 && now_ms - shares->growth_ms >= STABILIZATION_MS;
}

double
quota_shares_integral_s (struct quota_shares *shares, int64_t now_ms)
{
  advance_integral (shares, now_ms);
  return shares->integral_s;
}
