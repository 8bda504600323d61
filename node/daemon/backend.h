/** @file
 * Carries out operators' commands on this host: writes at the platform,
 * commands to the ejection task, and queries to the hosts of a service's set.
 */
#ifndef NODE_DAEMON_BACKEND_H
#define NODE_DAEMON_BACKEND_H

#include <stdbool.h>

#include <ev.h>

#include "node/operator/operator_backend.h"

struct control_task;
struct ejection_task;
struct platform;

/** The dependencies of the backend, all of which must outlive it. */
struct backend_options
{
  struct ev_loop *loop;
  struct platform *platform;
  struct control_task *control;
  struct ejection_task *ejection; /**< NULL: ejection is off */
  /** Clear a request that crashed targets; false if this host has no state for
   * it. */
  bool (*clear_poison) (void *owner, const struct fingerprint *fingerprint);
  void *clear_poison_owner;
  bool has_registry; /**< services are derived, not objects of their own */
};

struct operator_backend *
backend_create (const struct backend_options *options);
/** Cancels pending commands without calling back. */
void backend_destroy (struct operator_backend *backend);

#endif
