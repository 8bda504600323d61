#define LOG_MODULE "host"

#include "node/daemon/host.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/bus.h"
#include "node/caller/caller_interface.h"
#include "node/caller/caller_task.h"
#include "node/control/control_task.h"
#include "node/control/incarnation.h"
#include "node/daemon/backend.h"
#include "node/ejection/control_ejection.h"
#include "node/ejection/ejection_task.h"
#include "node/operator/operator_task.h"
#include "node/plain_server.h"
#include "node/quota/control_quota.h"
#include "node/quota/quota_task.h"
#include "node/tables.h"
#include "platform/platform_adapter.h"
#include "wire/platform_file.h"
#include "wire/platform_http.h"

enum host_phase
{
  HOST_SERVING,
  HOST_LEAVING,
  HOST_ENDING, /* gave up waiting; last answers are being written */
  HOST_OVER,
};

/* Of the time to leave: for work in flight, and then for the last answers.
   What is left is for the end of the process, before it is killed. */
static const double WORK_SHARE = 0.85;
static const double LAST_ANSWERS_SHARE = 0.1;
static const double MS_PER_SECOND = 1000.0;

struct host
{
  struct ev_loop *loop;
  struct host_settings settings;
  struct counters *counters;
  struct tables *tables;
  struct bus *bus;
  struct platform *platform;
  struct caller_task *caller;
  struct control_task *control;
  struct control_ejection transport;
  struct ejection_task *ejection;
  struct control_quota quota_transport;
  struct quota_task *quota;
  struct operator_backend *backend;
  struct operator_task *operator_side;
  struct plain_server *readiness;
  enum host_phase phase;
  struct ev_timer leave_limit;
  host_done *done;
  void *done_owner;
};

/* NULL: the interface is jaystair's own. */
static const struct platform_adapter *
adapter_of (const struct host *host)
{
  const char *name = host->settings.interface;
  return name[0] != '\0' ? platform_adapter_find (name) : NULL;
}

static const struct caller_interface *
caller_names (const struct host *host)
{
  const struct platform_adapter *adapter = adapter_of (host);
  return adapter != NULL ? adapter->callers : &caller_interface_own;
}

static enum status
check_interface (const struct host *host)
{
  const char *name = host->settings.interface;
  if (name[0] == '\0' || adapter_of (host) != NULL)
    return STATUS_OK;
  return status_set (STATUS_INVALID,
                     "platform.interface: there is none called \"%s\"; leave "
                     "it out for jaystair's own, or name one of: %s",
                     name, platform_adapter_names ());
}

static enum status
create_platform (struct host *host)
{
  const struct host_settings *settings = &host->settings;
  if (settings->platform_file[0] != '\0')
    {
      const struct platform_file_options options
          = { .loop = host->loop, .path = settings->platform_file };
      return platform_file_create (&options, &host->platform);
    }
  const char *addresses[HOST_PLATFORM_ADDRESSES_MAX];
  for (size_t i = 0; i < settings->platform_address_count; i++)
    addresses[i] = settings->platform_addresses[i];
  const struct platform_http_options options = {
    .loop = host->loop,
    .addresses = addresses,
    .count = settings->platform_address_count,
    .timeout_ms = settings->times.platform_timeout_ms,
    .dialect = adapter_of (host) != NULL ? adapter_of (host)->store : NULL,
  };
  host->platform = platform_http_create (&options);
  return host->platform == NULL ? STATUS_INVALID : STATUS_OK;
}

static enum status
create_caller (struct host *host, uint64_t incarnation)
{
  const struct caller_task_options options = {
    .loop = host->loop,
    .bus = host->bus,
    .settings = &host->settings,
    .counters = host->counters,
    .tables = host->tables,
    .interface = caller_names (host),
    .incarnation = incarnation,
  };
  host->caller = caller_task_create (&options);
  return host->caller == NULL ? STATUS_SYSTEM : STATUS_OK;
}

static enum status
create_control (struct host *host, uint64_t incarnation)
{
  const struct control_task_options options = {
    .loop = host->loop,
    .bus = host->bus,
    .settings = &host->settings,
    .platform = host->platform,
    .counters = host->counters,
    .tables = host->tables,
    .incarnation = incarnation,
  };
  return control_task_create (&options, &host->control);
}

static uint32_t
demand_of (void *owner, const char *service)
{
  const struct host *host = owner;
  return caller_task_demand (host->caller, service);
}

static struct detection_recorder *
recorder_of (void *owner, const char *service)
{
  const struct host *host = owner;
  return caller_task_recorder (host->caller, service);
}

static void
create_ejection (struct host *host, uint64_t incarnation)
{
  control_ejection_init (&host->transport, host->control);
  const struct ejection_task_options options = {
    .loop = host->loop,
    .bus = host->bus,
    .settings = &host->settings,
    .platform = host->platform,
    .counters = host->counters,
    .tables = host->tables,
    .transport = &host->transport.base,
    .recorder = recorder_of,
    .demand = demand_of,
    .recorder_owner = host,
    .incarnation = incarnation,
  };
  host->ejection = ejection_task_create (&options);
  control_ejection_deliver (&host->transport, host->ejection);
}

static void
create_quota (struct host *host)
{
  control_quota_init (&host->quota_transport, host->control);
  const struct quota_task_options options = {
    .loop = host->loop,
    .bus = host->bus,
    .settings = &host->settings,
    .counters = host->counters,
    .tables = host->tables,
    .transport = &host->quota_transport.base,
  };
  host->quota = quota_task_create (&options);
  control_quota_deliver (&host->quota_transport, host->quota);
}

static bool
clear_poison (void *owner, const struct fingerprint *fingerprint)
{
  const struct host *host = owner;
  return caller_task_clear_poison (host->caller, fingerprint);
}

static enum status
create_operator (struct host *host)
{
  const struct backend_options backend = {
    .loop = host->loop,
    .platform = host->platform,
    .control = host->control,
    .ejection = host->ejection,
    .clear_poison = clear_poison,
    .clear_poison_owner = host,
    .has_registry = host->settings.modes.has_registry,
  };
  host->backend = backend_create (&backend);
  const struct operator_task_options options = {
    .loop = host->loop,
    .settings = &host->settings,
    .counters = host->counters,
    .tables = host->tables,
    .backend = host->backend,
  };
  return operator_task_create (&options, &host->operator_side);
}

static enum MHD_Result
on_readiness_question (void *owner, struct MHD_Connection *connection,
                       const char *path, const char *method)
{
  const struct host *host = owner;
  const struct caller_interface *names = caller_names (host);
  if (strcmp (path, names->readiness_path) != 0)
    return plain_server_respond (connection, MHD_HTTP_NOT_FOUND, "text/plain",
                                 "ask for readiness here\n");
  const bool is_ready = caller_task_is_ready (host->caller);
  return plain_server_respond (
      connection, is_ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
      "text/plain", is_ready ? "ready\n" : "not ready\n");
}

static enum status
create_readiness (struct host *host)
{
  const struct plain_server_options options = {
    .loop = host->loop,
    .address = host->settings.readiness_address,
    .what = "readiness",
    .answer = on_readiness_question,
    .owner = host,
  };
  if (options.address[0] == '\0')
    return STATUS_OK;
  return plain_server_create (&options, &host->readiness);
}

/* Tasks that hear the bus come before the control task, which speaks first:
   what it posts at its start must find its subscribers. */
static enum status
create_tasks (struct host *host)
{
  const uint64_t incarnation = incarnation_make ();
  enum status status = check_interface (host);
  if (status == STATUS_OK)
    status = create_platform (host);
  if (status == STATUS_OK)
    status = create_caller (host, incarnation);
  if (status == STATUS_OK)
    status = create_control (host, incarnation);
  if (status != STATUS_OK)
    return status;
  if (host->settings.modes.has_ejection)
    create_ejection (host, incarnation);
  create_quota (host);
  status = create_readiness (host);
  if (status != STATUS_OK)
    return status;
  return create_operator (host);
}

enum status
host_create (const struct host_options *options, struct host **host)
{
  struct host *created = xcalloc (1, sizeof *created);
  created->loop = options->loop;
  created->settings = *options->settings;
  created->counters = counters_create ();
  created->tables = tables_create ();
  created->bus = bus_create (created->loop);
  const enum status status = create_tasks (created);
  if (status != STATUS_OK)
    {
      host_destroy (created);
      created = NULL;
    }
  *host = created;
  return status;
}

void
host_destroy (struct host *host)
{
  if (host == NULL)
    return;
  ev_timer_stop (host->loop, &host->leave_limit);
  plain_server_destroy (host->readiness);
  if (host->operator_side != NULL)
    operator_task_destroy (host->operator_side);
  backend_destroy (host->backend);
  if (host->ejection != NULL)
    ejection_task_destroy (host->ejection);
  quota_task_destroy (host->quota);
  if (host->control != NULL)
    control_task_destroy (host->control);
  if (host->caller != NULL)
    caller_task_destroy (host->caller);
  platform_destroy (host->platform);
  bus_destroy (host->bus);
  tables_destroy (host->tables);
  counters_destroy (host->counters);
  free (host);
}

static void
finish (struct host *host, const char *why)
{
  if (host->phase == HOST_OVER)
    return;
  host->phase = HOST_OVER;
  ev_timer_stop (host->loop, &host->leave_limit);
  LOG_INFO ("left", LOG_STR ("why", why),
            LOG_INT ("in_flight", caller_task_in_flight (host->caller)));
  host->done (host->done_owner);
}

static void
caller_left (void *owner)
{
  finish (owner, "nothing in flight");
}

/* What is still in flight is told so before the end: a caller must not wait
   for a connection that just breaks.  Those answers get a moment to be
   written. */
static void
end_now (struct host *host, const char *why)
{
  if (host->phase == HOST_ENDING)
    {
      finish (host, why);
      return;
    }
  host->phase = HOST_ENDING;
  ev_timer_stop (host->loop, &host->leave_limit);
  ev_timer_set (&host->leave_limit,
                host->settings.times.shutdown_ms * LAST_ANSWERS_SHARE
                    / MS_PER_SECOND,
                0.);
  ev_timer_start (host->loop, &host->leave_limit);
  caller_task_answer_all_now (host->caller);
}

static void
leave_limit_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  end_now (watcher->data, "shutdown_ms are over");
}

void
host_begin_leaving (struct host *host, host_done *done, void *owner)
{
  if (host->phase == HOST_OVER)
    return;
  if (host->phase != HOST_SERVING)
    {
      end_now (host, "asked a second time");
      return;
    }
  host->phase = HOST_LEAVING;
  host->done = done;
  host->done_owner = owner;
  const struct bus_message message = { .topic = BUS_SHUTDOWN };
  bus_post (host->bus, &message);
  const double limit_s
      = host->settings.times.shutdown_ms * WORK_SHARE / MS_PER_SECOND;
  ev_timer_init (&host->leave_limit, leave_limit_cb, limit_s, 0);
  host->leave_limit.data = host;
  ev_timer_start (host->loop, &host->leave_limit);
  caller_task_begin_leaving (host->caller, caller_left, host);
}

void
host_reload (struct host *host, const struct host_settings *settings)
{
  const bool restart = host_settings_need_restart (&host->settings, settings);
  LOG_INFO (
      "reloaded", LOG_STR ("in_force", "log"),
      LOG_STR ("needs_restart", restart ? "all else that changed" : "-"));
}
