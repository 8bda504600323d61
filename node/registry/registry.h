/** @file
 * Combines the platform's objects into the state in force, in a fleet whose
 * targets register themselves: one configuration for all hosts, and one record
 * for each target.
 *
 * Objects are accepted one by one.  The resulting changes are published after
 * a short delay, so that changes that arrive together are published together
 * and a configuration takes effect as a whole.  A configuration is never
 * replaced by an older one, whichever path that arrives by.
 */
#ifndef NODE_REGISTRY_REGISTRY_H
#define NODE_REGISTRY_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/status.h"
#include "wire/fleet_config.h"
#include "wire/service_spec.h"

struct registry;

/** Called from the event loop.  A service is published before the
 * configuration that routes to it, and removed after the configuration that
 * no longer does. */
struct registry_events
{
  void (*service) (void *owner, const struct service_spec *spec);
  void (*config) (void *owner, const struct fleet_config *config);
  void (*service_removed) (void *owner, const char *name, uint64_t version);
};

struct registry_options
{
  struct ev_loop *loop;
  const struct registry_events *events;
  void *owner;
  /** Defaults for every service; a configuration overrides them. */
  struct service_limits limits;
  enum service_prefer prefer;
};

struct registry *registry_create (const struct registry_options *options);
void registry_destroy (struct registry *registry);

/** Accept a configuration.
 * @return STATUS_INVALID if it can't be used, and the one in force stays;
 * STATUS_REFUSED if it isn't newer */
enum status registry_apply_config (struct registry *registry, const char *name,
                                   const char *text);

/** Accept the record of target NAME; a TEXT of NULL removes it. */
enum status registry_apply_target (struct registry *registry, const char *name,
                                   const char *text);

/** Publish nothing until registry_release(). */
void registry_hold (struct registry *registry);
/** Publish what has been applied since registry_hold(). */
void registry_release (struct registry *registry);

/** Publish what has been applied without waiting for the end of a burst. */
void registry_publish_pending (struct registry *registry);

/** The configuration in force, or NULL. */
const struct fleet_config *registry_config (const struct registry *registry);

/** Whether target NAME is known and accepts requests. */
bool registry_target_is_active (const struct registry *registry,
                                const char *name);

size_t registry_target_count (const struct registry *registry);

#endif
