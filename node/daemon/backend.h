/** @file
 * How this host carries out operators' commands: writes at the platform,
 * the ejection task, and questions to the hosts of a service's set.
 */
#ifndef NODE_DAEMON_BACKEND_H
#define NODE_DAEMON_BACKEND_H

#include <stdbool.h>

#include <ev.h>

#include "node/operator/operator_backend.h"

struct control_task;
struct ejection_task;
struct platform;

/** What the backend stands on; all of it outlives the backend. */
struct backend_options
{
  struct ev_loop *loop;
  struct platform *platform;
  struct control_task *control;
  struct ejection_task *ejection; /**< NULL: ejection is off */
  /** Clear a request that crashed targets; false if it is unknown. */
  bool (*clear_poison) (void *owner, const struct fingerprint *fingerprint);
  void *clear_poison_owner;
  bool has_registry; /**< services aren't objects of their own */
};

struct operator_backend *
backend_create (const struct backend_options *options);
/** Commands under way are given up without calling back. */
void backend_destroy (struct operator_backend *backend);

#endif
