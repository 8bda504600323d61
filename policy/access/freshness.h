/** @file
 * Proof of how recent this host's configuration is.
 *
 * A revoked key must be refused on every host after a bounded time, even on
 * hosts that are partitioned from the others.  A host therefore accepts a key
 * only while it can prove that it would have received a revocation.
 *
 * The proof is a time t on the host's own clock: every configuration that was
 * accepted before t has at most the version that is in force on this host.  A
 * proof comes from the platform or from another host, always in the answer to
 * a request, and counts from the time the request was sent:
 *  - A consistent read from the platform covers everything that was accepted
 *    before the read was requested.  Events delivered by a pending watch since
 *    then prove nothing, because the watch may have stalled.
 *  - Another host reports the age of its own proof.  It composes the answer
 *    after the request was sent, so its proof covers at least the time of the
 *    request minus this age, however long the answer was delayed on the
 *    network, in a buffer or by a suspended host.
 *
 * Forwarding a proof through any number of hosts never makes it younger, so it
 * can't return to its origin with a later time.
 *
 * Derivation: a request accepted at time a was sent at s <= a.  It is accepted
 * only if a - t < bound.  If its key had been revoked by a version that was
 * accepted at c < s - bound, then c < a - bound < t, so that version is in
 * force on this host.  The clock includes the time for which a host is
 * suspended; one hundredth of the bound allows for clock drift.  Requests that
 * wait in a queue or are retried were sent before they were accepted, so the
 * bound holds for them without another check.
 */
#ifndef POLICY_ACCESS_FRESHNESS_H
#define POLICY_ACCESS_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/** Age if there is no proof. */
#define FRESHNESS_AGE_UNKNOWN_MS UINT32_MAX

/** States that every configuration accepted before `time_ms` has at most
 * version `version`. */
struct freshness_proof
{
  uint64_t version;
  int64_t time_ms; /**< on this host's clock */
};

struct freshness
{
  uint64_t version; /**< version in force on this host; 0: none */
  int64_t time_ms;  /**< time proven for it; INT64_MIN: none */
  /** Newest proof for a version that is not in force yet; used once it is. */
  struct freshness_proof pending_proof;
};

void freshness_init (struct freshness *freshness);

/** Take PROOF into account.
 * @return whether the host's own proof became younger */
bool freshness_add_proof (struct freshness *freshness,
                          const struct freshness_proof *proof);

/** Note that VERSION is in force from now on. */
void freshness_set_version_in_force (struct freshness *freshness,
                                     uint64_t version);

/** Return the proof to report to other hosts. */
struct freshness_proof freshness_get_proof (const struct freshness *freshness);

/** Return the age of the proof, or FRESHNESS_AGE_UNKNOWN_MS. */
uint32_t freshness_age_ms (const struct freshness *freshness, int64_t now_ms);

/** Return whether keys may be checked at NOW_MS, given that a revoked key
 * must not be accepted for longer than BOUND_MS after its revocation. */
bool freshness_is_within_bound (const struct freshness *freshness,
                                int64_t now_ms, uint32_t bound_ms);

#endif
