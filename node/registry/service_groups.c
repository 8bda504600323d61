#include "node/registry/service_groups.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/xmalloc.h"

/* A service that a host name leads to. */
struct group_name
{
  const char *host;
  size_t service;
  UT_hash_handle hh;
};

static size_t
root_of (const size_t *groups, size_t service)
{
  while (groups[service] != service)
    service = groups[service];
  return service;
}

static void
join (const struct fleet_config *config, size_t *groups, size_t a, size_t b)
{
  a = root_of (groups, a);
  b = root_of (groups, b);
  if (a == b)
    return;
  const bool a_first
      = strcmp (config->services[a].name, config->services[b].name) < 0;
  groups[a_first ? b : a] = a_first ? a : b;
}

static size_t
index_of (const struct fleet_config *config, const char *service)
{
  const struct fleet_service *found = fleet_config_service (config, service);
  return (size_t)(found - config->services);
}

static void
join_route (const struct fleet_config *config, size_t *groups,
            const struct fleet_route *route, struct group_name **names)
{
  struct group_name *name;
  HASH_FIND_STR (*names, route->spec.host, name);
  if (name == NULL)
    {
      name = xcalloc (1, sizeof *name);
      name->host = route->spec.host;
      name->service = index_of (config, route->parts[0].service);
      HASH_ADD_KEYPTR (hh, *names, name->host, strlen (name->host), name);
    }
  for (size_t i = 0; i < route->part_count; i++)
    join (config, groups, name->service,
          index_of (config, route->parts[i].service));
}

void
service_groups_find (const struct fleet_config *config, size_t *groups)
{
  struct group_name *names = NULL;
  for (size_t i = 0; i < config->service_count; i++)
    groups[i] = i;
  for (size_t i = 0; i < config->route_count; i++)
    join_route (config, groups, &config->routes[i], &names);
  for (size_t i = 0; i < config->service_count; i++)
    groups[i] = root_of (groups, i);
  struct group_name *name = names;
  HASH_CLEAR (hh, names);
  while (name != NULL)
    {
      struct group_name *next = name->hh.next;
      free (name);
      name = next;
    }
}
