/** @file
 * Who removes the record of a host that is gone for good, and when.
 *
 * Pure: time is passed in as milliseconds since boot.
 */
#ifndef POLICY_FLEET_HOST_CLEANUP_H
#define POLICY_FLEET_HOST_CLEANUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** Is SELF the relay that ranks first for SUBJECT among RELAYS, a choice from
 * HOSTS?  Hosts whose beliefs differ may both say so: the removal must be
 * conditional. */
bool host_cleanup_is_responsible (uint64_t subject, uint64_t self,
                                  const struct fleet_host *hosts,
                                  const struct fleet_choice *relays);

/** Has a host been gone since GONE_MS (0: it isn't) for AFTER_MS? */
bool host_cleanup_is_due (int64_t now_ms, int64_t gone_ms, uint32_t after_ms);

/** Are more than half of LISTED hosts LIVE? */
bool host_cleanup_is_majority (size_t live, size_t listed);

#endif
