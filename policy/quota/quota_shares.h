/** @file
 * The shares of all quotas that this host may use at a time: its own, and
 * those that others have lent it.  See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_SHARES_H
#define POLICY_QUOTA_QUOTA_SHARES_H

#include <stdbool.h>
#include <stdint.h>

struct quota_shares;

/** None yet; the own share is usable from OWN_FROM_MS on. */
struct quota_shares *quota_shares_create (int64_t now_ms, int64_t own_from_ms);
void quota_shares_destroy (struct quota_shares *shares);

/** Some host says that the fleet has HOSTS of them.  The highest number of the
 * last minute counts: who knows few must not think its share large.  Without
 * any, no share is usable. */
void quota_shares_note_host_count (struct quota_shares *shares, int64_t now_ms,
                                   uint32_t hosts);

/** The number of hosts that counts; 0: not known. */
uint32_t quota_shares_host_count (const struct quota_shares *shares);

/** The own share is lent until FROM_MS. */
void quota_shares_set_own_from (struct quota_shares *shares, int64_t now_ms,
                                int64_t from_ms);

/** Host LENDER has lent its share at AFTER_MS on this host's clock or later:
 * what it sent bears a stamp of that time.  When the message came says
 * nothing: it may have been on its way for longer than the loan lasts. */
void quota_shares_add_lease (struct quota_shares *shares, int64_t now_ms,
                             uint64_t lender, int64_t after_ms);

/** The part of all quotas that is usable at NOW_MS, 0 to 1. */
double quota_shares_fraction (struct quota_shares *shares, int64_t now_ms);

/** Has the part not grown much lately?  Until then, what it makes says little
 * of what it will make. */
bool quota_shares_are_stable (struct quota_shares *shares, int64_t now_ms);

/** Seconds for which all of a quota would have to be usable to make as much as
 * the parts that were usable up to NOW_MS: never falls. */
double quota_shares_integral_s (struct quota_shares *shares, int64_t now_ms);

#endif
