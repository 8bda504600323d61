#include "policy/fleet/membership.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/fleet/member_set.h"

struct membership
{
  struct membership_options options;
  struct member_set set;
  int64_t last_tick_ms;
};

struct membership *
membership_create (const struct membership_options *options)
{
  struct membership *membership = xcalloc (1, sizeof *membership);
  membership->options = *options;
  membership->last_tick_ms = member_never_ms;
  member_set_add (&membership->set, options->self, options->incarnation);
  return membership;
}

void
membership_destroy (struct membership *membership)
{
  if (membership == NULL)
    return;
  member_set_clear (&membership->set);
  free (membership);
}

static void
mark_leaving (struct membership *membership, int64_t now_ms,
              struct member *member)
{
  member_set_change_state (&membership->set, member, MEMBER_LEAVING);
  member_set_announce (&membership->set, now_ms, member, MEMBER_LEAVING);
}

void
membership_add (struct membership *membership, int64_t now_ms, uint64_t key,
                uint64_t incarnation, bool leaving)
{
  if (key == membership->options.self)
    return;
  struct member *member = member_set_find (&membership->set, key);
  if (member == NULL)
    member = member_set_add (&membership->set, key, incarnation);
  else if (incarnation < member->incarnation)
    return;
  else if (incarnation > member->incarnation)
    member_set_restart (&membership->set, member, incarnation);
  member->is_unlisted = false;
  if (leaving && member->state != MEMBER_LEAVING)
    mark_leaving (membership, now_ms, member);
}

void
membership_note_unlisted (struct membership *membership, uint64_t key)
{
  struct member *member = member_set_find (&membership->set, key);
  if (member == NULL || key == membership->options.self)
    return;
  member->is_unlisted = true;
  if (member_is_gone (member))
    member_set_remove (&membership->set, member);
}

/* A suspect isn't chosen as a neighbour any more.  If it were no longer
   monitored, its state would never be decided: a suspended host would stay
   suspect for ever and never be considered dead.  It is monitored until it
   is live or dead. */
static void
stop_monitoring_decided (struct membership *membership)
{
  struct member *member;
  for (member = membership->set.members; member != NULL;
       member = member->hh.next)
    member->monitored = member->monitored && member_is_undecided (member);
}

void
membership_monitor (struct membership *membership, int64_t now_ms,
                    const uint64_t *keys, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct member *member = member_set_find (&membership->set, keys[i]);
      if (member == NULL)
        member = member_set_add (&membership->set, keys[i], 0);
      member_start_monitoring (member, now_ms);
    }
  stop_monitoring_decided (membership);
  for (size_t i = 0; i < count; i++)
    member_set_find (&membership->set, keys[i])->monitored = true;
}

/* Returns the member that sent a message with INCARNATION, or NULL if the
   message is from an earlier incarnation of a host that has restarted. */
static struct member *
find_sender (struct membership *membership, uint64_t key, uint64_t incarnation)
{
  if (key == membership->options.self)
    return NULL;
  struct member *member = member_set_find (&membership->set, key);
  if (member == NULL)
    return member_set_add (&membership->set, key, incarnation);
  if (incarnation < member->incarnation)
    return NULL;
  if (incarnation > member->incarnation)
    member_set_restart (&membership->set, member, incarnation);
  return member;
}

void
membership_note_heartbeat (struct membership *membership, int64_t now_ms,
                           uint64_t key, uint64_t incarnation, bool leaving,
                           bool return_requested)
{
  struct member *member = find_sender (membership, key, incarnation);
  if (member == NULL)
    return;
  if (return_requested || member->state == MEMBER_DEAD)
    member_set_monitor_in_return (&membership->set, now_ms, member);
  member->last_heard_ms = now_ms;
  if (leaving && member->state != MEMBER_LEAVING)
    mark_leaving (membership, now_ms, member);
}

void
membership_note_answer (struct membership *membership, int64_t now_ms,
                        uint64_t key, uint64_t incarnation)
{
  struct member *member = find_sender (membership, key, incarnation);
  if (member == NULL)
    return;
  member->last_heard_ms = now_ms;
  member->last_answer_ms = now_ms;
}

void
membership_note_indirect_answer (struct membership *membership, int64_t now_ms,
                                 uint64_t key)
{
  struct member *member = member_set_find (&membership->set, key);
  if (member != NULL)
    member->last_indirect_answer_ms = now_ms;
}

static void
refute (struct membership *membership, struct member *self,
        const struct member_update *update)
{
  if (update->incarnation != self->incarnation || update->state == MEMBER_LIVE
      || update->counter < self->counter)
    return;
  self->counter = update->counter + 1;
  member_set_queue_gossip (&membership->set, self);
}

void
membership_merge (struct membership *membership, int64_t now_ms,
                  const struct member_update *update)
{
  struct member *member = member_set_find (&membership->set, update->key);
  if (update->key == membership->options.self)
    {
      refute (membership, member, update);
      return;
    }
  if (member == NULL)
    member
        = member_set_add (&membership->set, update->key, update->incarnation);
  else if (!member_is_superseded_by (member, update))
    return;
  if (update->incarnation > member->incarnation)
    member_set_restart (&membership->set, member, update->incarnation);
  member->counter = update->counter;
  member->announced = update->state;
  member->announced_ms = now_ms;
  member_set_queue_gossip (&membership->set, member);
  if (update->state == MEMBER_LIVE)
    member->last_indirect_answer_ms = now_ms;
  if (!member_is_monitored (member) || update->state > member->state)
    member_set_change_state (&membership->set, member, update->state);
}

void
membership_leave (struct membership *membership)
{
  struct member *self
      = member_set_find (&membership->set, membership->options.self);
  member_set_change_state (&membership->set, self, MEMBER_LEAVING);
  self->announced = MEMBER_LEAVING;
  self->counter++;
  member_set_queue_gossip (&membership->set, self);
}

static void
tick_member (struct membership *membership, struct member *member,
             int64_t now_ms)
{
  if (member->state == MEMBER_LEAVING)
    return;
  const bool had_indirect_answer = member->has_indirect_answer;
  member->has_indirect_answer = now_ms - member->last_indirect_answer_ms
                                < membership->options.dead_after_ms;
  const enum member_state state
      = member_evaluate (member, &membership->options, now_ms);
  if (had_indirect_answer != member->has_indirect_answer
      && state != MEMBER_LIVE)
    member_set_note_change (&membership->set, member);
  member_set_change_state (&membership->set, member, state);
  if (state == MEMBER_LIVE || state == MEMBER_DEAD)
    member_set_announce (&membership->set, now_ms, member, state);
  if (state == MEMBER_ONE_WAY && member->announced != MEMBER_DEAD
      && member_is_unreachable_for_all (member, &membership->options, now_ms))
    member_set_announce (&membership->set, now_ms, member, MEMBER_ONE_WAY);
  const bool is_silent
      = now_ms - member->last_heard_ms >= membership->options.suspect_after_ms;
  if (state == MEMBER_DEAD && is_silent && member->monitored_in_return)
    member_set_stop_monitoring_in_return (&membership->set, member);
}

/* A host that resumes after a suspension has received nothing for long and
   would announce to all others that its neighbours are dead, so that every
   pause of a process would take live hosts from callers.  Silence during
   its own pause proves nothing, so the timeouts start again. */
static void
restart_timeouts_after_pause (struct membership *membership, int64_t now_ms)
{
  const int64_t gap_ms = now_ms - membership->last_tick_ms;
  const bool is_paused = membership->last_tick_ms != member_never_ms
                         && gap_ms >= membership->options.suspect_after_ms;
  membership->last_tick_ms = now_ms;
  if (!is_paused)
    return;
  struct member *member;
  for (member = membership->set.members; member != NULL;
       member = member->hh.next)
    if (member_is_monitored (member) && !member_is_gone (member))
      member->monitored_since_ms = now_ms;
}

void
membership_tick (struct membership *membership, int64_t now_ms)
{
  struct member *member;
  struct member *next;
  restart_timeouts_after_pause (membership, now_ms);
  HASH_ITER (hh, membership->set.members, member, next)
  {
    if (member->key == membership->options.self)
      continue;
    if (member_is_monitored (member))
      tick_member (membership, member, now_ms);
    if (member_return_is_over (member, &membership->options, now_ms))
      member_set_stop_monitoring_in_return (&membership->set, member);
    if (member->is_unlisted && member_is_gone (member) && !member->is_queued)
      member_set_remove (&membership->set, member);
  }
}

static bool
receives_heartbeats (const struct member *member)
{
  return member_is_monitored (member) && member->state != MEMBER_LEAVING;
}

size_t
membership_monitored (const struct membership *membership, uint64_t *keys,
                      size_t max)
{
  const struct member *member;
  size_t count = 0;
  for (member = membership->set.members; member != NULL;
       member = member->hh.next)
    if (receives_heartbeats (member) && count < max)
      keys[count++] = member->key;
  return count;
}

bool
membership_requests_return (const struct membership *membership, uint64_t key)
{
  const struct member *member = member_set_find (&membership->set, key);
  return member == NULL || member->monitored || member->state == MEMBER_DEAD;
}

size_t
membership_undecided (const struct membership *membership, uint64_t *keys,
                      size_t max)
{
  const struct member *member;
  size_t count = 0;
  for (member = membership->set.not_live; member != NULL;
       member = member->not_live_next)
    if (receives_heartbeats (member) && member->state != MEMBER_DEAD
        && count < max)
      keys[count++] = member->key;
  return count;
}

size_t
membership_gossip (struct membership *membership,
                   struct member_update *updates, size_t max)
{
  return member_set_gossip (&membership->set, updates, max);
}

bool
membership_next_change (struct membership *membership,
                        struct member_update *change)
{
  return member_set_next_change (&membership->set, change);
}

enum member_state
membership_state (const struct membership *membership, uint64_t key)
{
  const struct member *member = member_set_find (&membership->set, key);
  return member == NULL ? MEMBER_DEAD : member->state;
}

bool
membership_is_usable (const struct membership *membership, uint64_t key)
{
  const struct member *member = member_set_find (&membership->set, key);
  if (member == NULL)
    return false;
  if (member->state == MEMBER_LIVE)
    return true;
  return member_is_undecided (member) && member->announced == MEMBER_LIVE
         && member->has_indirect_answer;
}

bool
membership_has_recent_answer (const struct membership *membership,
                              int64_t now_ms, uint64_t key)
{
  const struct member *member = member_set_find (&membership->set, key);
  return member != NULL
         && now_ms - member->last_answer_ms
                < membership->options.suspect_after_ms;
}
