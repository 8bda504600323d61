/** @file
 * Puts together what is in force in a fleet whose targets register
 * themselves: one configuration for all, and a record from each target.
 *
 * Objects are taken in as they come; what follows from them is told a moment
 * later, so that changes that come together are told together, and a
 * configuration is in force whole.  A configuration never gives way to an
 * older one, whichever way that comes.
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

/** What is told, from the loop.  A service is told before the configuration
 * that routes to it, and its removal after the one that no longer does. */
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
  /** Limits of every service; what a configuration says replaces it. */
  struct service_limits limits;
  enum service_prefer prefer;
};

struct registry *registry_create (const struct registry_options *options);
void registry_destroy (struct registry *registry);

/** Take in a configuration.  STATUS_INVALID: it can't be used, what is in
 * force stays; STATUS_REFUSED: it isn't newer. */
enum status registry_apply_config (struct registry *registry, const char *name,
                                   const char *text);

/** Take in the record of target NAME; a TEXT of NULL removes it. */
enum status registry_apply_target (struct registry *registry, const char *name,
                                   const char *text);

/** The configuration in force, or NULL. */
const struct fleet_config *registry_config (const struct registry *registry);

/** Is target NAME known, and does it take work? */
bool registry_target_is_active (const struct registry *registry,
                                const char *name);

size_t registry_target_count (const struct registry *registry);

#endif
