/** @file
 * A workspace of the fleet's configuration: the keys that its requests carry,
 * and its quota.
 *
 * JSON shape, an element of the configuration's `workspaces`:
 *
 *     { "name": "june-weddings",
 *       "keys": [ "SHA-256 of a key, as 64 hexadecimal digits" ],
 *       "rate_per_s": 162.0, "burst": 162, "priority": 0 }
 *
 * The keys themselves aren't stored, so that read access to the configuration
 * doesn't allow requests in the name of the workspace.  Several keys may be
 * valid at the same time, so that a key can be rotated while both the old and
 * the new one are in use.
 */
#ifndef WIRE_FLEET_WORKSPACE_H
#define WIRE_FLEET_WORKSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/digest.h"
#include "base/options.h"
#include "wire/service_spec.h"

enum
{
  WORKSPACE_KEYS_MAX = 64,
  /** Units of `rate_millis` in one request per second. */
  WORKSPACE_RATE_SCALE = 1000,
};

/** Request quota of a workspace, summed over all hosts. */
struct quota
{
  /** Thousandths of a request per second; 0: no limit. */
  uint64_t rate_millis;
  uint32_t burst; /**< requests beyond the rate, when the bucket is full */
};

struct fleet_workspace
{
  char name[SERVICE_NAME_SIZE];
  struct digest *keys;
  size_t key_count;
  struct quota quota;
  bool has_priority;
  uint32_t priority; /**< overrides the priority of the route */
};

/** Read an element of `workspaces`. */
void fleet_workspace_read (struct options *options,
                           struct fleet_workspace *workspace);

/** Format WORKSPACE as JSON, which reads as an equal workspace. */
struct json_object *
fleet_workspace_format (const struct fleet_workspace *workspace);

/** Make a deep copy of WORKSPACE in COPY. */
void fleet_workspace_copy (struct fleet_workspace *copy,
                           const struct fleet_workspace *workspace);
void fleet_workspace_release (struct fleet_workspace *workspace);

#endif
