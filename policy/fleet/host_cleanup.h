/** @file
 * Decides which host removes the record of a host that is gone permanently,
 * and when.
 *
 * No I/O; time is passed in as milliseconds since boot.
 */
#ifndef POLICY_FLEET_HOST_CLEANUP_H
#define POLICY_FLEET_HOST_CLEANUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** Return whether SELF is the relay that ranks first for SUBJECT among
 * RELAYS, a choice from HOSTS.  Hosts with different views of the fleet may
 * both be responsible, so the removal must be conditional. */
bool host_cleanup_is_responsible (uint64_t subject, uint64_t self,
                                  const struct fleet_host *hosts,
                                  const struct fleet_choice *relays);

/** Return whether a host has been gone since GONE_MS (0: it isn't gone) for
 * AFTER_MS. */
bool host_cleanup_is_due (int64_t now_ms, int64_t gone_ms, uint32_t after_ms);

/** Return whether more than half of LISTED hosts are LIVE. */
bool host_cleanup_is_majority (size_t live, size_t listed);

#endif
