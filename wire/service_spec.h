/** @file
 * A service as declared by operators: the value of a `service` object.
 *
 * JSON shape (comments allowed; every member but `name` and `targets` has a
 * default, see service_spec_defaults()):
 *
 *     { "name": "holds",
 *       "write_id": "",                      // of the last write
 *       "prefer": "fewer-false-ejections",   // or "faster-detection"
 *       "ejection": "automatic",             // or "paused"
 *       "floor_capacity": 24,                // minimum healthy capacity
 *       "targets": [ { "name": "holds-1", "address": "127.0.0.1:9001",
 *                      "dc": "north-a", "slots": 4, "capacity": 4,
 *                      "connections": 200, "state": "active" } ],
 *       "routes": [ { "host": "", "path_prefix": "/holds",
 *                     "methods": ["POST"], "repeatable": false } ],
 *       "limits": { "queue_requests": 64, "queue_bytes": 1048576,
 *                   "body_bytes": 1048576, "timeout_ms": 10000,
 *                   "connect_timeout_ms": 1000, "retry_percent": 10,
 *                   "attempts": 3, "goal_ms": 0 } }
 */
#ifndef WIRE_SERVICE_SPEC_H
#define WIRE_SERVICE_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#define SERVICE_NAME_SIZE 64
#define SERVICE_ADDRESS_SIZE 56
#define SERVICE_PATH_SIZE 256
#define SERVICE_TARGETS_MAX 1024
#define SERVICE_ROUTES_MAX 1024
#define SERVICE_WRITE_ID_SIZE 40

/** Which kind of ejection error is worse for this service. */
enum service_prefer
{
  SERVICE_PREFER_FEWER_FALSE_EJECTIONS,
  SERVICE_PREFER_FASTER_DETECTION
};

/** Administrative state of a target. */
enum target_state
{
  TARGET_STATE_ACTIVE,
  TARGET_STATE_DRAINED /**< finishes its requests, gets no new ones */
};

/** A target of a service. */
struct target_spec
{
  char name[SERVICE_NAME_SIZE];
  char address[SERVICE_ADDRESS_SIZE]; /**< IP:PORT */
  char dc[SERVICE_NAME_SIZE];
  uint32_t slots;       /**< maximum concurrent requests */
  uint32_t capacity;    /**< contribution to the floor; defaults to its
                             slots */
  uint32_t connections; /**< maximum open connections */
  int32_t warm_up_ms;   /**< remaining warm-up time that it reports; -1: it
                             doesn't */
  enum target_state state;
  /** Start time of its process; 0: unknown.  A different value means a new
   * process, for which earlier observations don't hold. */
  int64_t started_ms;
};

/** Methods of a route, as a bit mask; 0 means any. */
enum route_method
{
  ROUTE_METHOD_GET = 1,
  ROUTE_METHOD_HEAD = 2,
  ROUTE_METHOD_POST = 4,
  ROUTE_METHOD_PUT = 8,
  ROUTE_METHOD_DELETE = 16,
  ROUTE_METHOD_PATCH = 32,
  ROUTE_METHOD_OPTIONS = 64
};

/** Which requests go to the service, and whether they may run more than
 * once. */
struct route_spec
{
  char host[SERVICE_NAME_SIZE]; /**< Host header without port; "": any */
  char path_prefix[SERVICE_PATH_SIZE];
  uint32_t methods; /**< bits of enum route_method */
  /** Defaults to true for routes with only GET, HEAD and OPTIONS, else to
   * false. */
  bool repeatable;
};

/** Limits of a service at one host. */
struct service_limits
{
  uint32_t queue_requests;
  uint32_t queue_bytes;
  uint32_t body_bytes;
  uint32_t timeout_ms;         /**< if the caller sets no deadline */
  uint32_t connect_timeout_ms; /**< to a target */
  uint32_t retry_percent;      /**< retries per 100 recent requests */
  uint32_t attempts;           /**< maximum attempts per request */
  uint32_t goal_ms; /**< a later response is worth less; 0: not set */
};

/** A service as it is in force. */
struct service_spec
{
  char name[SERVICE_NAME_SIZE];
  uint64_t version; /**< of the platform's object */
  /** Services of one group are served by the same set of hosts; "": the
   * service is a group by itself. */
  char group[SERVICE_NAME_SIZE];
  /** New for each write, so that a writer whose response was lost can read
   * back whether the write took effect; "": none. */
  char write_id[SERVICE_WRITE_ID_SIZE];
  enum service_prefer prefer;
  bool ejection_paused;
  uint32_t floor_capacity;
  struct service_limits limits;
  struct target_spec *targets;
  size_t target_count;
  struct route_spec *routes;
  size_t route_count;
};

/** Set *SPEC to a service without name, targets and routes, with default
 * values for everything else. */
void service_spec_defaults (struct service_spec *spec);

/** Parse and validate TEXT, named FILE in messages, into *SPEC, which must be
 * released with service_spec_destroy().  On failure the message names the
 * file, the position, what was expected and the remedy. */
enum status service_spec_parse (const char *file, const char *text,
                                uint64_t version, struct service_spec **spec);

/** Format SPEC as JSON text in new memory, which parses to an equal service.
 */
char *service_spec_format (const struct service_spec *spec);

struct service_spec *service_spec_copy (const struct service_spec *spec);
void service_spec_destroy (struct service_spec *spec);

/** The key of the process of TARGET of SERVICE, under which observations of it
 * are kept and exchanged.  Another process of the target has another key. */
uint64_t service_spec_target_key (const char *service,
                                  const struct target_spec *target);

/** Find the target NAME; NULL if there is none. */
const struct target_spec *service_spec_target (const struct service_spec *spec,
                                               const char *name);

#endif
