/** @file
 * What this host believes of the other hosts.
 *
 * A few hosts are watched: they get heartbeats and are expected to answer.
 * Of all others this host believes what their watchers say (verdicts, spread
 * with heartbeats).  The platform's list only introduces hosts; it lags, so
 * it neither kills nor revives one that is known.
 *
 * Pure: time is passed in as milliseconds since boot.
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
  uint32_t dead_after_ms;    /**< without an answer or a word for it */
};

struct membership;

struct membership *
membership_create (const struct membership_options *options);
void membership_destroy (struct membership *membership);

/** A host is on the platform's list, or has introduced itself. */
void membership_add (struct membership *membership, int64_t now_ms,
                     uint64_t key, uint64_t incarnation, bool leaving);

/** A host is no longer on the platform's list: forgotten once dead or
 * leaving. */
void membership_note_unlisted (struct membership *membership, uint64_t key);

/** Watch these hosts from now, those that want it in return, and those in
 * doubt until they are found live or dead. */
void membership_monitor (struct membership *membership, int64_t now_ms,
                         const uint64_t *keys, size_t count);

/** A heartbeat of KEY arrived: it can reach us.  If RETURN_WANTED, or if KEY
 * was dead, it is watched back: until dead_after_ms after the last such
 * heartbeat, and in doubt until it is found live or dead. */
void membership_note_heartbeat (struct membership *membership, int64_t now_ms,
                                uint64_t key, uint64_t incarnation,
                                bool leaving, bool return_wanted);

/** KEY answered our heartbeat: it is reached both ways. */
void membership_note_answer (struct membership *membership, int64_t now_ms,
                             uint64_t key, uint64_t incarnation);

/** Another host says that KEY answered it lately. */
void membership_note_indirect_answer (struct membership *membership,
                                      int64_t now_ms, uint64_t key);

/** A verdict arrived.  One about this host that isn't live is contradicted
 * with a higher counter. */
void membership_merge (struct membership *membership, int64_t now_ms,
                       const struct member_update *verdict);

/** This host leaves: spread it. */
void membership_leave (struct membership *membership);

/** Judge the watched hosts at NOW_MS.  Call it once a heartbeat. */
void membership_tick (struct membership *membership, int64_t now_ms);

/** Hosts to send a heartbeat to: all watched, dead ones too, as only an
 * answer brings them back.
 * @return how many were written. */
size_t membership_monitored (const struct membership *membership,
                             uint64_t *keys, size_t max);

/** Is a heartbeat to KEY to be returned?  Not if KEY is watched only because
 * it watches this host: each would keep the other for ever.  Heartbeats of a
 * dead host are what brings it back. */
bool membership_requests_return (const struct membership *membership,
                                 uint64_t key);

/** Watched hosts that others should be asked about: those that don't answer
 * here. */
size_t membership_undecided (const struct membership *membership,
                             uint64_t *keys, size_t max);

/** Verdicts to send along: news first, each a few times, then one of the
 * verdicts that aren't live in turn, for those who missed it. */
size_t membership_gossip (struct membership *membership,
                          struct member_update *verdicts, size_t max);

/** A host whose state changed since the last call.
 * @return false when there is none. */
bool membership_next_change (struct membership *membership,
                             struct member_update *change);

/** MEMBER_DEAD for a host never heard of. */
enum member_state membership_state (const struct membership *membership,
                                    uint64_t key);

/** May it be handed out?  Live, or cut from this host only: others vouch. */
bool membership_is_usable (const struct membership *membership, uint64_t key);

/** Has it answered this host within suspect_after_ms before NOW_MS? */
bool membership_has_recent_answer (const struct membership *membership,
                                   int64_t now_ms, uint64_t key);

#endif
