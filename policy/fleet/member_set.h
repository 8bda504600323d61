/** @file
 * All known hosts, and the lists some of them stand in: news to send on,
 * those not live, and those whose state changed.
 */
#ifndef POLICY_FLEET_MEMBER_SET_H
#define POLICY_FLEET_MEMBER_SET_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/member.h"

struct member_set
{
  struct member *members;      /**< by key */
  struct member *gossip_queue; /**< still to be sent on */
  struct member *not_live;     /**< not live */
  struct member *changed;      /**< to be told by member_set_next_change() */
  uint32_t monitored_in_return_count;
};

/** Forget all members. */
void member_set_clear (struct member_set *set);

/** @return NULL for a host never heard of. */
struct member *member_set_find (const struct member_set *set, uint64_t key);

/** Add a live member that the set doesn't hold yet. */
struct member *member_set_add (struct member_set *set, uint64_t key,
                               uint64_t incarnation);

/** Take MEMBER out and free it. */
void member_set_remove (struct member_set *set, struct member *member);

/** The host has started anew: what was said of its former start is void. */
void member_set_restart (struct member_set *set, struct member *member,
                         uint64_t incarnation);

/** MEMBER is to be told by member_set_next_change(). */
void member_set_note_change (struct member_set *set, struct member *member);

/** Believe STATE of MEMBER. */
void member_set_change_state (struct member_set *set, struct member *member,
                              enum member_state state);

/** Send the newest verdict on MEMBER on. */
void member_set_queue_gossip (struct member_set *set, struct member *member);

/** Say STATE of MEMBER to the others, above all that was said before. */
void member_set_announce (struct member_set *set, int64_t now_ms,
                          struct member *member, enum member_state state);

/** Watch MEMBER because it watches us, unless too many are watched so. */
void member_set_monitor_in_return (struct member_set *set, int64_t now_ms,
                                   struct member *member);
void member_set_stop_monitoring_in_return (struct member_set *set,
                                           struct member *member);

/** See membership_gossip(). */
size_t member_set_gossip (struct member_set *set,
                          struct member_update *verdicts, size_t max);

/** See membership_next_change(). */
bool member_set_next_change (struct member_set *set,
                             struct member_update *change);

#endif
