/** @file
 * The state of the other hosts as seen by this host.
 *
 * A few hosts are monitored: this host sends them heartbeats and expects
 * answers.  The state of all others comes from the updates of the hosts that
 * monitor them, which are spread with heartbeats.  The platform's list only
 * introduces hosts.  It lags, so it changes the state of no known host.
 *
 * No I/O; time is passed in as milliseconds since boot.
 */
#ifndef POLICY_FLEET_MEMBERSHIP_H
#define POLICY_FLEET_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/member_update.h"

struct membership_options
{
  uint64_t self;
  uint64_t incarnation;
  uint32_t suspect_after_ms; /**< without an answer */
  uint32_t dead_after_ms;    /**< without a direct or indirect answer */
};

struct membership;

struct membership *
membership_create (const struct membership_options *options);
void membership_destroy (struct membership *membership);

/** Add a host that is on the platform's list or has introduced itself. */
void membership_add (struct membership *membership, int64_t now_ms,
                     uint64_t key, uint64_t incarnation, bool leaving);

/** Note that a host is no longer on the platform's list: it is removed once
 * dead or leaving. */
void membership_note_unlisted (struct membership *membership, uint64_t key);

/** Monitor these hosts from now on, besides those that request it in return,
 * and those that are undecided until they are found live or dead. */
void membership_monitor (struct membership *membership, int64_t now_ms,
                         const uint64_t *keys, size_t count);

/** Note a heartbeat from KEY, which shows that it can reach this host.  If
 * RETURN_REQUESTED is set, or if KEY was dead, it is monitored in return
 * until dead_after_ms after the last such heartbeat; if it is undecided then,
 * until it is found live or dead. */
void membership_note_heartbeat (struct membership *membership, int64_t now_ms,
                                uint64_t key, uint64_t incarnation,
                                bool leaving, bool return_requested);

/** Note an answer from KEY to a heartbeat, which shows that both directions
 * work. */
void membership_note_answer (struct membership *membership, int64_t now_ms,
                             uint64_t key, uint64_t incarnation);

/** Note the report of another host that KEY answered it recently. */
void membership_note_indirect_answer (struct membership *membership,
                                      int64_t now_ms, uint64_t key);

/** Merge an update from another host.  An update in which this host isn't
 * live is refuted with a higher counter. */
void membership_merge (struct membership *membership, int64_t now_ms,
                       const struct member_update *update);

/** Announce that this host leaves. */
void membership_leave (struct membership *membership);

/** Evaluate the monitored hosts at NOW_MS.  To be called once per
 * heartbeat. */
void membership_tick (struct membership *membership, int64_t now_ms);

/** List the hosts to send heartbeats to: all monitored ones, including dead
 * ones, because only an answer can revive them.
 * @return the number of keys written */
size_t membership_monitored (const struct membership *membership,
                             uint64_t *keys, size_t max);

/** Return whether a heartbeat to KEY requests monitoring in return.  It
 * doesn't if KEY is monitored only in return, because the two hosts would
 * keep each other monitored for ever.  It does if KEY is dead, because its
 * heartbeats revive it. */
bool membership_requests_return (const struct membership *membership,
                                 uint64_t key);

/** List the monitored hosts that don't answer this host, about which others
 * should be asked. */
size_t membership_undecided (const struct membership *membership,
                             uint64_t *keys, size_t max);

/** Get updates to send with a message: first the queued ones, each of which
 * is sent several times, then one of the members that aren't live in turn,
 * for hosts that missed its update. */
size_t membership_gossip (struct membership *membership,
                          struct member_update *updates, size_t max);

/** Get a host whose state changed since the last call.
 * @return false if there is none */
bool membership_next_change (struct membership *membership,
                             struct member_update *change);

/** Return the state of KEY; MEMBER_DEAD for an unknown host. */
enum member_state membership_state (const struct membership *membership,
                                    uint64_t key);

/** Return whether the host may be handed out to callers: it is live, or only
 * this host can't reach it and others report answers. */
bool membership_is_usable (const struct membership *membership, uint64_t key);

/** Return whether KEY has answered this host within suspect_after_ms before
 * NOW_MS. */
bool membership_has_recent_answer (const struct membership *membership,
                                   int64_t now_ms, uint64_t key);

#endif
