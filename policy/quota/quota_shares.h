/** @file
 * The shares of all quotas that this host may currently use: its own, and
 * those leased to it by other hosts.  See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_SHARES_H
#define POLICY_QUOTA_QUOTA_SHARES_H

#include <stdbool.h>
#include <stdint.h>

struct quota_shares;

/** Create a set without leases.  The host's own share is usable from
 * OWN_FROM_MS on. */
struct quota_shares *quota_shares_create (int64_t now_ms, int64_t own_from_ms);
void quota_shares_destroy (struct quota_shares *shares);

/** Note a report that the fleet has HOSTS hosts.  The highest number
 * reported in the last minute counts, so that a host that knows few others
 * doesn't overestimate its share.  Until a number is known, no share is
 * usable. */
void quota_shares_note_host_count (struct quota_shares *shares, int64_t now_ms,
                                   uint32_t hosts);

/** Return the number of hosts that counts; 0: not known. */
uint32_t quota_shares_host_count (const struct quota_shares *shares);

/** Note that the host's own share is leased out until FROM_MS. */
void quota_shares_set_own_from (struct quota_shares *shares, int64_t now_ms,
                                int64_t from_ms);

/** Note that host LESSOR has leased its share to this host at AFTER_MS on
 * this host's clock or later, the time of the stamp that its message
 * echoes.  The time of arrival can't be used: the message may have been
 * delayed for longer than the lease term. */
void quota_shares_add_lease (struct quota_shares *shares, int64_t now_ms,
                             uint64_t lessor, int64_t after_ms);

/** Return the fraction of all quotas that is usable at NOW_MS, from 0 to 1. */
double quota_shares_fraction (struct quota_shares *shares, int64_t now_ms);

/** Return whether the fraction hasn't grown much recently.  Until then, the
 * current refill rate says little about the future rate. */
bool quota_shares_are_stable (struct quota_shares *shares, int64_t now_ms);

/** Return the integral over time of the usable fraction up to NOW_MS, in
 * seconds.  Never decreases. */
double quota_shares_integral_s (struct quota_shares *shares, int64_t now_ms);

#endif
