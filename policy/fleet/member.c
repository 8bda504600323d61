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

/* LEAVING is final: answers to a monitoring host must not revive a host
   that is finishing its last requests. */
bool
member_is_superseded_by (const struct member *member,
                         const struct member_update *update)
{
  if (update->incarnation != member->incarnation)
    return update->incarnation > member->incarnation;
  if (member->announced == MEMBER_LEAVING)
    return false;
  if (update->state == MEMBER_LEAVING)
    return true;
  if (update->counter != member->counter)
    return update->counter > member->counter;
  return update->state > member->announced;
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
latest (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Returns the state as observed by this host alone. */
static enum member_state
observed_state (const struct member *member,
                const struct membership_options *options, int64_t now_ms)
{
  const int64_t answer_ms
      = latest (member->last_answer_ms, member->monitored_since_ms);
  if (now_ms - answer_ms < options->suspect_after_ms)
    return MEMBER_LIVE;
  if (now_ms - member->last_heard_ms < options->suspect_after_ms)
    return MEMBER_ONE_WAY;
  const int64_t alive_ms = latest (latest (answer_ms, member->last_heard_ms),
                                   member->last_indirect_answer_ms);
  if (now_ms - alive_ms < options->dead_after_ms)
    return MEMBER_SUSPECT;
  return MEMBER_DEAD;
}

/* Two monitoring hosts could contradict each other with every heartbeat:
   one announces dead, the other still has an earlier answer and announces
   live, so that a dead host is handed out repeatedly.  Therefore only an
   answer received after the update overrides it. */
enum member_state
member_evaluate (const struct member *member,
                 const struct membership_options *options, int64_t now_ms)
{
  const enum member_state state = observed_state (member, options, now_ms);
  if (member->announced > state
      && member->last_answer_ms <= member->announced_ms)
    return member->announced;
  return state;
}

/* A host that nobody chooses is monitored only in return.  When it dies,
   its heartbeats stop together with its answers, and if monitoring stopped
   then, its state would never be decided: a killed host would stay live for
   most of the fleet.  After dead_after_ms it either still answers, or it is
   undecided and stays monitored. */
bool
member_return_is_over (const struct member *member,
                       const struct membership_options *options,
                       int64_t now_ms)
{
  const int64_t requested_ms
      = latest (member->return_requested_ms, member->monitored_since_ms);
  return member->monitored_in_return && !member_is_undecided (member)
         && now_ms - requested_ms >= options->dead_after_ms;
}

bool
member_is_unreachable_for_all (const struct member *member,
                               const struct membership_options *options,
                               int64_t now_ms)
{
  const int64_t answer_ms
      = latest (member->last_answer_ms, member->monitored_since_ms);
  const int64_t alive_ms = latest (answer_ms, member->last_indirect_answer_ms);
  return now_ms - alive_ms >= options->dead_after_ms;
}
