/** @file
 * All known hosts, with lists of those whose updates are to be sent, those
 * that aren't live, and those whose state changed.
 */
#ifndef POLICY_FLEET_MEMBER_SET_H
#define POLICY_FLEET_MEMBER_SET_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/member.h"

struct member_set
{
  struct member *members;      /**< by key */
  struct member *gossip_queue; /**< updates still to be sent */
  struct member *not_live;     /**< members that aren't live */
  struct member *changed; /**< to be returned by member_set_next_change() */
  uint32_t monitored_in_return_count;
};

/** Remove all members. */
void member_set_clear (struct member_set *set);

/** Return the member with this key, or NULL if there is none. */
struct member *member_set_find (const struct member_set *set, uint64_t key);

/** Add a live member that isn't in the set yet. */
struct member *member_set_add (struct member_set *set, uint64_t key,
                               uint64_t incarnation);

/** Remove MEMBER and free it. */
void member_set_remove (struct member_set *set, struct member *member);

/** Note that MEMBER has restarted with INCARNATION: updates about its earlier
 * incarnations are obsolete. */
void member_set_restart (struct member_set *set, struct member *member,
                         uint64_t incarnation);

/** Have member_set_next_change() return MEMBER. */
void member_set_note_change (struct member_set *set, struct member *member);

/** Set the state of MEMBER as seen by this host. */
void member_set_change_state (struct member_set *set, struct member *member,
                              enum member_state state);

/** Queue the newest update of MEMBER to be sent to other hosts. */
void member_set_queue_gossip (struct member_set *set, struct member *member);

/** Announce STATE of MEMBER to the other hosts, superseding earlier
 * updates. */
void member_set_announce (struct member_set *set, int64_t now_ms,
                          struct member *member, enum member_state state);

/** Monitor MEMBER because it monitors this host, unless too many are
 * monitored in return. */
void member_set_monitor_in_return (struct member_set *set, int64_t now_ms,
                                   struct member *member);
void member_set_stop_monitoring_in_return (struct member_set *set,
                                           struct member *member);

/** See membership_gossip(). */
size_t member_set_gossip (struct member_set *set,
                          struct member_update *updates, size_t max);

/** See membership_next_change(). */
bool member_set_next_change (struct member_set *set,
                             struct member_update *change);

#endif
