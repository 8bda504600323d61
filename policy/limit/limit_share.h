/** @file
 * Divides a target's rate limit, which applies to all hosts together, among
 * the hosts that serve its service.
 *
 * Requirement: in any window of W = 4 seconds, a target with a limit of L
 * requests a second receives at most 1.5 * L * W + 5 requests from the hosts
 * that know the limit.
 *
 * All hosts compute the same rendezvous order of the hosts of the service's
 * set (rendezvous.h).  The first m = max (1, floor (L / 2)) of them, or all if
 * there are fewer, send to the target; the others don't.  Each sender has a
 * token bucket with a rate of r = 0.95 * L / m requests a second and a
 * capacity of 2 + 0.2 s * r, so together they send at most
 *
 *     0.95 * L * (W + 0.2) + 2 * m
 *
 * requests.  For W = 4 that is at most 4.99 * L + 2, below the bound of
 * 6 * L + 5.  It is twice as many while two hosts see sets for the service
 * that have no host in common.
 *
 * Equal shares of L / n for all n hosts don't work: if each of 32 hosts
 * accumulates one token, a target with L = 1 receives 32 requests at once; if
 * hosts accumulate none, those that receive fewer requests than their share
 * leave it unused.
 */
#ifndef POLICY_LIMIT_LIMIT_SHARE_H
#define POLICY_LIMIT_LIMIT_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

enum
{
  /** Rates are in thousandths of a request a second. */
  LIMIT_MILLIS_PER_REQUEST = 1000,
  LIMIT_MILLIS_MAX = 1000 * 1000 * 1000,
  LIMIT_USED_PERCENT = 95, /**< of a limit, divided among the senders */
};

/** Capacity of the token bucket of a sender with a rate of RATE_MILLIS. */
static inline double
limit_burst (uint32_t rate_millis)
{
  return 2 + 0.2 * rate_millis / LIMIT_MILLIS_PER_REQUEST;
}

/** Return the share of a limit of LIMIT_MILLIS that the host with key OWN
 * may use for TARGET.  HOSTS are the COUNT hosts of the service's set; if
 * it is empty, OWN is the only sender.
 * @return the rate in thousandths of a request a second; 0 if OWN must not
 * send to TARGET */
uint32_t limit_share (uint32_t limit_millis, uint64_t target, uint64_t own,
                      const struct fleet_host *hosts, size_t count);

#endif
