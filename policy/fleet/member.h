/** @file
 * State that this host keeps for one other host, and rules that apply to it
 * alone.
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

/** Earlier than any time that is passed in. */
static const int64_t member_never_ms = INT64_MIN / 4;

struct member
{
  uint64_t key;
  uint64_t incarnation;
  uint32_t counter;
  enum member_state state;     /**< as seen by this host */
  enum member_state announced; /**< newest state received or announced */
  int64_t announced_ms;
  bool monitored;
  bool monitored_in_return; /**< because it monitors this host */
  bool has_indirect_answer; /**< as of the last tick */
  bool is_unlisted;
  int64_t monitored_since_ms;
  int64_t return_requested_ms; /**< last request for monitoring in return */
  int64_t last_answer_ms;
  int64_t last_heard_ms;
  int64_t last_indirect_answer_ms;
  uint32_t sends_remaining;
  bool is_queued;
  bool is_listed_not_live; /**< in member_set.not_live */
  bool is_changed;
  struct member *queued_prev, *queued_next;
  struct member *not_live_prev, *not_live_next;
  struct member *changed_prev, *changed_next;
  UT_hash_handle hh;
};

/** Dead or leaving. */
bool member_is_gone (const struct member *member);

/** Suspect or reachable in one direction only. */
bool member_is_undecided (const struct member *member);

/** Return whether this host determines its state by its own observation. */
bool member_is_monitored (const struct member *member);

/** Return whether a MEMBER monitored in return hasn't requested it for so
 * long that its state is decided (live, dead or leaving). */
bool member_return_is_over (const struct member *member,
                            const struct membership_options *options,
                            int64_t now_ms);

/** Start the timeout for the first answer of MEMBER at NOW_MS; otherwise it
 * would count from boot.  No effect if MEMBER is monitored already or gone. */
void member_start_monitoring (struct member *member, int64_t now_ms);

/** Return whether UPDATE is newer than what is known of MEMBER. */
bool member_is_superseded_by (const struct member *member,
                              const struct member_update *update);

/** Return the newest update of MEMBER, as sent to other hosts. */
struct member_update member_get_update (const struct member *member);

/** Return the state of a monitored MEMBER at NOW_MS. */
enum member_state member_evaluate (const struct member *member,
                                   const struct membership_options *options,
                                   int64_t now_ms);

/** Return whether no host has received an answer from MEMBER for
 * `dead_after_ms`.  A failed connection to this host alone isn't announced,
 * since others reach the member.  If nobody reaches it for long, all hosts
 * must know. */
bool member_is_unreachable_for_all (const struct member *member,
                                    const struct membership_options *options,
                                    int64_t now_ms);

#endif
