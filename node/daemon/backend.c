#include "node/daemon/backend.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/xmalloc.h"
#include "node/control/control_task.h"
#include "node/ejection/ejection_task.h"
#include "node/operator/service_command.h"

struct backend;

/** A pending change of a service. */
struct pending_change
{
  struct backend *backend;
  struct service_command *command;
  operator_result_done *done;
  void *owner;
  struct pending_change *prev, *next;
};

/** A pending query to the hosts of a set. */
struct pending_query
{
  struct backend *backend;
  operator_in_force_done *done;
  void *owner;
  struct pending_query *prev, *next;
};

struct backend
{
  struct operator_backend base; /* first */
  struct backend_options options;
  struct pending_change *changes;
  struct pending_query *queries;
};

static void
on_change_done (void *owner, const struct operator_result *result)
{
  struct pending_change *change = owner;
  DL_DELETE (change->backend->changes, change);
  change->done (change->owner, result);
  free (change);
}

static void
change_service (struct operator_backend *base,
                const struct operator_command *command,
                operator_result_done *done, void *owner)
{
  struct backend *backend = (struct backend *)base;
  const struct service_command_options options = {
    .loop = backend->options.loop,
    .platform = backend->options.platform,
  };
  if (backend->options.has_registry)
    {
      const struct operator_result refused
          = { .status = STATUS_REFUSED,
              .message = "services come from the fleet's configuration and "
                         "its targets: change them at the platform" };
      done (owner, &refused);
      return;
    }
  struct pending_change *change = xcalloc (1, sizeof *change);
  change->backend = backend;
  change->done = done;
  change->owner = owner;
  DL_PREPEND (backend->changes, change);
  change->command
      = service_command_start (&options, command, on_change_done, change);
}

static void
change_ejection (struct operator_backend *base,
                 const struct operator_command *command,
                 operator_result_done *done, void *owner)
{
  struct backend *backend = (struct backend *)base;
  if (backend->options.ejection == NULL)
    {
      const struct operator_result refused
          = { .status = STATUS_REFUSED,
              .message = "ejection is off in this host's settings: each host "
                         "avoids bad targets by itself" };
      done (owner, &refused);
      return;
    }
  ejection_task_command (backend->options.ejection, command, done, owner);
}

static bool
clear_poison (struct operator_backend *base,
              const struct operator_command *command)
{
  const struct backend_options *options = &((struct backend *)base)->options;
  return options->clear_poison (options->clear_poison_owner,
                                &command->fingerprint);
}

static void
on_query_done (void *owner, const struct control_in_force *result)
{
  struct pending_query *query = owner;
  const struct operator_in_force report = {
    .in_force = (uint32_t)result->in_force,
    .hosts = (uint32_t)result->queried,
    .not_heard_from = result->unanswered,
    .not_heard_from_count = result->unanswered_count,
  };
  DL_DELETE (query->backend->queries, query);
  query->done (query->owner, &report);
  free (query);
}

static void
query_in_force (struct operator_backend *base,
                const struct operator_command *command, uint64_t version,
                uint32_t within_ms, operator_in_force_done *done, void *owner)
{
  struct backend *backend = (struct backend *)base;
  struct pending_query *query = xcalloc (1, sizeof *query);
  query->backend = backend;
  query->done = done;
  query->owner = owner;
  DL_PREPEND (backend->queries, query);
  control_query_in_force (backend->options.control, command->service, version,
                          within_ms, on_query_done, query);
}

static int64_t
contact_age_ms (struct operator_backend *base)
{
  const struct backend *backend = (struct backend *)base;
  return control_contact_age_ms (backend->options.control);
}

static struct json_object *
not_heard_from (struct operator_backend *base)
{
  const struct backend *backend = (struct backend *)base;
  return control_unresponsive_hosts (backend->options.control);
}

static void
cancel_change (struct backend *backend, struct pending_change *change)
{
  DL_DELETE (backend->changes, change);
  service_command_cancel (change->command);
  free (change);
}

static void
cancel_query (struct backend *backend, struct pending_query *query)
{
  DL_DELETE (backend->queries, query);
  control_cancel_queries (backend->options.control, query);
  free (query);
}

static void
cancel (struct operator_backend *base, void *owner)
{
  struct backend *backend = (struct backend *)base;
  struct pending_change *change;
  struct pending_change *next_change;
  DL_FOREACH_SAFE (backend->changes, change, next_change)
  {
    if (change->owner == owner)
      cancel_change (backend, change);
  }
  struct pending_query *query;
  struct pending_query *next_query;
  DL_FOREACH_SAFE (backend->queries, query, next_query)
  {
    if (query->owner == owner)
      cancel_query (backend, query);
  }
  if (backend->options.ejection != NULL)
    ejection_task_cancel (backend->options.ejection, owner);
}

struct operator_backend *
backend_create (const struct backend_options *options)
{
  static const struct operator_backend_ops ops = {
    .change_service = change_service,
    .change_ejection = change_ejection,
    .clear_poison = clear_poison,
    .query_in_force = query_in_force,
    .contact_age_ms = contact_age_ms,
    .not_heard_from = not_heard_from,
    .cancel = cancel,
  };
  struct backend *backend = xcalloc (1, sizeof *backend);
  backend->base.ops = &ops;
  backend->options = *options;
  return &backend->base;
}

void
backend_destroy (struct operator_backend *base)
{
  if (base == NULL)
    return;
  struct backend *backend = (struct backend *)base;
  while (backend->changes != NULL)
    cancel_change (backend, backend->changes);
  while (backend->queries != NULL)
    cancel_query (backend, backend->queries);
  free (backend);
}
