#include "policy/access/freshness.h"

enum
{
  /** The clock drift allowance is the bound divided by this. */
  CLOCK_DRIFT_DIVISOR = 100,
};

void
freshness_init (struct freshness *freshness)
{
  *freshness = (struct freshness){ .time_ms = INT64_MIN,
                                   .pending_proof = { .time_ms = INT64_MIN } };
}

static bool
advance_time (struct freshness *freshness, int64_t time_ms)
{
  if (time_ms <= freshness->time_ms)
    return false;
  freshness->time_ms = time_ms;
  return true;
}

static void
note_pending_proof (struct freshness *freshness,
                    const struct freshness_proof *proof)
{
  struct freshness_proof *pending = &freshness->pending_proof;
  const bool is_newer = proof->version > pending->version
                        || (proof->version == pending->version
                            && proof->time_ms > pending->time_ms);
  if (is_newer)
    *pending = *proof;
}

bool
freshness_add_proof (struct freshness *freshness,
                     const struct freshness_proof *proof)
{
  if (proof->version == 0)
    return false;
  if (proof->version <= freshness->version)
    return advance_time (freshness, proof->time_ms);
  note_pending_proof (freshness, proof);
  return false;
}

void
freshness_set_version_in_force (struct freshness *freshness, uint64_t version)
{
  if (version < freshness->version)
    return;
  freshness->version = version;
  if (freshness->pending_proof.version > version)
    return;
  advance_time (freshness, freshness->pending_proof.time_ms);
  freshness->pending_proof = (struct freshness_proof){ .time_ms = INT64_MIN };
}

struct freshness_proof
freshness_get_proof (const struct freshness *freshness)
{
  return (struct freshness_proof){ .version = freshness->version,
                                   .time_ms = freshness->time_ms };
}

uint32_t
freshness_age_ms (const struct freshness *freshness, int64_t now_ms)
{
  if (freshness->version == 0 || freshness->time_ms == INT64_MIN)
    return FRESHNESS_AGE_UNKNOWN_MS;
  const int64_t age_ms = now_ms - freshness->time_ms;
  if (age_ms < 0)
    return 0;
  return age_ms < FRESHNESS_AGE_UNKNOWN_MS ? (uint32_t)age_ms
                                           : FRESHNESS_AGE_UNKNOWN_MS;
}

bool
freshness_is_within_bound (const struct freshness *freshness, int64_t now_ms,
                           uint32_t bound_ms)
{
  const uint32_t age_ms = freshness_age_ms (freshness, now_ms);
  return age_ms < bound_ms - bound_ms / CLOCK_DRIFT_DIVISOR;
}
