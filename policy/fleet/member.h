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

#include "policy/fleet/member_verdict.h"
#include "policy/fleet/membership.h"

/** Long before any time that is passed in. */
static const int64_t member_never_ms = INT64_MIN / 4;

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
  int64_t wanted_ms; /**< when it last gave cause to watch it back */
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

/** Dead or leaving. */
bool member_is_gone (const struct member *member);

/** Suspect or reached one way only. */
bool member_is_in_doubt (const struct member *member);

/** Does this host judge it by what it sees itself? */
bool member_is_watched (const struct member *member);

/** Has a watched-back MEMBER given no cause for it for so long that its state
 * is decided? */
bool member_is_let_go (const struct member *member,
                       const struct membership_options *options,
                       int64_t now_ms);

/** The wait for a first answer starts with the watching, not with boot. */
void member_start_watching (struct member *member, int64_t now_ms);

/** Is VERDICT news of MEMBER? */
bool member_is_older (const struct member *member,
                      const struct member_verdict *verdict);

/** The newest verdict on MEMBER, as it is sent to others. */
struct member_verdict member_verdict_of (const struct member *member);

/** The state of a watched MEMBER at NOW_MS. */
enum member_state member_judge (const struct member *member,
                                const struct membership_options *options,
                                int64_t now_ms);

/** Has nobody had an answer of MEMBER for `dead_after_ms`?  A cut between
 * this host and that one only isn't worth a word: others reach it.  When
 * nobody does for long, all must know. */
bool member_is_cut_for_all (const struct member *member,
                            const struct membership_options *options,
                            int64_t now_ms);

#endif
