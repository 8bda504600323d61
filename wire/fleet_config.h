/** @file
 * The configuration of a fleet whose targets register themselves
 * (target_record.h), with one version: the value of the object
 * PLATFORM_CONFIG_NAME of kind `config`.
 *
 * JSON shape (comments allowed):
 *
 *     { "version": 12,
 *       "routes": [ { "name": "r-1", "host": "holds.example",
 *                     "path_prefix": "/holds/", "repeatable": false,
 *                     "timeout_ms": 4000, "latency_goal_ms": 1000,
 *                     "priority": 0, "attempts": 2, "open": false,
 *                     "parts": [ { "service": "holds", "weight": 90 },
 *                                { "service": "holds-next", "weight": 10 } ]
 *                   } ],
 *       "services": [ { "name": "holds", "health_path": "/health",
 *                       "connections": 330 } ],
 *       "limits": { "header_bytes": 16384, "body_bytes": 67108864,
 *                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
 *       "workspaces": [ (fleet_workspace.h) ] }
 *
 * If `workspaces` is present, even as an empty list, requests must carry a key
 * of one of them, unless their route is open.
 */
#ifndef WIRE_FLEET_CONFIG_H
#define WIRE_FLEET_CONFIG_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/fleet_workspace.h"
#include "wire/service_spec.h"

#define FLEET_ROUTES_MAX 16384
#define FLEET_SERVICES_MAX 4096
#define FLEET_WORKSPACES_MAX 65536
#define ROUTE_PARTS_MAX 16

/** A service that a route sends a share of its requests to. */
struct route_part
{
  char service[SERVICE_NAME_SIZE];
  uint32_t weight; /**< its share is weight / sum of all parts' weights */
};

/** A route and the limits of its requests. */
struct fleet_route
{
  char name[SERVICE_NAME_SIZE];
  struct route_spec spec;
  uint32_t timeout_ms;      /**< maximum time until the final response */
  uint32_t latency_goal_ms; /**< a later response is worth less */
  uint32_t priority;        /**< 0 is the highest */
  uint32_t attempts;        /**< maximum attempts per request */
  bool is_open;             /**< requests need no key */
  struct route_part *parts; /**< at least one */
  size_t part_count;
};

struct fleet_service
{
  char name[SERVICE_NAME_SIZE];
  char health_path[SERVICE_PATH_SIZE];
  uint32_t connections; /**< maximum to one target, summed over all hosts */
};

/** Limits on what callers send. */
struct fleet_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  uint32_t header_timeout_ms; /**< for a complete request head, from its first
                                   byte */
  uint32_t idle_timeout_ms;   /**< for a connection without a request */
};

struct fleet_config
{
  uint64_t version;
  struct fleet_route *routes;
  size_t route_count;
  struct fleet_service *services;
  size_t service_count;
  struct fleet_limits limits;
  bool has_workspaces; /**< requests must carry keys */
  struct fleet_workspace *workspaces;
  size_t workspace_count;
};

/** Parse and validate TEXT, named FILE in messages, into *CONFIG, which must
 * be released with fleet_config_destroy(). */
enum status fleet_config_parse (const char *file, const char *text,
                                struct fleet_config **config);

/** Format CONFIG as JSON text in new memory, which parses to an equal
 * configuration. */
char *fleet_config_format (const struct fleet_config *config);

struct fleet_config *fleet_config_copy (const struct fleet_config *config);
void fleet_config_destroy (struct fleet_config *config);

/** Find the service NAME; NULL if there is none. */
const struct fleet_service *
fleet_config_service (const struct fleet_config *config, const char *name);

#endif
