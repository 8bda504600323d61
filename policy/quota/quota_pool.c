#include "policy/quota/quota_pool.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/xmalloc.h"

enum
{
  /** Granted tokens are forgotten by parts of the longest term. */
  GRANT_PARTS = 20,
  PART_MS = QUOTA_TOKEN_LIFETIME_MS / GRANT_PARTS,
  /** Below this part of what the account may hold there are few tokens. */
  FEW_PARTS = 4,
  /** The demand of an account is that of about this time. */
  DEMAND_MS = 1000,
  /** Nobody is told to come back later than that. */
  DUE_MOST_MS = 2000,
  /** Holders that were granted less than they wanted ask again after about
   * this time. */
  BACKLOG_MS = 100,
  /** For so long what is here should last before other keepers are asked. */
  AHEAD_MS = 2 * QUOTA_RENEWAL_INTERVAL_MS,
};

enum
{
  /* The parts in which terms end that begin in one of them. */
  GRANT_ROWS = GRANT_PARTS + 2,
};

static const double MS_PER_SECOND = 1000.0;

struct quota_account
{
  uint64_t workspace;
  double level;   /* tokens to grant */
  double seconds; /* of the shares, up to which the level is counted */
  /* Granted and perhaps unused, by the part of time in which their term
     ends. */
  uint32_t granted[GRANT_ROWS];
  int64_t part;   /* the first of them that counts */
  double backlog; /* wanted of late and not granted */
  int64_t backlog_ms;
  double demand; /* wanted of late, decaying with DEMAND_MS */
  int64_t demand_ms;
  UT_hash_handle hh;
};

struct quota_pool
{
  struct quota_shares *shares;
  struct quota_tolerance terms;
  struct quota_account *accounts;
};

struct quota_pool *
quota_pool_create (struct quota_shares *shares,
                   const struct quota_tolerance *terms)
{
  struct quota_pool *ledger = xcalloc (1, sizeof *ledger);
  ledger->shares = shares;
  ledger->terms = *terms;
  return ledger;
}

void
quota_pool_destroy (struct quota_pool *ledger)
{
  if (ledger == NULL)
    return;
  struct quota_account *account = ledger->accounts;
  HASH_CLEAR (hh, ledger->accounts);
  while (account != NULL)
    {
      struct quota_account *next = account->hh.next;
      free (account);
      account = next;
    }
  free (ledger);
}

/* One that is met for the first time has been filling since the ledger
   began. */
static struct quota_account *
account_of (struct quota_pool *ledger, int64_t now_ms, uint64_t workspace)
{
  struct quota_account *account;
  HASH_FIND (hh, ledger->accounts, &workspace, sizeof workspace, account);
  if (account != NULL)
    return account;
  account = xcalloc (1, sizeof *account);
  account->workspace = workspace;
  account->part = now_ms / PART_MS;
  account->demand_ms = now_ms;
  HASH_ADD (hh, ledger->accounts, workspace, sizeof account->workspace,
            account);
  return account;
}

static void
forget_granted (struct quota_account *account, int64_t now_ms)
{
  const int64_t part = now_ms / PART_MS;
  int64_t passed = part - account->part;
  if (passed <= 0)
    return;
  if (passed > GRANT_ROWS)
    passed = GRANT_ROWS;
  for (int64_t i = 0; i < passed; i++)
    account->granted[(account->part + i) % GRANT_ROWS] = 0;
  account->part = part;
}

static uint32_t
granted_and_good (const struct quota_account *account)
{
  uint32_t sum = 0;
  for (size_t i = 0; i < GRANT_ROWS; i++)
    sum += account->granted[i];
  return sum;
}

/* Until the first granted tokens' term ends. */
static uint32_t
first_end_ms (const struct quota_account *account, int64_t now_ms)
{
  for (int64_t part = account->part; part < account->part + GRANT_ROWS; part++)
    if (account->granted[part % GRANT_ROWS] > 0)
      return (uint32_t)((part + 1) * PART_MS - now_ms);
  return 0;
}

/* What an account may hold when nothing is granted. */
static double
most_held (struct quota_pool *ledger, int64_t now_ms,
           const struct quota_limit *limit)
{
  return quota_limit_capacity (limit, &ledger->terms)
         * quota_shares_fraction (ledger->shares, now_ms);
}

/* What an account may hold beside what it has granted. */
static double
room (struct quota_pool *ledger, const struct quota_account *account,
      int64_t now_ms, const struct quota_limit *limit)
{
  const double paid = quota_limit_refill_per_s (limit, &ledger->terms)
                      * quota_shares_fraction (ledger->shares, now_ms)
                      * quota_tolerance_token_overshoot_ms (&ledger->terms)
                      / MS_PER_SECOND;
  const double granted = granted_and_good (account);
  double most = most_held (ledger, now_ms, limit);
  if (granted > paid)
    most -= granted - paid;
  return most;
}

static void
bound_level (struct quota_pool *ledger, struct quota_account *account,
             int64_t now_ms, const struct quota_limit *limit)
{
  const double most = room (ledger, account, now_ms, limit);
  if (account->level > most)
    account->level = most > 0 ? most : 0;
}

/* The account of WORKSPACE, counted up to NOW_MS. */
static struct quota_account *
counted (struct quota_pool *ledger, int64_t now_ms, uint64_t workspace,
         const struct quota_limit *limit)
{
  struct quota_account *account = account_of (ledger, now_ms, workspace);
  const double seconds = quota_shares_integral_s (ledger->shares, now_ms);
  account->level += quota_limit_refill_per_s (limit, &ledger->terms)
                    * (seconds - account->seconds);
  account->seconds = seconds;
  forget_granted (account, now_ms);
  bound_level (ledger, account, now_ms, limit);
  return account;
}

static void
note_demand (struct quota_account *account, int64_t now_ms, uint32_t wanted)
{
  const double passed_ms = (double)(now_ms - account->demand_ms);
  account->demand *= exp (-passed_ms / DEMAND_MS);
  account->demand += wanted;
  account->demand_ms = now_ms;
}

/* What holders here will want until other keepers can be asked again. */
static double
wanted_soon (const struct quota_account *account, int64_t now_ms)
{
  const double passed_ms = (double)(now_ms - account->demand_ms);
  return account->demand * exp (-passed_ms / DEMAND_MS) * AHEAD_MS / DEMAND_MS;
}

/* Note UNMET tokens that were wanted.
   @return how many others are waited for */
static double
note_backlog (struct quota_account *account, int64_t now_ms, uint32_t unmet)
{
  const double passed_ms = (double)(now_ms - account->backlog_ms);
  const double others = account->backlog * exp (-passed_ms / BACKLOG_MS);
  account->backlog = others + unmet;
  account->backlog_ms = now_ms;
  return others;
}

/* Until there is a token for who asks, behind AHEAD that others want. */
static uint32_t
due_ms (struct quota_pool *ledger, const struct quota_account *account,
        int64_t now_ms, const struct quota_limit *limit, double ahead)
{
  const double part = quota_shares_fraction (ledger->shares, now_ms);
  const double rate = quota_limit_refill_per_s (limit, &ledger->terms) * part;
  const double lacking = 1 - account->level + ahead;
  if (lacking <= 0)
    return 1;
  /* Guards against callers that are sent away for long, since their workspace
     seems to have used up its quota, when hosts have just started and haven't
     lent their shares yet. */
  if (!quota_shares_are_stable (ledger->shares, now_ms))
    return 0;
  if (rate * DUE_MOST_MS / MS_PER_SECOND < lacking)
    return DUE_MOST_MS;
  const uint32_t made_ms = (uint32_t)ceil (lacking / rate * MS_PER_SECOND);
  if (room (ledger, account, now_ms, limit) >= 1)
    return made_ms;
  const uint32_t room_ms = first_end_ms (account, now_ms);
  return made_ms > room_ms ? made_ms : room_ms;
}

static struct quota_grant
grant (struct quota_pool *ledger, struct quota_account *account,
       int64_t now_ms, const struct quota_limit *limit, double most,
       uint32_t wanted)
{
  const double held = most_held (ledger, now_ms, limit);
  struct quota_grant granted = { .tokens = most > 0 ? (uint32_t)most : 0 };
  account->level -= granted.tokens;
  const bool has_few = account->level < held / FEW_PARTS;
  granted.term_ms
      = has_few ? QUOTA_TOKEN_LIFETIME_SCARCE_MS : QUOTA_TOKEN_LIFETIME_MS;
  const int64_t end_part = (now_ms + granted.term_ms) / PART_MS;
  account->granted[end_part % GRANT_ROWS] += granted.tokens;
  if (granted.tokens < wanted)
    {
      const double ahead
          = note_backlog (account, now_ms, wanted - granted.tokens);
      granted.next_token_ms = due_ms (ledger, account, now_ms, limit, ahead);
    }
  return granted;
}

struct quota_grant
quota_pool_grant (struct quota_pool *ledger, int64_t now_ms,
                  uint64_t workspace, const struct quota_limit *limit,
                  uint32_t wanted)
{
  struct quota_account *account = counted (ledger, now_ms, workspace, limit);
  note_demand (account, now_ms, wanted);
  const double most = wanted < account->level ? wanted : account->level;
  return grant (ledger, account, now_ms, limit, most, wanted);
}

/* They take no room here: the other keeper has room for them, or they are
   lost. */
uint32_t
quota_pool_take_surplus (struct quota_pool *ledger, int64_t now_ms,
                         uint64_t workspace, const struct quota_limit *limit,
                         uint32_t wanted)
{
  struct quota_account *account = counted (ledger, now_ms, workspace, limit);
  const double spare = account->level - wanted_soon (account, now_ms);
  if (spare < 1)
    return 0;
  const uint32_t tokens = spare < wanted ? (uint32_t)spare : wanted;
  account->level -= tokens;
  return tokens;
}

void
quota_pool_add (struct quota_pool *ledger, int64_t now_ms, uint64_t workspace,
                const struct quota_limit *limit, uint32_t tokens)
{
  struct quota_account *account = counted (ledger, now_ms, workspace, limit);
  account->level += tokens;
  bound_level (ledger, account, now_ms, limit);
}

uint32_t
quota_pool_deficit (struct quota_pool *ledger, int64_t now_ms,
                    uint64_t workspace, const struct quota_limit *limit)
{
  struct quota_account *account = counted (ledger, now_ms, workspace, limit);
  const double fits = room (ledger, account, now_ms, limit);
  const double soon = wanted_soon (account, now_ms);
  const double lacking = (soon < fits ? soon : fits) - account->level;
  return lacking > 0 ? (uint32_t)ceil (lacking) : 0;
}
