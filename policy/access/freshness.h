/** @file
 * As of when this host's configuration is known to be the newest.
 *
 * A key that was taken away must not be taken any more after a bound, on any
 * host, whoever it is cut off from.  So a host says yes to a key only while it
 * can show that it would have heard of its removal.
 *
 * The proof is a time t on the host's own clock: every configuration that was
 * accepted before t has at most the version that is in force here.  It comes
 * from the platform or from another host, always as the answer to a question,
 * and counts from when the question was asked:
 *  - The platform's answers of no age hold all that was accepted before they
 *    were asked for.  What a waiting watch has shown since then counts for
 *    nothing: it may have gone deaf.
 *  - A host that is asked says how old its own proof is.  Its answer was made
 *    after the question, so the proof's time is at least that of the question
 *    less this age, however long the answer was on its way, lay in a buffer or
 *    waited for a host that was frozen.
 * No number of hosts in between makes a proof younger, and none can come back
 * younger to where it came from.
 *
 * The arithmetic: a request that is taken at a was sent at s <= a.  It is
 * taken only if a - t < bound.  Had its key been taken away by a version that
 * was accepted at c < s - bound, then c < a - bound < t, and that version is
 * in force here.  The clock counts the time for which a host is suspended; a
 * hundredth of the bound is left for clocks that run unevenly.  What waits in
 * a queue or is tried again was sent before it was taken, so the bound holds
 * without another look.
 */
#ifndef POLICY_ACCESS_FRESHNESS_H
#define POLICY_ACCESS_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/** The age of a proof when there is none. */
#define FRESHNESS_AGE_UNKNOWN_MS UINT32_MAX

/** "Every configuration accepted before this time has at most this
 * version." */
struct freshness_proof
{
  uint64_t version;
  int64_t time_ms; /**< on this host's clock */
};

struct freshness
{
  uint64_t version; /**< in force here; 0: none */
  int64_t time_ms;  /**< the proof of it; INT64_MIN: none */
  /** Names a version that isn't in force yet; its time counts once it is. */
  struct freshness_proof pending_proof;
};

void freshness_init (struct freshness *freshness);

/** Take in PROOF.
 * @return whether the host's own became younger */
bool freshness_add_proof (struct freshness *freshness,
                          const struct freshness_proof *proof);

/** VERSION is in force from now on. */
void freshness_set_version_in_force (struct freshness *freshness,
                                     uint64_t version);

/** The proof that may be told to others. */
struct freshness_proof freshness_get_proof (const struct freshness *freshness);

/** How old the proof is, or FRESHNESS_AGE_UNKNOWN_MS. */
uint32_t freshness_age_ms (const struct freshness *freshness, int64_t now_ms);

/** May a key be judged at NOW_MS, where one that was taken away must not be
 * taken for longer than BOUND_MS? */
bool freshness_is_within_bound (const struct freshness *freshness,
                                int64_t now_ms, uint32_t bound_ms);

#endif
