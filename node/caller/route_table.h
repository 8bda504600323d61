/** @file
 * Matches requests to routes and their services.
 *
 * A route matches if its host is empty or equals the request's, its prefix is
 * the path or a leading part of it that ends at a `/`, and its methods include
 * the request's.  The longest prefix wins.  Between equal prefixes, a route
 * with a host takes precedence over one without, one with methods over one for
 * any method, and an unrepeatable one over a repeatable one.  Then the
 * service's name decides, so that all hosts agree.
 */
#ifndef NODE_CALLER_ROUTE_TABLE_H
#define NODE_CALLER_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"
#include "wire/fleet_config.h"
#include "wire/service_spec.h"

/** A route in force. */
struct route
{
  char service[SERVICE_NAME_SIZE]; /**< its service; "" if configured */
  struct route_spec spec;
  struct route *next; /**< of the same host and prefix, less specific */

  /** Of a configured route; otherwise 0, and the service's limits apply. */
  uint32_t timeout_ms;
  uint32_t attempts;
  uint32_t latency_goal_ms;
  uint32_t priority;
  bool is_open;             /**< requests need no key */
  struct route_part *parts; /**< NULL: all requests go to `service` */
  int64_t *current_weights; /**< of the parts; see route_select_service() */
  size_t part_count;
};

struct route_table;

struct route_table *route_table_create (void);
void route_table_destroy (struct route_table *table);

/** Replace the routes of SPEC's service.  Pointers from route_table_match()
 * become invalid. */
void route_table_set_service (struct route_table *table,
                              const struct service_spec *spec);
void route_table_remove_service (struct route_table *table,
                                 const char *service);

/** Replace all configured routes by those of CONFIG.  SEED, which differs
 * between hosts, makes them start with different parts of a route. */
void route_table_set_config (struct route_table *table,
                             const struct fleet_config *config, uint64_t seed);

/** The service that gets the next request of ROUTE, by smooth weighted
 * round-robin: each part of a route gets its share even of a few consecutive
 * requests, not only on average. */
const char *route_select_service (const struct route *route);

/** Whether requests of ROUTE may go to SERVICE. */
bool route_has_service (const struct route *route, const char *service);

/** Whether the configured routes that lead to SERVICE differ in priority,
 * latency goal, timeout or repeatability. */
bool route_table_routes_differ (const struct route_table *table,
                                const char *service);

/** A service that requests to HOST may be routed to, or NULL: for callers that
 * request addresses by the host name of their requests. */
const char *route_table_find_service_by_host (const struct route_table *table,
                                              const char *host);

/** The bit of METHOD in `enum route_method`; 0 if it has none, so that only a
 * route for any method matches it. */
uint32_t route_method_bit (const char *method);

/** The route of a request, or NULL.
 * @param host of the request, without the port, in lower case
 * @param path as from route_path_normalise() */
const struct route *route_table_match (const struct route_table *table,
                                       const char *host, const char *path,
                                       uint32_t method);

/** Normalize the path of URI, without its query, for matching: decode the
 * percent-encoding of unreserved characters and merge repeated `/`.  Without
 * it, a request with another spelling of its path could reach the target of
 * an unrepeatable route through a repeatable one.
 * @return STATUS_INVALID for dot segments and encoded separators, since their
 * meaning depends on the target
 * @param path buffer of SIZE bytes */
enum status route_path_normalise (const char *uri, char *path, size_t size);

/** The rows of the operator table "routes". */
struct json_object *route_table_rows (const struct route_table *table);

#endif
