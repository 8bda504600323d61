#define LOG_MODULE "host"

#include "node/daemon/host.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
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
#include "node/leave_times.h"
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
  HOST_STOPPING, /* no longer waiting for requests in flight; final responses
                  are being written */
  HOST_STOPPED,
};

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
  struct control_ejection ejection_transport;
  struct ejection_task *ejection;
  struct control_quota quota_transport;
  struct quota_task *quota;
  struct operator_backend *backend;
  struct operator_task *operator_task;
  struct plain_server *readiness;
  enum host_phase phase;
  struct leave_times leave_times;
  struct ev_timer leave_timer;
  bool has_read_pending; /* since leave_timer expired */
  host_done *done;
  void *done_owner;
};

/* NULL if the interface is jaystair's own. */
static const struct platform_adapter *
platform_adapter_of (const struct host *host)
{
  const char *name = host->settings.interface;
  return name[0] != '\0' ? platform_adapter_find (name) : NULL;
}

static const struct caller_interface *
caller_interface_of (const struct host *host)
{
  const struct platform_adapter *adapter = platform_adapter_of (host);
  return adapter != NULL ? adapter->callers : &caller_interface_own;
}

static enum status
check_interface (const struct host *host)
{
  const char *name = host->settings.interface;
  if (name[0] == '\0' || platform_adapter_of (host) != NULL)
    return STATUS_OK;
  return status_set (STATUS_INVALID,
                     "platform.interface: no interface is called \"%s\"; "
                     "leave it out for jaystair's own, or name one of: %s",
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
    .dialect = platform_adapter_of (host) != NULL
                   ? platform_adapter_of (host)->store
                   : NULL,
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
    .interface = caller_interface_of (host),
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
service_demand (void *owner, const char *service)
{
  const struct host *host = owner;
  return caller_task_demand (host->caller, service);
}

static struct detection_recorder *
service_recorder (void *owner, const char *service)
{
  const struct host *host = owner;
  return caller_task_recorder (host->caller, service);
}

static void
create_ejection (struct host *host, uint64_t incarnation)
{
  control_ejection_init (&host->ejection_transport, host->control);
  const struct ejection_task_options options = {
    .loop = host->loop,
    .bus = host->bus,
    .settings = &host->settings,
    .platform = host->platform,
    .counters = host->counters,
    .tables = host->tables,
    .transport = &host->ejection_transport.base,
    .recorder = service_recorder,
    .demand = service_demand,
    .recorder_owner = host,
    .incarnation = incarnation,
  };
  host->ejection = ejection_task_create (&options);
  control_ejection_deliver (&host->ejection_transport, host->ejection);
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
  return operator_task_create (&options, &host->operator_task);
}

static enum MHD_Result
on_readiness_request (void *owner, struct MHD_Connection *connection,
                      const char *path, const char *method)
{
  const struct host *host = owner;
  const struct caller_interface *interface = caller_interface_of (host);
  if (strcmp (path, interface->readiness_path) != 0)
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
    .answer = on_readiness_request,
    .owner = host,
  };
  if (options.address[0] == '\0')
    return STATUS_OK;
  return plain_server_create (&options, &host->readiness);
}

/* The ejection and quota tasks send through the control task, so they are
   created after it.  They still receive what it posts when it starts, since
   the bus delivers messages from the event loop, when all tasks have
   subscribed. */
static enum status
create_tasks (struct host *host)
{
  const uint64_t incarnation = incarnation_make ();
  enum status status = check_interface (host);
  if (status == STATUS_OK && platform_adapter_of (host) != NULL)
    platform_adapter_of (host)->apply_terms (&host->settings);
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
  struct host *new_host = xcalloc (1, sizeof *new_host);
  new_host->loop = options->loop;
  new_host->settings = *options->settings;
  new_host->counters = counters_create ();
  new_host->tables = tables_create ();
  new_host->bus = bus_create (new_host->loop);
  const enum status status = create_tasks (new_host);
  if (status != STATUS_OK)
    {
      host_destroy (new_host);
      new_host = NULL;
    }
  *host = new_host;
  return status;
}

void
host_destroy (struct host *host)
{
  if (host == NULL)
    return;
  ev_timer_stop (host->loop, &host->leave_timer);
  plain_server_destroy (host->readiness);
  if (host->operator_task != NULL)
    operator_task_destroy (host->operator_task);
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
  if (host->phase == HOST_STOPPED)
    return;
  host->phase = HOST_STOPPED;
  ev_timer_stop (host->loop, &host->leave_timer);
  LOG_INFO (
      "left", LOG_STR ("why", why),
      LOG_INT ("in_flight", caller_task_in_flight (host->caller)),
      LOG_INT ("connections", caller_task_connection_count (host->caller)));
  host->done (host->done_owner);
}

static void
caller_left_cb (void *owner)
{
  finish (owner, "nothing in flight");
}

static void
set_leave_timer (struct host *host, int64_t at_ms)
{
  const int64_t remaining_ms = at_ms - clock_now_ms ();
  ev_timer_stop (host->loop, &host->leave_timer);
  ev_now_update (host->loop);
  ev_timer_set (&host->leave_timer,
                remaining_ms > 0 ? (double)remaining_ms / MS_PER_SECOND : 0.,
                0.);
  ev_timer_start (host->loop, &host->leave_timer);
}

/* Requests still in flight get a final response before the host stops, since a
   caller must not wait for a connection that just breaks.  These responses get
   some time to be written. */
static void
begin_stopping (struct host *host, const char *why)
{
  if (host->phase == HOST_STOPPING)
    {
      finish (host, why);
      return;
    }
  host->phase = HOST_STOPPING;
  host->has_read_pending = false;
  set_leave_timer (host, leave_times_end_ms (&host->leave_times,
                                             host->settings.times.shutdown_ms,
                                             clock_now_ms ()));
  caller_task_answer_all_now (host->caller);
}

/* If the process stood still, answers may wait in the kernel that came before
   the timer expired.  They are read first: the run that a signal such as
   SIGCONT interrupts sees no events but timers, and in the next one a timer of
   the lowest priority is handled last. */
static void
leave_timer_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct host *host = watcher->data;
  if (!host->has_read_pending)
    {
      host->has_read_pending = true;
      set_leave_timer (host, 0);
      return;
    }
  if (host->phase == HOST_LEAVING
      && clock_now_ms () < host->leave_times.give_up_all_ms
      && caller_task_answer_early_now (host->caller))
    {
      host->has_read_pending = false;
      set_leave_timer (host, host->leave_times.give_up_all_ms);
      return;
    }
  begin_stopping (host, "shutdown_ms have passed");
}

int64_t
host_signal_late_max_ms (const struct host *host)
{
  return clock_now_ms () - control_signals_since_ms (host->control);
}

void
host_begin_leaving (struct host *host, host_done *done, void *owner)
{
  if (host->phase != HOST_SERVING)
    return;
  host->phase = HOST_LEAVING;
  host->done = done;
  host->done_owner = owner;
  const struct bus_message message = { .topic = BUS_SHUTDOWN };
  bus_post (host->bus, &message);
  const int64_t read_ms = clock_now_ms () + 1; /* rounded up */
  host->leave_times
      = leave_times_of (host->settings.times.shutdown_ms,
                        control_signals_since_ms (host->control), read_ms);
  ev_timer_init (&host->leave_timer, leave_timer_cb, 0., 0.);
  ev_set_priority (&host->leave_timer, EV_MINPRI);
  host->leave_timer.data = host;
  set_leave_timer (host, host->leave_times.give_up_ms);
  caller_task_begin_leaving (host->caller, caller_left_cb, host);
  caller_task_set_leave_times (host->caller, &host->leave_times);
}

void
host_stop_waiting (struct host *host)
{
  if (host->phase == HOST_LEAVING || host->phase == HOST_STOPPING)
    begin_stopping (host, "asked not to wait");
}

void
host_reload (struct host *host, const struct host_settings *settings)
{
  const bool restart = host_settings_need_restart (&host->settings, settings);
  LOG_INFO (
      "reloaded", LOG_STR ("in_force", "log"),
      LOG_STR ("needs_restart", restart ? "all else that changed" : "-"));
}
