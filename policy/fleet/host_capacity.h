/** @file
 * Capacity of a host, and the preference of high-capacity hosts.
 */
#ifndef POLICY_FLEET_HOST_CAPACITY_H
#define POLICY_FLEET_HOST_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** Resources of a host; 0 if not configured. */
struct host_resources
{
  uint32_t cpu_percent; /**< of one core of typical speed; 50 is half a core */
  uint32_t link_mbps;
  uint32_t memory_mb; /**< available to its process */
  uint32_t files;     /**< maximum number of open descriptors of its process */
};

enum
{
  /** Capacity of a host whose resources are not known. */
  HOST_CAPACITY_UNKNOWN = 1,
};

/** Return the requests a second that a host with RESOURCES can serve, which
 * is above HOST_CAPACITY_UNKNOWN, or HOST_CAPACITY_UNKNOWN if its resources
 * aren't known. */
uint32_t host_capacity (const struct host_resources *resources);

/** Prefer the high-capacity hosts of data centres in which few hosts have
 * much more capacity than the others: the others are chosen only if none of
 * them is left.  This applies where they can serve RATE requests a second
 * together, or have a large share of the total capacity; elsewhere weights
 * are unchanged.  RATE 0: the required rate isn't known. */
void host_capacity_prefer_strong (struct fleet_host *hosts, size_t count,
                                  uint64_t rate);

#endif
