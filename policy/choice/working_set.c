#include "policy/choice/working_set.h"

#include "base/hash.h"

enum
{
  /* When a host uses an unused target of another host's subset: after that
     host has had its turn and its report of it, which takes as long as a
     response, and spread over the hosts, since the first one suffices. */
  BACKUP_DELAY_US = 250000,
  BACKUP_SPREAD_US = 400000,
};

static bool
is_countable (const struct target_state *t, int64_t now_us)
{
  return target_state_is_eligible (t)
         && now_us - t->failed_us >= TARGET_FAILURE_REST_US;
}

static bool
is_used (const struct target_state *t, int64_t now_us)
{
  return t->last_used_us >= now_us - WORKING_SET_USE_US;
}

struct working_set_use
working_set_measure (const struct target_set *set, int64_t now_us)
{
  struct working_set_use use = { 0 };
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (!is_countable (t, now_us))
        continue;
      use.healthy += 1 - t->p_unhealthy;
      if (is_used (t, now_us))
        use.used += 1 - t->p_unhealthy;
    }
  return use;
}

/* When this host is to use T, which isn't in use. */
static int64_t
due_us (const struct target_state *t, uint64_t host_seed, int64_t now_us)
{
  int64_t turn_us = t->joined_us;
  if (t->last_used_us + WORKING_SET_USE_US > turn_us)
    turn_us = t->last_used_us + WORKING_SET_USE_US;
  if (t->failed_us + TARGET_FAILURE_REST_US > turn_us)
    turn_us = t->failed_us + TARGET_FAILURE_REST_US;
  if (!t->config.is_backup || target_state_needs_backup (t, now_us))
    return turn_us;
  const uint64_t spread
      = hash_pair (t->config.key, host_seed) % BACKUP_SPREAD_US;
  return turn_us + BACKUP_DELAY_US + (int64_t)spread;
}

static bool
is_tried (const struct policy_request *r, uint32_t target)
{
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried[i] == target)
      return true;
  return false;
}

uint32_t
working_set_find_due (const struct target_set *set,
                      const struct working_set_requirement *requirement,
                      const struct policy_request *r, int64_t now_us)
{
  const struct working_set_use use = working_set_measure (set, now_us);
  uint32_t best = POLICY_NO_TARGET;
  if (use.used * 100 >= use.healthy * requirement->percent)
    return best;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (t->tier == TIER_NONE || !is_countable (t, now_us)
          || is_used (t, now_us)
          || due_us (t, requirement->host_seed, now_us) > now_us
          || is_tried (r, i))
        continue;
      if (best == POLICY_NO_TARGET
          || t->p_unhealthy < set->targets[best].p_unhealthy)
        best = i;
    }
  return best;
}
