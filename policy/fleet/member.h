/** @file
 * One host as this host knows it, and what can be told of it alone.
 *
 * Times are milliseconds since boot.
 */
#ifndef POLICY_FLEET_MEMBER_H
#define POLICY_FLEET_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "policy/fleet/member_update.h"
#include "policy/fleet/membership.h"

/** Long before any time that is passed in. */
static const int64_t member_never_ms = INT64_MIN / 4;

struct member
{
  uint64_t key;
  uint64_t incarnation;
  uint32_t counter;
  enum member_state state;     /**< believed here */
  enum member_state announced; /**< newest verdict received or spread */
  int64_t announced_ms;
  bool monitored;
  bool monitored_in_return; /**< because it watches us */
  bool has_indirect_answer; /**< lately, as of the last tick */
  bool is_unlisted;
  int64_t monitored_since_ms;
  int64_t return_requested_ms; /**< when it last gave cause to watch it back */
  int64_t last_answer_ms;
  int64_t last_heard_ms;
  int64_t last_indirect_answer_ms;
  uint32_t sends_remaining;
  bool is_queued;
  bool is_listed_not_live;
  bool is_changed;
  struct member *queued_prev, *queued_next;
  struct member *not_live_prev, *not_live_next;
  struct member *changed_prev, *changed_next;
  UT_hash_handle hh;
};

/** Dead or leaving. */
bool member_is_gone (const struct member *member);

/** Suspect or reached one way only. */
bool member_is_undecided (const struct member *member);

/** Does this host judge it by what it sees itself? */
bool member_is_monitored (const struct member *member);

/** Has a watched-back MEMBER given no cause for it for so long that its state
 * is decided? */
bool member_return_is_over (const struct member *member,
                            const struct membership_options *options,
                            int64_t now_ms);

/** The wait for a first answer starts with the watching, not with boot. */
void member_start_monitoring (struct member *member, int64_t now_ms);

/** Is VERDICT news of MEMBER? */
bool member_is_superseded_by (const struct member *member,
                              const struct member_update *verdict);

/** The newest verdict on MEMBER, as it is sent to others. */
struct member_update member_get_update (const struct member *member);

/** The state of a watched MEMBER at NOW_MS. */
enum member_state member_evaluate (const struct member *member,
                                   const struct membership_options *options,
                                   int64_t now_ms);

/** Has nobody had an answer of MEMBER for `dead_after_ms`?  A cut between
 * this host and that one only isn't worth a word: others reach it.  When
 * nobody does for long, all must know. */
bool member_is_unreachable_for_all (const struct member *member,
                                    const struct membership_options *options,
                                    int64_t now_ms);

#endif
