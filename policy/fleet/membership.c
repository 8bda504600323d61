#include "policy/fleet/membership.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "base/xmalloc.h"

enum
{
  /** How often one verdict is sent on: about twice to each neighbour. */
  GOSSIP_SENDS = 24,
  /** Most hosts watched because they watch us. */
  WATCHED_BACK_MAX = 64,
};

/** Long before any time that is passed in. */
static const int64_t never_ms = INT64_MIN / 4;

struct member
{
  uint64_t key;
  uint64_t incarnation;
  uint32_t counter;
  enum member_state state; /**< believed here */
  enum member_state said;  /**< newest verdict received or spread */
  int64_t said_ms;
  bool watched;
  bool watched_back; /**< because it watches us */
  bool is_vouched;   /**< lately, as of the last tick */
  bool is_unlisted;
  int64_t watched_ms;
  int64_t answered_ms;
  int64_t heard_ms;
  int64_t vouched_ms;
  uint32_t sends_left;
  bool is_news;
  bool is_bad;
  bool is_changed;
  struct member *news_prev, *news_next;
  struct member *bad_prev, *bad_next;
  struct member *changed_prev, *changed_next;
  UT_hash_handle hh;
};

struct membership
{
  struct membership_options options;
  struct member *members;
  struct member *news;    /**< still to be sent on */
  struct member *bad;     /**< not live */
  struct member *changed; /**< to be told by membership_next_change() */
  uint32_t watched_back_count;
  int64_t ticked_ms;
};

const char *
member_state_name (enum member_state state)
{
  static const char *const names[] = {
    [MEMBER_LIVE] = "live",       [MEMBER_SUSPECT] = "suspect",
    [MEMBER_ONE_WAY] = "one-way", [MEMBER_DEAD] = "dead",
    [MEMBER_LEAVING] = "leaving",
  };
  return names[state];
}

static struct member *
find (const struct membership *membership, uint64_t key)
{
  struct member *member;
  HASH_FIND (hh, membership->members, &key, sizeof key, member);
  return member;
}

static void
note_change (struct membership *membership, struct member *member)
{
  if (member->is_changed)
    return;
  member->is_changed = true;
  DL_APPEND2 (membership->changed, member, changed_prev, changed_next);
}

static void
set_state (struct membership *membership, struct member *member,
           enum member_state state)
{
  if (member->state == state)
    return;
  member->state = state;
  if (state != MEMBER_LIVE && !member->is_bad)
    DL_APPEND2 (membership->bad, member, bad_prev, bad_next);
  if (state == MEMBER_LIVE && member->is_bad)
    DL_DELETE2 (membership->bad, member, bad_prev, bad_next);
  member->is_bad = state != MEMBER_LIVE;
  note_change (membership, member);
}

/* Send the newest verdict on. */
static void
spread (struct membership *membership, struct member *member)
{
  member->sends_left = GOSSIP_SENDS;
  if (member->is_news)
    return;
  member->is_news = true;
  DL_APPEND2 (membership->news, member, news_prev, news_next);
}

/* Say STATE of MEMBER to the others, above all that was said before. */
static void
say (struct membership *membership, int64_t now_ms, struct member *member,
     enum member_state state)
{
  member->said_ms = now_ms;
  if (member->said == state)
    return;
  member->said = state;
  member->counter++;
  spread (membership, member);
}

static struct member *
add (struct membership *membership, uint64_t key, uint64_t incarnation)
{
  struct member *member = xcalloc (1, sizeof *member);
  member->key = key;
  member->incarnation = incarnation;
  member->state = MEMBER_LIVE;
  member->said = MEMBER_LIVE;
  member->said_ms = never_ms;
  member->answered_ms = never_ms;
  member->heard_ms = never_ms;
  member->vouched_ms = never_ms;
  member->watched_ms = never_ms;
  HASH_ADD (hh, membership->members, key, sizeof member->key, member);
  note_change (membership, member);
  return member;
}

static void
forget (struct membership *membership, struct member *member)
{
  if (member->is_news)
    DL_DELETE2 (membership->news, member, news_prev, news_next);
  if (member->is_bad)
    DL_DELETE2 (membership->bad, member, bad_prev, bad_next);
  if (member->is_changed)
    DL_DELETE2 (membership->changed, member, changed_prev, changed_next);
  if (member->watched_back)
    membership->watched_back_count--;
  HASH_DEL (membership->members, member);
  free (member);
}

/* The host has started anew: what was said of its former start is void. */
static void
restart (struct membership *membership, struct member *member,
         uint64_t incarnation)
{
  member->incarnation = incarnation;
  member->counter = 0;
  member->said = MEMBER_LIVE;
  member->said_ms = never_ms;
  member->is_unlisted = false;
  set_state (membership, member, MEMBER_LIVE);
  note_change (membership, member);
}

struct membership *
membership_create (const struct membership_options *options)
{
  struct membership *membership = xcalloc (1, sizeof *membership);
  membership->options = *options;
  membership->ticked_ms = never_ms;
  add (membership, options->self, options->incarnation);
  return membership;
}

void
membership_destroy (struct membership *membership)
{
  if (membership == NULL)
    return;
  struct member *member;
  struct member *next;
  HASH_ITER (hh, membership->members, member, next)
  {
    forget (membership, member);
  }
  free (membership);
}

static void
set_leaving (struct membership *membership, int64_t now_ms,
             struct member *member)
{
  set_state (membership, member, MEMBER_LEAVING);
  say (membership, now_ms, member, MEMBER_LEAVING);
}

void
membership_introduce (struct membership *membership, int64_t now_ms,
                      uint64_t key, uint64_t incarnation, bool leaving)
{
  if (key == membership->options.self)
    return;
  struct member *member = find (membership, key);
  if (member == NULL)
    member = add (membership, key, incarnation);
  else if (incarnation < member->incarnation)
    return;
  else if (incarnation > member->incarnation)
    restart (membership, member, incarnation);
  member->is_unlisted = false;
  if (leaving && member->state != MEMBER_LEAVING)
    set_leaving (membership, now_ms, member);
}

static bool
is_gone (const struct member *member)
{
  return member->state == MEMBER_DEAD || member->state == MEMBER_LEAVING;
}

void
membership_unlisted (struct membership *membership, uint64_t key)
{
  struct member *member = find (membership, key);
  if (member == NULL || key == membership->options.self)
    return;
  member->is_unlisted = true;
  if (is_gone (member))
    forget (membership, member);
}

/* The wait for a first answer starts with the watching, not with boot. */
static void
start_watching (struct member *member, int64_t now_ms)
{
  if (!member->watched && !member->watched_back && !is_gone (member))
    member->watched_ms = now_ms;
}

/* Guards against a host that nobody decides on: a suspect is no neighbour to
   choose any more, so it would no longer be watched and stay suspect for
   ever.  Shows as a frozen host that is never called dead.  It is watched
   until it is live or dead. */
static bool
is_in_doubt (const struct member *member)
{
  return member->state == MEMBER_SUSPECT || member->state == MEMBER_ONE_WAY;
}

void
membership_watch (struct membership *membership, int64_t now_ms,
                  const uint64_t *keys, size_t count)
{
  struct member *member;
  struct member *next;
  for (size_t i = 0; i < count; i++)
    {
      member = find (membership, keys[i]);
      if (member == NULL)
        member = add (membership, keys[i], 0);
      start_watching (member, now_ms);
    }
  HASH_ITER (hh, membership->members, member, next)
  {
    member->watched = member->watched && is_in_doubt (member);
  }
  for (size_t i = 0; i < count; i++)
    find (membership, keys[i])->watched = true;
}

static void
watch_back (struct membership *membership, int64_t now_ms,
            struct member *member)
{
  if (member->watched_back
      || membership->watched_back_count == WATCHED_BACK_MAX)
    return;
  start_watching (member, now_ms);
  member->watched_back = true;
  membership->watched_back_count++;
}

/* The member that sent something with INCARNATION; NULL when the sender is
   an earlier start of a host that has been replaced. */
static struct member *
sender (struct membership *membership, uint64_t key, uint64_t incarnation)
{
  if (key == membership->options.self)
    return NULL;
  struct member *member = find (membership, key);
  if (member == NULL)
    return add (membership, key, incarnation);
  if (incarnation < member->incarnation)
    return NULL;
  if (incarnation > member->incarnation)
    restart (membership, member, incarnation);
  return member;
}

void
membership_heard (struct membership *membership, int64_t now_ms, uint64_t key,
                  uint64_t incarnation, bool leaving)
{
  struct member *member = sender (membership, key, incarnation);
  if (member == NULL)
    return;
  watch_back (membership, now_ms, member);
  member->heard_ms = now_ms;
  if (leaving && member->state != MEMBER_LEAVING)
    set_leaving (membership, now_ms, member);
}

void
membership_answered (struct membership *membership, int64_t now_ms,
                     uint64_t key, uint64_t incarnation)
{
  struct member *member = sender (membership, key, incarnation);
  if (member == NULL)
    return;
  member->heard_ms = now_ms;
  member->answered_ms = now_ms;
}

void
membership_vouched (struct membership *membership, int64_t now_ms,
                    uint64_t key)
{
  struct member *member = find (membership, key);
  if (member != NULL)
    member->vouched_ms = now_ms;
}

static void
contradict (struct membership *membership, struct member *self,
            const struct member_verdict *verdict)
{
  if (verdict->incarnation != self->incarnation
      || verdict->state == MEMBER_LIVE || verdict->counter < self->counter)
    return;
  self->counter = verdict->counter + 1;
  spread (membership, self);
}

/* LEAVING is final: a watcher that still gets answers mustn't bring back a
   host that runs out its last requests. */
static bool
is_newer (const struct member *member, const struct member_verdict *verdict)
{
  if (verdict->incarnation != member->incarnation)
    return verdict->incarnation > member->incarnation;
  if (member->said == MEMBER_LEAVING)
    return false;
  if (verdict->state == MEMBER_LEAVING)
    return true;
  if (verdict->counter != member->counter)
    return verdict->counter > member->counter;
  return verdict->state > member->said;
}

void
membership_verdict (struct membership *membership, int64_t now_ms,
                    const struct member_verdict *verdict)
{
  struct member *member = find (membership, verdict->key);
  if (verdict->key == membership->options.self)
    {
      contradict (membership, member, verdict);
      return;
    }
  if (member == NULL)
    member = add (membership, verdict->key, verdict->incarnation);
  else if (!is_newer (member, verdict))
    return;
  if (verdict->incarnation > member->incarnation)
    restart (membership, member, verdict->incarnation);
  member->counter = verdict->counter;
  member->said = verdict->state;
  member->said_ms = now_ms;
  spread (membership, member);
  if (verdict->state == MEMBER_LIVE)
    member->vouched_ms = now_ms;
  const bool judged_here = member->watched || member->watched_back;
  if (!judged_here || verdict->state > member->state)
    set_state (membership, member, verdict->state);
}

void
membership_leave (struct membership *membership)
{
  struct member *self = find (membership, membership->options.self);
  set_state (membership, self, MEMBER_LEAVING);
  self->said = MEMBER_LEAVING;
  self->counter++;
  spread (membership, self);
}

static int64_t
newest (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* What this host sees by itself. */
static enum member_state
seen (const struct membership *membership, const struct member *member,
      int64_t now_ms)
{
  const struct membership_options *options = &membership->options;
  const int64_t answer_ms = newest (member->answered_ms, member->watched_ms);
  if (now_ms - answer_ms < options->suspect_after_ms)
    return MEMBER_LIVE;
  if (now_ms - member->heard_ms < options->suspect_after_ms)
    return MEMBER_ONE_WAY;
  const int64_t sign_ms
      = newest (newest (answer_ms, member->heard_ms), member->vouched_ms);
  if (now_ms - sign_ms < options->dead_after_ms)
    return MEMBER_SUSPECT;
  return MEMBER_DEAD;
}

/* Guards against two watchers that contradict each other at every beat: one
   says dead, another still remembers an answer from before and says live.
   Shows as a dead host that is handed out again and again.  Only an answer
   that came after the verdict outweighs it. */
static enum member_state
judge (const struct membership *membership, const struct member *member,
       int64_t now_ms)
{
  const enum member_state state = seen (membership, member, now_ms);
  if (member->said > state && member->answered_ms <= member->said_ms)
    return member->said;
  return state;
}

/* A cut between this host and that one only isn't worth a word: others reach
   it.  When nobody does for long, all must know. */
static bool
is_cut_for_all (const struct membership *membership,
                const struct member *member, int64_t now_ms)
{
  const int64_t answer_ms = newest (member->answered_ms, member->watched_ms);
  const int64_t sign_ms = newest (answer_ms, member->vouched_ms);
  return now_ms - sign_ms >= membership->options.dead_after_ms;
}

static void
tick_member (struct membership *membership, struct member *member,
             int64_t now_ms)
{
  if (member->state == MEMBER_LEAVING)
    return;
  const bool was_vouched = member->is_vouched;
  member->is_vouched
      = now_ms - member->vouched_ms < membership->options.dead_after_ms;
  const enum member_state state = judge (membership, member, now_ms);
  if (was_vouched != member->is_vouched && state != MEMBER_LIVE)
    note_change (membership, member);
  set_state (membership, member, state);
  if (state == MEMBER_LIVE || state == MEMBER_DEAD)
    say (membership, now_ms, member, state);
  if (state == MEMBER_ONE_WAY && member->said != MEMBER_DEAD
      && is_cut_for_all (membership, member, now_ms))
    say (membership, now_ms, member, MEMBER_ONE_WAY);
  const bool is_silent
      = now_ms - member->heard_ms >= membership->options.suspect_after_ms;
  if (state == MEMBER_DEAD && is_silent && member->watched_back)
    {
      member->watched_back = false;
      membership->watched_back_count--;
    }
}

/* Guards against a host that was frozen and thaws: it has heard nobody for
   long, and would tell all others that its neighbours are dead.  Shows as
   live hosts taken from callers whenever one process pauses.  A silence that
   this host slept through says nothing, so the wait starts again. */
static void
excuse_pause (struct membership *membership, int64_t now_ms)
{
  const int64_t gap_ms = now_ms - membership->ticked_ms;
  const bool is_paused = membership->ticked_ms != never_ms
                         && gap_ms >= membership->options.suspect_after_ms;
  membership->ticked_ms = now_ms;
  if (!is_paused)
    return;
  struct member *member;
  for (member = membership->members; member != NULL; member = member->hh.next)
    if ((member->watched || member->watched_back) && !is_gone (member))
      member->watched_ms = now_ms;
}

void
membership_tick (struct membership *membership, int64_t now_ms)
{
  struct member *member;
  struct member *next;
  excuse_pause (membership, now_ms);
  HASH_ITER (hh, membership->members, member, next)
  {
    if (member->key == membership->options.self)
      continue;
    if (member->watched || member->watched_back)
      tick_member (membership, member, now_ms);
    if (member->is_unlisted && is_gone (member) && !member->is_news)
      forget (membership, member);
  }
}

static bool
is_watched (const struct member *member)
{
  return (member->watched || member->watched_back)
         && member->state != MEMBER_LEAVING;
}

size_t
membership_watched (const struct membership *membership, uint64_t *keys,
                    size_t max)
{
  const struct member *member;
  size_t count = 0;
  for (member = membership->members; member != NULL; member = member->hh.next)
    if (is_watched (member) && count < max)
      keys[count++] = member->key;
  return count;
}

size_t
membership_doubted (const struct membership *membership, uint64_t *keys,
                    size_t max)
{
  const struct member *member;
  size_t count = 0;
  for (member = membership->bad; member != NULL; member = member->bad_next)
    if (is_watched (member) && member->state != MEMBER_DEAD && count < max)
      keys[count++] = member->key;
  return count;
}

static struct member_verdict
verdict_of (const struct member *member)
{
  return (struct member_verdict){ .key = member->key,
                                  .incarnation = member->incarnation,
                                  .counter = member->counter,
                                  .state = member->said };
}

size_t
membership_gossip (struct membership *membership,
                   struct member_verdict *verdicts, size_t max)
{
  size_t count = 0;
  struct member *member;
  struct member *next;
  DL_FOREACH_SAFE2 (membership->news, member, next, news_next)
  {
    if (count == max)
      break;
    verdicts[count++] = verdict_of (member);
    if (--member->sends_left > 0)
      continue;
    DL_DELETE2 (membership->news, member, news_prev, news_next);
    member->is_news = false;
  }
  member = membership->bad;
  if (member == NULL || count == max)
    return count;
  DL_DELETE2 (membership->bad, member, bad_prev, bad_next);
  DL_APPEND2 (membership->bad, member, bad_prev, bad_next);
  if (member->said != MEMBER_LIVE)
    verdicts[count++] = verdict_of (member);
  return count;
}

bool
membership_next_change (struct membership *membership,
                        struct member_verdict *change)
{
  struct member *member = membership->changed;
  if (member == NULL)
    return false;
  DL_DELETE2 (membership->changed, member, changed_prev, changed_next);
  member->is_changed = false;
  *change = verdict_of (member);
  change->state = member->state;
  return true;
}

enum member_state
membership_state (const struct membership *membership, uint64_t key)
{
  const struct member *member = find (membership, key);
  return member == NULL ? MEMBER_DEAD : member->state;
}

bool
membership_is_usable (const struct membership *membership, uint64_t key)
{
  const struct member *member = find (membership, key);
  if (member == NULL)
    return false;
  if (member->state == MEMBER_LIVE)
    return true;
  const bool is_cut_here
      = member->state == MEMBER_SUSPECT || member->state == MEMBER_ONE_WAY;
  return is_cut_here && member->said == MEMBER_LIVE && member->is_vouched;
}

bool
membership_reaches (const struct membership *membership, int64_t now_ms,
                    uint64_t key)
{
  const struct member *member = find (membership, key);
  return member != NULL
         && now_ms - member->answered_ms
                < membership->options.suspect_after_ms;
}
