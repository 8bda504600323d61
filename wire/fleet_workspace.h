/** @file
 * A workspace of the fleet's configuration: who may send requests that bear
 * its keys, and how many.
 *
 * JSON shape, an element of the configuration's `workspaces`:
 *
 *     { "name": "june-weddings",
 *       "keys": [ "SHA-256 of a key, as 64 hexadecimal digits" ],
 *       "rate_per_s": 162.0, "burst": 162, "priority": 0 }
 *
 * A key itself stands nowhere: whoever reads the configuration can't send
 * requests for the workspace.  Several keys are good at once, so that one
 * takes the other's place while both are in use.
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
  /** Thousandths of a request a second in one. */
  WORKSPACE_RATE_SCALE = 1000,
};

/** How many requests a workspace may send, over all hosts together. */
struct quota
{
  uint64_t rate_millis; /**< thousandths of a request a second; 0: no limit */
  uint32_t burst;       /**< requests beyond the rate, once saved up */
};

struct fleet_workspace
{
  char name[SERVICE_NAME_SIZE];
  struct digest *keys;
  size_t key_count;
  struct quota quota;
  bool has_priority;
  uint32_t priority; /**< goes before that of a route */
};

/** Read one element of `workspaces`. */
void fleet_workspace_read (struct options *options,
                           struct fleet_workspace *workspace);

/** The JSON of WORKSPACE, which reads as an equal one. */
struct json_object *
fleet_workspace_format (const struct fleet_workspace *workspace);

/** Make COPY equal to WORKSPACE, with memory of its own. */
void fleet_workspace_copy (struct fleet_workspace *copy,
                           const struct fleet_workspace *workspace);
void fleet_workspace_release (struct fleet_workspace *workspace);

#endif
