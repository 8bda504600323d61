/** @file
 * Which service and route a request belongs to.
 *
 * A route matches when its host is empty or equals the request's, its prefix
 * is the path or a leading part of it that ends at a `/`, and its methods
 * hold the request's.  The longest prefix wins; between equal ones a route
 * with a host goes before one without, one with methods before one for any,
 * an unrepeatable before a repeatable one, then the service's name decides,
 * so that all hosts agree.
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
  char service[SERVICE_NAME_SIZE]; /**< whose route; "" when configured */
  struct route_spec spec;
  struct route *next; /**< of the same host and prefix, less specific */

  /** Of a configured route; else 0, and the service's limits apply. */
  uint32_t timeout_ms;
  uint32_t attempts;
  uint32_t latency_goal_ms;
  uint32_t priority;
  bool is_open;             /**< requests need no key */
  struct route_part *parts; /**< NULL: all goes to `service` */
  int64_t *current_weights; /**< of each part, towards its next request */
  size_t part_count;
};

struct route_table;

struct route_table *route_table_create (void);
void route_table_destroy (struct route_table *table);

/** Replace the routes of SPEC's service.  Routes found before are gone. */
void route_table_set_service (struct route_table *table,
                              const struct service_spec *spec);
void route_table_remove_service (struct route_table *table,
                                 const char *service);

/** Replace all configured routes by those of CONFIG.  SEED makes hosts begin
 * at different parts of a route. */
void route_table_set_config (struct route_table *table,
                             const struct fleet_config *config, uint64_t seed);

/** The service that takes the next request of ROUTE: each part of a route
 * gets its share of any few requests, not only on average. */
const char *route_select_service (const struct route *route);

/** A service that requests to HOST may go to, or NULL: for callers that ask
 * for addresses by the name that their requests bear. */
const char *route_table_find_service_by_host (const struct route_table *table,
                                              const char *host);

/** The bit of METHOD in `enum route_method`; 0 for one that routes can't
 * name, which only a route for any method matches. */
uint32_t route_method_bit (const char *method);

/** The route of a request, or NULL.
 * @param host of the request, without port, in lower case
 * @param path as from route_path_normalise() */
const struct route *route_table_match (const struct route_table *table,
                                       const char *host, const char *path,
                                       uint32_t method);

/** The path of URI as routes see it, without its query: escapes of plain
 * characters undone, repeated `/` as one.  Guards against a request that
 * reaches an unrepeatable route's target by another spelling of its path and
 * so slips through a repeatable route: STATUS_INVALID for dot segments and
 * escaped separators, whose meaning is the target's to choose.
 * @param path room for SIZE bytes */
enum status route_path_normalise (const char *uri, char *path, size_t size);

/** Rows for operators: service, host, prefix, methods, repeatable. */
struct json_object *route_table_rows (const struct route_table *table);

#endif
