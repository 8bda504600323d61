#include "policy/quota/quota_pool.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/xmalloc.h"

enum
{
  /** Granted tokens are tracked in this many time slots of the longest
   * lifetime. */
  GRANT_SLOTS_PER_LIFETIME = 20,
  GRANT_SLOT_MS = QUOTA_TOKEN_LIFETIME_MS / GRANT_SLOTS_PER_LIFETIME,
  /** Tokens are scarce below this fraction (1/n) of the pool's capacity. */
  SCARCE_DIVISOR = 4,
  /** Time constant of the exponential decay of the demand. */
  DEMAND_DECAY_MS = 1000,
  /** Upper bound of the time after which a holder is told to ask again. */
  RETRY_MAX_MS = 2000,
  /** Time constant of the backlog: holders that were granted less than they
   * requested ask again after about this time. */
  BACKLOG_DECAY_MS = 100,
  /** Other coordinators are asked for tokens if those in the pool won't last
   * this long. */
  LOOKAHEAD_MS = 2 * QUOTA_RENEWAL_INTERVAL_MS,
};

enum
{
  /* Time slots in which lifetimes that start in one slot can end. */
  GRANT_SLOTS = GRANT_SLOTS_PER_LIFETIME + 2,
};

static const double MS_PER_SECOND = 1000.0;

struct quota_bucket
{
  uint64_t workspace;
  double level;      /* tokens available to grant */
  double integral_s; /* shares integral that `level` includes */
  /* Tokens granted and possibly unused, by the time slot in which their
     lifetime ends. */
  uint32_t granted[GRANT_SLOTS];
  int64_t first_slot; /* first slot in `granted` that counts */
  double backlog;     /* tokens requested recently and not granted */
  int64_t backlog_ms;
  double demand; /* tokens requested recently, decaying with DEMAND_DECAY_MS */
  int64_t demand_ms;
  UT_hash_handle hh;
};

struct quota_pool
{
  struct quota_shares *shares;
  struct quota_tolerance tolerance;
  struct quota_bucket *buckets;
};

struct quota_pool *
quota_pool_create (struct quota_shares *shares,
                   const struct quota_tolerance *tolerance)
{
  struct quota_pool *pool = xcalloc (1, sizeof *pool);
  pool->shares = shares;
  pool->tolerance = *tolerance;
  return pool;
}

void
quota_pool_destroy (struct quota_pool *pool)
{
  if (pool == NULL)
    return;
  struct quota_bucket *bucket = pool->buckets;
  HASH_CLEAR (hh, pool->buckets);
  while (bucket != NULL)
    {
      struct quota_bucket *next = bucket->hh.next;
      free (bucket);
      bucket = next;
    }
  free (pool);
}

/* A bucket that is created on its first use has been filling since the pool
   was created. */
static struct quota_bucket *
find_or_add_bucket (struct quota_pool *pool, int64_t now_ms,
                    uint64_t workspace)
{
  struct quota_bucket *bucket;
  HASH_FIND (hh, pool->buckets, &workspace, sizeof workspace, bucket);
  if (bucket != NULL)
    return bucket;
  bucket = xcalloc (1, sizeof *bucket);
  bucket->workspace = workspace;
  bucket->first_slot = now_ms / GRANT_SLOT_MS;
  bucket->demand_ms = now_ms;
  HASH_ADD (hh, pool->buckets, workspace, sizeof bucket->workspace, bucket);
  return bucket;
}

static void
expire_granted (struct quota_bucket *bucket, int64_t now_ms)
{
  const int64_t slot = now_ms / GRANT_SLOT_MS;
  int64_t elapsed_slots = slot - bucket->first_slot;
  if (elapsed_slots <= 0)
    return;
  if (elapsed_slots > GRANT_SLOTS)
    elapsed_slots = GRANT_SLOTS;
  for (int64_t i = 0; i < elapsed_slots; i++)
    bucket->granted[(bucket->first_slot + i) % GRANT_SLOTS] = 0;
  bucket->first_slot = slot;
}

static uint32_t
outstanding_tokens (const struct quota_bucket *bucket)
{
  uint32_t sum = 0;
  for (size_t i = 0; i < GRANT_SLOTS; i++)
    sum += bucket->granted[i];
  return sum;
}

/* Returns the time until the lifetime of the first granted tokens ends. */
static uint32_t
first_expiry_ms (const struct quota_bucket *bucket, int64_t now_ms)
{
  for (int64_t slot = bucket->first_slot;
       slot < bucket->first_slot + GRANT_SLOTS; slot++)
    if (bucket->granted[slot % GRANT_SLOTS] > 0)
      return (uint32_t)((slot + 1) * GRANT_SLOT_MS - now_ms);
  return 0;
}

/* Returns the capacity of a bucket with no outstanding tokens. */
static double
total_capacity (struct quota_pool *pool, int64_t now_ms,
                const struct quota_limit *limit)
{
  return quota_limit_capacity (limit, &pool->tolerance)
         * quota_shares_fraction (pool->shares, now_ms);
}

/* Returns the capacity of a bucket, given its outstanding tokens. */
static double
available_capacity (struct quota_pool *pool, const struct quota_bucket *bucket,
                    int64_t now_ms, const struct quota_limit *limit)
{
  const double covered
      = quota_limit_refill_per_s (limit, &pool->tolerance)
        * quota_shares_fraction (pool->shares, now_ms)
        * quota_tolerance_token_overshoot_ms (&pool->tolerance)
        / MS_PER_SECOND;
  const double granted = outstanding_tokens (bucket);
  double capacity = total_capacity (pool, now_ms, limit);
  if (granted > covered)
    capacity -= granted - covered;
  return capacity;
}

static void
clamp_level (struct quota_pool *pool, struct quota_bucket *bucket,
             int64_t now_ms, const struct quota_limit *limit)
{
  const double capacity = available_capacity (pool, bucket, now_ms, limit);
  if (bucket->level > capacity)
    bucket->level = capacity > 0 ? capacity : 0;
}

/* Returns the bucket of WORKSPACE, refilled up to NOW_MS. */
static struct quota_bucket *
refilled_bucket (struct quota_pool *pool, int64_t now_ms, uint64_t workspace,
                 const struct quota_limit *limit)
{
  struct quota_bucket *bucket = find_or_add_bucket (pool, now_ms, workspace);
  const double integral_s = quota_shares_integral_s (pool->shares, now_ms);
  bucket->level += quota_limit_refill_per_s (limit, &pool->tolerance)
                   * (integral_s - bucket->integral_s);
  bucket->integral_s = integral_s;
  expire_granted (bucket, now_ms);
  clamp_level (pool, bucket, now_ms, limit);
  return bucket;
}

static void
add_demand (struct quota_bucket *bucket, int64_t now_ms, uint32_t requested)
{
  const double elapsed_ms = (double)(now_ms - bucket->demand_ms);
  bucket->demand *= exp (-elapsed_ms / DEMAND_DECAY_MS);
  bucket->demand += requested;
  bucket->demand_ms = now_ms;
}

/* Returns the tokens that holders will request until other coordinators can
   be asked again. */
static double
expected_demand (const struct quota_bucket *bucket, int64_t now_ms)
{
  const double elapsed_ms = (double)(now_ms - bucket->demand_ms);
  return bucket->demand * exp (-elapsed_ms / DEMAND_DECAY_MS) * LOOKAHEAD_MS
         / DEMAND_DECAY_MS;
}

/* Adds UNMET requested tokens to the backlog.
   @return the previous backlog, that of other holders */
static double
add_backlog (struct quota_bucket *bucket, int64_t now_ms, uint32_t unmet)
{
  const double elapsed_ms = (double)(now_ms - bucket->backlog_ms);
  const double others = bucket->backlog * exp (-elapsed_ms / BACKLOG_DECAY_MS);
  bucket->backlog = others + unmet;
  bucket->backlog_ms = now_ms;
  return others;
}

/* Returns the time until a token is available to the asking holder, after
   the AHEAD tokens that other holders wait for. */
static uint32_t
time_to_next_token_ms (struct quota_pool *pool,
                       const struct quota_bucket *bucket, int64_t now_ms,
                       const struct quota_limit *limit, double ahead)
{
  const double fraction = quota_shares_fraction (pool->shares, now_ms);
  const double rate
      = quota_limit_refill_per_s (limit, &pool->tolerance) * fraction;
  const double missing = 1 - bucket->level + ahead;
  if (missing <= 0)
    return 1;
  /* Hosts that have just started haven't leased their shares yet, so the
     quota seems exhausted and callers would be told to retry late.  The
     time is reported as unknown until the shares are stable. */
  if (!quota_shares_are_stable (pool->shares, now_ms))
    return 0;
  if (rate * RETRY_MAX_MS / MS_PER_SECOND < missing)
    return RETRY_MAX_MS;
  const uint32_t refill_ms = (uint32_t)ceil (missing / rate * MS_PER_SECOND);
  if (available_capacity (pool, bucket, now_ms, limit) >= 1)
    return refill_ms;
  const uint32_t expiry_ms = first_expiry_ms (bucket, now_ms);
  return refill_ms > expiry_ms ? refill_ms : expiry_ms;
}

static struct quota_grant
grant_tokens (struct quota_pool *pool, struct quota_bucket *bucket,
              int64_t now_ms, const struct quota_limit *limit,
              double available, uint32_t requested)
{
  const double capacity = total_capacity (pool, now_ms, limit);
  struct quota_grant granted
      = { .tokens = available > 0 ? (uint32_t)available : 0 };
  bucket->level -= granted.tokens;
  const bool is_scarce = bucket->level < capacity / SCARCE_DIVISOR;
  granted.term_ms
      = is_scarce ? QUOTA_TOKEN_LIFETIME_SCARCE_MS : QUOTA_TOKEN_LIFETIME_MS;
  const int64_t end_slot = (now_ms + granted.term_ms) / GRANT_SLOT_MS;
  bucket->granted[end_slot % GRANT_SLOTS] += granted.tokens;
  if (granted.tokens < requested)
    {
      const double ahead
          = add_backlog (bucket, now_ms, requested - granted.tokens);
      granted.next_token_ms
          = time_to_next_token_ms (pool, bucket, now_ms, limit, ahead);
    }
  return granted;
}

struct quota_grant
quota_pool_grant (struct quota_pool *pool, int64_t now_ms, uint64_t workspace,
                  const struct quota_limit *limit, uint32_t requested)
{
  struct quota_bucket *bucket
      = refilled_bucket (pool, now_ms, workspace, limit);
  add_demand (bucket, now_ms, requested);
  const double available
      = requested < bucket->level ? requested : bucket->level;
  return grant_tokens (pool, bucket, now_ms, limit, available, requested);
}

/* Transferred tokens don't count as outstanding here: the other coordinator
   has capacity for them, or they are discarded. */
uint32_t
quota_pool_take_surplus (struct quota_pool *pool, int64_t now_ms,
                         uint64_t workspace, const struct quota_limit *limit,
                         uint32_t requested)
{
  struct quota_bucket *bucket
      = refilled_bucket (pool, now_ms, workspace, limit);
  const double surplus = bucket->level - expected_demand (bucket, now_ms);
  if (surplus < 1)
    return 0;
  const uint32_t tokens = surplus < requested ? (uint32_t)surplus : requested;
  bucket->level -= tokens;
  return tokens;
}

void
quota_pool_add (struct quota_pool *pool, int64_t now_ms, uint64_t workspace,
                const struct quota_limit *limit, uint32_t tokens)
{
  struct quota_bucket *bucket
      = refilled_bucket (pool, now_ms, workspace, limit);
  bucket->level += tokens;
  clamp_level (pool, bucket, now_ms, limit);
}

uint32_t
quota_pool_deficit (struct quota_pool *pool, int64_t now_ms,
                    uint64_t workspace, const struct quota_limit *limit)
{
  struct quota_bucket *bucket
      = refilled_bucket (pool, now_ms, workspace, limit);
  const double capacity = available_capacity (pool, bucket, now_ms, limit);
  const double expected = expected_demand (bucket, now_ms);
  const double missing
      = (expected < capacity ? expected : capacity) - bucket->level;
  return missing > 0 ? (uint32_t)ceil (missing) : 0;
}
