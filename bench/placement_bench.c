/** @file
 * Cost of choosing the host set of one service at the design size.
 * When a host joins or leaves, every host chooses for each service it knows.
 */
#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/fleet/host_set.h"

enum
{
  HOSTS_MAX = 3700,
  DCS_MAX = 10,
  PER_DC = 2,
  SERVICES = 200,
};

static struct fleet_host hosts[HOSTS_MAX];

static void
measure (size_t count, uint64_t dcs)
{
  struct fleet_choice choice;
  for (size_t i = 0; i < count; i++)
    hosts[i] = (struct fleet_host){ .key = hash_pair (1, i),
                                    .dc = hash_pair (2, i % dcs),
                                    .weight = 1 };
  const int64_t start_us = clock_now_us ();
  uint64_t chosen = 0;
  for (uint64_t i = 0; i < SERVICES; i++)
    {
      host_set_choose (hash_pair (3, i), hosts, count,
                       &(struct host_set_requirement){ .per_dc = PER_DC },
                       &choice);
      chosen += choice.count;
    }
  const int64_t elapsed_us = clock_now_us () - start_us;
  printf ("figure host_set_choose_us_%zu_hosts %.1f us\n", count,
          (double)elapsed_us / SERVICES);
  printf ("figure host_set_size_%zu_hosts %" PRIu64 " hosts\n", count,
          chosen / SERVICES);
}

int
main (void)
{
  measure (36, 3);
  measure (HOSTS_MAX, DCS_MAX);
  return 0;
}
