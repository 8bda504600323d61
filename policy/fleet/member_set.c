#include "policy/fleet/member_set.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/xmalloc.h"

enum
{
  /** How often one verdict is sent on: about twice to each neighbour. */
  GOSSIP_SENDS = 24,
  /** Most hosts watched because they watch us. */
  WATCHED_BACK_MAX = 64,
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
  if (state != MEMBER_LIVE && !member->is_bad)
    DL_APPEND2 (set->bad, member, bad_prev, bad_next);
  if (state == MEMBER_LIVE && member->is_bad)
    DL_DELETE2 (set->bad, member, bad_prev, bad_next);
  member->is_bad = state != MEMBER_LIVE;
  member_set_note_change (set, member);
}

void
member_set_spread (struct member_set *set, struct member *member)
{
  member->sends_left = GOSSIP_SENDS;
  if (member->is_news)
    return;
  member->is_news = true;
  DL_APPEND2 (set->news, member, news_prev, news_next);
}

void
member_set_say (struct member_set *set, int64_t now_ms, struct member *member,
                enum member_state state)
{
  member->said_ms = now_ms;
  if (member->said == state)
    return;
  member->said = state;
  member->counter++;
  member_set_spread (set, member);
}

struct member *
member_set_add (struct member_set *set, uint64_t key, uint64_t incarnation)
{
  struct member *member = xcalloc (1, sizeof *member);
  member->key = key;
  member->incarnation = incarnation;
  member->state = MEMBER_LIVE;
  member->said = MEMBER_LIVE;
  member->said_ms = member_never_ms;
  member->answered_ms = member_never_ms;
  member->heard_ms = member_never_ms;
  member->vouched_ms = member_never_ms;
  member->watched_ms = member_never_ms;
  member->wanted_ms = member_never_ms;
  HASH_ADD (hh, set->members, key, sizeof member->key, member);
  member_set_note_change (set, member);
  return member;
}

void
member_set_forget (struct member_set *set, struct member *member)
{
  if (member->is_news)
    DL_DELETE2 (set->news, member, news_prev, news_next);
  if (member->is_bad)
    DL_DELETE2 (set->bad, member, bad_prev, bad_next);
  if (member->is_changed)
    DL_DELETE2 (set->changed, member, changed_prev, changed_next);
  if (member->watched_back)
    set->watched_back_count--;
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
  member->said = MEMBER_LIVE;
  member->said_ms = member_never_ms;
  member->is_unlisted = false;
  member_set_change_state (set, member, MEMBER_LIVE);
  member_set_note_change (set, member);
}

void
member_set_watch_back (struct member_set *set, int64_t now_ms,
                       struct member *member)
{
  member->wanted_ms = now_ms;
  if (member->watched_back || set->watched_back_count == WATCHED_BACK_MAX)
    return;
  member_start_watching (member, now_ms);
  member->watched_back = true;
  set->watched_back_count++;
}

void
member_set_stop_watching_back (struct member_set *set, struct member *member)
{
  member->watched_back = false;
  set->watched_back_count--;
}

size_t
member_set_gossip (struct member_set *set, struct member_verdict *verdicts,
                   size_t max)
{
  size_t count = 0;
  struct member *member;
  struct member *next;
  DL_FOREACH_SAFE2 (set->news, member, next, news_next)
  {
    if (count == max)
      break;
    verdicts[count++] = member_verdict_of (member);
    if (--member->sends_left > 0)
      continue;
    DL_DELETE2 (set->news, member, news_prev, news_next);
    member->is_news = false;
  }
  member = set->bad;
  if (member == NULL || count == max)
    return count;
  DL_DELETE2 (set->bad, member, bad_prev, bad_next);
  DL_APPEND2 (set->bad, member, bad_prev, bad_next);
  if (member->said != MEMBER_LIVE)
    verdicts[count++] = member_verdict_of (member);
  return count;
}

bool
member_set_next_change (struct member_set *set, struct member_verdict *change)
{
  struct member *member = set->changed;
  if (member == NULL)
    return false;
  DL_DELETE2 (set->changed, member, changed_prev, changed_next);
  member->is_changed = false;
  *change = member_verdict_of (member);
  change->state = member->state;
  return true;
}
