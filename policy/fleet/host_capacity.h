/** @file
 * How much a host can carry, and whom that makes first choice.
 */
#ifndef POLICY_FLEET_HOST_CAPACITY_H
#define POLICY_FLEET_HOST_CAPACITY_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** What a host has; 0 where its settings don't say. */
struct host_resources
{
  uint32_t cpu_percent; /**< of one core of usual speed; 50 is half a core */
  uint32_t link_mbps;
  uint32_t memory_mb; /**< that its process may use */
  uint32_t files;     /**< descriptors that its process may have open */
};

enum
{
  /** Strength of a host whose resources nobody told. */
  HOST_CAPACITY_UNKNOWN = 1,
};

/** Requests a second that a host with RESOURCES can carry, above
 * HOST_CAPACITY_UNKNOWN; or that, when nothing is known of it. */
uint32_t host_capacity (const struct host_resources *resources);

/** In data centres where few hosts are much stronger than the others, make
 * them first choice: the others are chosen when none of them is left.  That is
 * so where the strong ones carry RATE requests a second together, or hold a
 * good part of all strength; else weights stay.  RATE 0: it isn't known what
 * they must carry. */
void host_capacity_prefer_strong (struct fleet_host *hosts, size_t count,
                                  uint64_t rate);

#endif
