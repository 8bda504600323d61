/** @file
 * A host as placement sees it.
 */
#ifndef POLICY_FLEET_FLEET_HOST_H
#define POLICY_FLEET_FLEET_HOST_H

#include <stdint.h>

/** Most data centres a fleet spans. */
#define FLEET_DCS_MAX 32
/** Most hosts chosen per data centre: beyond it each would see too few of a
 * service's requests to know its targets. */
#define FLEET_HOSTS_PER_DC_MAX 32

struct fleet_host
{
  uint64_t key;    /**< hash_string() of its name */
  uint64_t dc;     /**< hash_string() of its data centre's name */
  uint32_t weight; /**< relative share, at least 1 */
};

/** Hosts chosen from an array, by index, best placed first. */
struct fleet_choice
{
  uint32_t hosts[FLEET_DCS_MAX * FLEET_HOSTS_PER_DC_MAX];
  uint32_t count;
};

#endif
