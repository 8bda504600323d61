#include "node/host_settings.h"

#include <string.h>

static bool
is_same_address_list (const char (*a)[HOST_ADDRESS_SIZE], size_t a_count,
                      const char (*b)[HOST_ADDRESS_SIZE], size_t b_count)
{
  if (a_count != b_count)
    return false;
  for (size_t i = 0; i < a_count; i++)
    if (strcmp (a[i], b[i]) != 0)
      return false;
  return true;
}

static bool
have_same_strings (const struct host_settings *a,
                   const struct host_settings *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->dc, b->dc) == 0
         && strcmp (a->caller_address, b->caller_address) == 0
         && strcmp (a->peer_address, b->peer_address) == 0
         && strcmp (a->operator_address, b->operator_address) == 0
         && strcmp (a->directory_address, b->directory_address) == 0
         && strcmp (a->readiness_address, b->readiness_address) == 0
         && strcmp (a->interface, b->interface) == 0
         && strcmp (a->platform_terms, b->platform_terms) == 0
         && strcmp (a->caller_advertised, b->caller_advertised) == 0
         && strcmp (a->peer_advertised, b->peer_advertised) == 0
         && strcmp (a->operator_advertised, b->operator_advertised) == 0
         && strcmp (a->platform_file, b->platform_file) == 0
         && strcmp (a->secret_file, b->secret_file) == 0;
}

/* Without padding, memcmp() compares the values. */
_Static_assert(sizeof (struct caller_limits) == 9 * sizeof (uint32_t),
               "caller_limits has padding: compare its members");
_Static_assert(sizeof (struct fleet_modes) == 4 * sizeof (bool),
               "fleet_modes has padding: compare its members");
_Static_assert(sizeof (struct access_settings) == 4 * sizeof (uint32_t),
               "access_settings has padding: compare its members");
_Static_assert(sizeof (struct poison_settings) == 3 * sizeof (uint32_t),
               "poison_settings has padding: compare its members");
_Static_assert(sizeof (struct retry_settings) == 4 * sizeof (uint32_t),
               "retry_settings has padding: compare its members");
_Static_assert(sizeof (struct admission_settings) == 2 * sizeof (bool),
               "admission_settings has padding: compare its members");
_Static_assert(sizeof (struct placement_settings) == 2 * sizeof (bool),
               "placement_settings has padding: compare its members");
_Static_assert(sizeof (struct control_times) == 15 * sizeof (uint32_t),
               "control_times has padding: compare its members");

static bool
have_same_numbers (const struct host_settings *a,
                   const struct host_settings *b)
{
  return a->set_hosts_per_dc == b->set_hosts_per_dc
         && a->resources.cpu_percent == b->resources.cpu_percent
         && a->resources.link_mbps == b->resources.link_mbps
         && a->resources.memory_mb == b->resources.memory_mb
         && a->resources.files == b->resources.files
         && a->relays_per_dc == b->relays_per_dc
         && memcmp (&a->modes, &b->modes, sizeof a->modes) == 0
         && memcmp (&a->poison, &b->poison, sizeof a->poison) == 0
         && memcmp (&a->retry, &b->retry, sizeof a->retry) == 0
         && memcmp (&a->admission, &b->admission, sizeof a->admission) == 0
         && memcmp (&a->placement, &b->placement, sizeof a->placement) == 0
         && memcmp (&a->access, &b->access, sizeof a->access) == 0
         && memcmp (&a->limits, &b->limits, sizeof a->limits) == 0
         && memcmp (&a->times, &b->times, sizeof a->times) == 0;
}

bool
host_settings_need_restart (const struct host_settings *old,
                            const struct host_settings *new_settings)
{
  return !have_same_strings (old, new_settings)
         || !have_same_numbers (old, new_settings)
         || !is_same_address_list (old->platform_addresses,
                                   old->platform_address_count,
                                   new_settings->platform_addresses,
                                   new_settings->platform_address_count)
         || !is_same_address_list (old->peer_seeds, old->peer_seed_count,
                                   new_settings->peer_seeds,
                                   new_settings->peer_seed_count);
}
