/** @file
 * A host as used for placement.
 */
#ifndef POLICY_FLEET_FLEET_HOST_H
#define POLICY_FLEET_FLEET_HOST_H

#include <stdint.h>

/** Maximum number of data centres in a fleet. */
#define FLEET_DCS_MAX 32
/** Maximum number of hosts chosen per data centre.  With more hosts, each
 * would receive too few of a service's requests to know its targets. */
#define FLEET_HOSTS_PER_DC_MAX 32

struct fleet_host
{
  uint64_t key;    /**< hash_string() of its name */
  uint64_t dc;     /**< hash_string() of its data centre's name */
  uint32_t weight; /**< relative weight, at least 1 */
};

/** Hosts chosen from an array, by index, in order of rank. */
struct fleet_choice
{
  uint32_t hosts[FLEET_DCS_MAX * FLEET_HOSTS_PER_DC_MAX];
  uint32_t count;
};

#endif
