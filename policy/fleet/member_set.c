#include "policy/fleet/member_set.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/xmalloc.h"

enum
{
  /** Number of times that an update is sent: about twice to each neighbour. */
  GOSSIP_SENDS = 24,
  /** Maximum number of hosts monitored in return. */
  MONITORED_IN_RETURN_MAX = 64,
};

struct member *
member_set_find (const struct member_set *set, uint64_t key)
{
  struct member *member;
  HASH_FIND (hh, set->members, &key, sizeof key, member);
  return member;
}

void
member_set_note_change (struct member_set *set, struct member *member)
{
  if (member->is_changed)
    return;
  member->is_changed = true;
  DL_APPEND2 (set->changed, member, changed_prev, changed_next);
}

void
member_set_change_state (struct member_set *set, struct member *member,
                         enum member_state state)
{
  if (member->state == state)
    return;
  member->state = state;
  if (state != MEMBER_LIVE && !member->is_listed_not_live)
    DL_APPEND2 (set->not_live, member, not_live_prev, not_live_next);
  if (state == MEMBER_LIVE && member->is_listed_not_live)
    DL_DELETE2 (set->not_live, member, not_live_prev, not_live_next);
  member->is_listed_not_live = state != MEMBER_LIVE;
  member_set_note_change (set, member);
}

void
member_set_queue_gossip (struct member_set *set, struct member *member)
{
  member->sends_remaining = GOSSIP_SENDS;
  if (member->is_queued)
    return;
  member->is_queued = true;
  DL_APPEND2 (set->gossip_queue, member, queued_prev, queued_next);
}

void
member_set_announce (struct member_set *set, int64_t now_ms,
                     struct member *member, enum member_state state)
{
  member->announced_ms = now_ms;
  if (member->announced == state)
    return;
  member->announced = state;
  member->counter++;
  member_set_queue_gossip (set, member);
}

struct member *
member_set_add (struct member_set *set, uint64_t key, uint64_t incarnation)
{
  struct member *member = xcalloc (1, sizeof *member);
  member->key = key;
  member->incarnation = incarnation;
  member->state = MEMBER_LIVE;
  member->announced = MEMBER_LIVE;
  member->announced_ms = member_never_ms;
  member->last_answer_ms = member_never_ms;
  member->last_heard_ms = member_never_ms;
  member->last_indirect_answer_ms = member_never_ms;
  member->monitored_since_ms = member_never_ms;
  member->return_requested_ms = member_never_ms;
  HASH_ADD (hh, set->members, key, sizeof member->key, member);
  member_set_note_change (set, member);
  return member;
}

void
member_set_remove (struct member_set *set, struct member *member)
{
  if (member->is_queued)
    DL_DELETE2 (set->gossip_queue, member, queued_prev, queued_next);
  if (member->is_listed_not_live)
    DL_DELETE2 (set->not_live, member, not_live_prev, not_live_next);
  if (member->is_changed)
    DL_DELETE2 (set->changed, member, changed_prev, changed_next);
  if (member->monitored_in_return)
    set->monitored_in_return_count--;
  HASH_DEL (set->members, member);
  free (member);
}

void
member_set_clear (struct member_set *set)
{
  struct member *member = set->members;
  HASH_CLEAR (hh, set->members);
  while (member != NULL)
    {
      struct member *next = member->hh.next;
      free (member);
      member = next;
    }
  *set = (struct member_set){ 0 };
}

void
member_set_restart (struct member_set *set, struct member *member,
                    uint64_t incarnation)
{
  member->incarnation = incarnation;
  member->counter = 0;
  member->announced = MEMBER_LIVE;
  member->announced_ms = member_never_ms;
  member->is_unlisted = false;
  member_set_change_state (set, member, MEMBER_LIVE);
  member_set_note_change (set, member);
}

void
member_set_monitor_in_return (struct member_set *set, int64_t now_ms,
                              struct member *member)
{
  member->return_requested_ms = now_ms;
  if (member->monitored_in_return
      || set->monitored_in_return_count == MONITORED_IN_RETURN_MAX)
    return;
  member_start_monitoring (member, now_ms);
  member->monitored_in_return = true;
  set->monitored_in_return_count++;
}

void
member_set_stop_monitoring_in_return (struct member_set *set,
                                      struct member *member)
{
  member->monitored_in_return = false;
  set->monitored_in_return_count--;
}

size_t
member_set_gossip (struct member_set *set, struct member_update *updates,
                   size_t max)
{
  size_t count = 0;
  struct member *member;
  struct member *next;
  DL_FOREACH_SAFE2 (set->gossip_queue, member, next, queued_next)
  {
    if (count == max)
      break;
    updates[count++] = member_get_update (member);
    if (--member->sends_remaining > 0)
      continue;
    DL_DELETE2 (set->gossip_queue, member, queued_prev, queued_next);
    member->is_queued = false;
  }
  member = set->not_live;
  if (member == NULL || count == max)
    return count;
  DL_DELETE2 (set->not_live, member, not_live_prev, not_live_next);
  DL_APPEND2 (set->not_live, member, not_live_prev, not_live_next);
  if (member->announced != MEMBER_LIVE)
    updates[count++] = member_get_update (member);
  return count;
}

bool
member_set_next_change (struct member_set *set, struct member_update *change)
{
  struct member *member = set->changed;
  if (member == NULL)
    return false;
  DL_DELETE2 (set->changed, member, changed_prev, changed_next);
  member->is_changed = false;
  *change = member_get_update (member);
  change->state = member->state;
  return true;
}
