#include "node/registry/service_groups.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/xmalloc.h"

/* The first service that a host name routes to. */
struct host_entry
{
  const char *host;
  size_t service;
  UT_hash_handle hh;
};

static size_t
find_root (const size_t *groups, size_t service)
{
  while (groups[service] != service)
    service = groups[service];
  return service;
}

static void
merge_groups (const struct fleet_config *config, size_t *groups, size_t a,
              size_t b)
{
  a = find_root (groups, a);
  b = find_root (groups, b);
  if (a == b)
    return;
  const bool a_first
      = strcmp (config->services[a].name, config->services[b].name) < 0;
  groups[a_first ? b : a] = a_first ? a : b;
}

static size_t
service_index (const struct fleet_config *config, const char *service)
{
  const struct fleet_service *found = fleet_config_service (config, service);
  return (size_t)(found - config->services);
}

static void
merge_route (const struct fleet_config *config, size_t *groups,
             const struct fleet_route *route, struct host_entry **entries)
{
  struct host_entry *entry;
  HASH_FIND_STR (*entries, route->spec.host, entry);
  if (entry == NULL)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->host = route->spec.host;
      entry->service = service_index (config, route->parts[0].service);
      HASH_ADD_KEYPTR (hh, *entries, entry->host, strlen (entry->host), entry);
    }
  for (size_t i = 0; i < route->part_count; i++)
    merge_groups (config, groups, entry->service,
                  service_index (config, route->parts[i].service));
}

void
service_groups_find (const struct fleet_config *config, size_t *groups)
{
  struct host_entry *entries = NULL;
  for (size_t i = 0; i < config->service_count; i++)
    groups[i] = i;
  for (size_t i = 0; i < config->route_count; i++)
    merge_route (config, groups, &config->routes[i], &entries);
  for (size_t i = 0; i < config->service_count; i++)
    groups[i] = find_root (groups, i);
  struct host_entry *entry = entries;
  HASH_CLEAR (hh, entries);
  while (entry != NULL)
    {
      struct host_entry *next = entry->hh.next;
      free (entry);
      entry = next;
    }
}
