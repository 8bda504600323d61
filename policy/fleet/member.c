#include "policy/fleet/member.h"

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

bool
member_is_gone (const struct member *member)
{
  return member->state == MEMBER_DEAD || member->state == MEMBER_LEAVING;
}

bool
member_is_undecided (const struct member *member)
{
  return member->state == MEMBER_SUSPECT || member->state == MEMBER_ONE_WAY;
}

bool
member_is_monitored (const struct member *member)
{
  return member->monitored || member->monitored_in_return;
}

void
member_start_monitoring (struct member *member, int64_t now_ms)
{
  if (!member_is_monitored (member) && !member_is_gone (member))
    member->monitored_since_ms = now_ms;
}

/* LEAVING is final: a watcher that still gets answers mustn't bring back a
   host that runs out its last requests. */
bool
member_is_superseded_by (const struct member *member,
                         const struct member_update *verdict)
{
  if (verdict->incarnation != member->incarnation)
    return verdict->incarnation > member->incarnation;
  if (member->announced == MEMBER_LEAVING)
    return false;
  if (verdict->state == MEMBER_LEAVING)
    return true;
  if (verdict->counter != member->counter)
    return verdict->counter > member->counter;
  return verdict->state > member->announced;
}

struct member_update
member_get_update (const struct member *member)
{
  return (struct member_update){ .key = member->key,
                                 .incarnation = member->incarnation,
                                 .counter = member->counter,
                                 .state = member->announced };
}

static int64_t
newest (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* What this host sees by itself. */
static enum member_state
seen (const struct member *member, const struct membership_options *options,
      int64_t now_ms)
{
  const int64_t answer_ms
      = newest (member->last_answer_ms, member->monitored_since_ms);
  if (now_ms - answer_ms < options->suspect_after_ms)
    return MEMBER_LIVE;
  if (now_ms - member->last_heard_ms < options->suspect_after_ms)
    return MEMBER_ONE_WAY;
  const int64_t sign_ms = newest (newest (answer_ms, member->last_heard_ms),
                                  member->last_indirect_answer_ms);
  if (now_ms - sign_ms < options->dead_after_ms)
    return MEMBER_SUSPECT;
  return MEMBER_DEAD;
}

/* Guards against two watchers that contradict each other at every beat: one
   says dead, another still remembers an answer from before and says live.
   Shows as a dead host that is handed out again and again.  Only an answer
   that came after the verdict outweighs it. */
enum member_state
member_evaluate (const struct member *member,
                 const struct membership_options *options, int64_t now_ms)
{
  const enum member_state state = seen (member, options, now_ms);
  if (member->announced > state
      && member->last_answer_ms <= member->announced_ms)
    return member->announced;
  return state;
}

/* Guards against a dead host that nobody decides on: a host that nobody
   chooses is watched in return only, and when it dies its beats stop with its
   answers.  Shows as a killed host that stays live for most of the fleet.
   After dead_after_ms it answers still, or it is in doubt and kept. */
bool
member_return_is_over (const struct member *member,
                       const struct membership_options *options,
                       int64_t now_ms)
{
  const int64_t wanted_ms
      = newest (member->return_requested_ms, member->monitored_since_ms);
  return member->monitored_in_return && !member_is_undecided (member)
         && now_ms - wanted_ms >= options->dead_after_ms;
}

bool
member_is_unreachable_for_all (const struct member *member,
                               const struct membership_options *options,
                               int64_t now_ms)
{
  const int64_t answer_ms
      = newest (member->last_answer_ms, member->monitored_since_ms);
  const int64_t sign_ms = newest (answer_ms, member->last_indirect_answer_ms);
  return now_ms - sign_ms >= options->dead_after_ms;
}
