#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/control/incarnation.h"
#include "node/tables.h"

enum
{
  /** Changes that arrive together are processed together. */
  REFRESH_DELAY_MS = 20,
  REFRESH_CONTINUE_MS = 1,
  /** With this many known hosts the seeds are no longer needed. */
  SEED_HOSTS_MIN = 3,
};

/* Builds that order a registry's objects in another way have another value.
   Their hosts may run side by side, but don't count as having the same
   settings. */
static const uint64_t REGISTRY_ORDER = 1;

void
control_reply (struct control_task *task, const struct control_source *source,
               const struct peer_message *message)
{
  if (source->conn != NULL)
    peer_conn_send (source->conn, message);
  else if (source->link != NULL)
    peer_link_send (source->link, message);
}

void
control_receive (struct control_task *task,
                 const struct control_source *source,
                 const struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_HEARTBEAT:
    case PEER_HEARTBEAT_ACK:
    case PEER_INDIRECT_CHECK:
    case PEER_INDIRECT_RESULT:
    case PEER_MEMBERS:
      control_members_receive (task, source, message);
      break;
    case PEER_SETTINGS_DIGEST:
    case PEER_SETTINGS_OFFER:
    case PEER_SETTINGS_PULL:
    case PEER_SETTINGS_PUSH:
      control_settings_receive (task, source, message);
      break;
    case PEER_IN_FORCE_REQUEST:
    case PEER_IN_FORCE_ANSWER:
      control_query_receive (task, source, message);
      break;
    case PEER_EVIDENCE:
    case PEER_DECISION:
    case PEER_DEMAND:
    case PEER_QUOTA_REQUEST:
    case PEER_QUOTA_GRANT:
      control_call_handler (task, source->host->record.name, message);
      break;
    case PEER_OUTCOMES:
      control_outcomes_receive (task, source, &message->report);
      break;
    case PEER_LIMITS:
      control_limits_receive (task, message);
      break;
    case PEER_POISON:
      control_poison_receive (task, message);
      break;
    case PEER_HELLO:
    case PEER_PROOF:
    case PEER_TYPE_END:
      break;
    }
}

/* The host at the other end of a connection.  NULL for this host's own name
   and for an earlier start of a host that has been restarted. */
static struct control_host *
find_sender (struct control_task *task, const struct peer_hello *hello)
{
  struct host_record record
      = { .incarnation = hello->incarnation, .capacity = hello->capacity };
  memcpy (record.name, hello->name, sizeof record.name);
  memcpy (record.dc, hello->dc, sizeof record.dc);
  memcpy (record.peer_address, hello->peer_address,
          sizeof record.peer_address);
  memcpy (record.caller_address, hello->caller_address,
          sizeof record.caller_address);
  memcpy (record.operator_address, hello->operator_address,
          sizeof record.operator_address);
  if (strcmp (record.name, task->self->record.name) == 0)
    return NULL;
  struct control_host *host = control_hosts_update (task, &record);
  return host->record.incarnation == record.incarnation ? host : NULL;
}

static void
conn_message (void *owner, struct peer_conn *conn,
              const struct peer_message *message)
{
  struct control_task *task = owner;
  const struct control_source source
      = { .host = find_sender (task, peer_conn_hello (conn)), .conn = conn };
  if (source.host != NULL)
    control_receive (task, &source, message);
}

void
control_link_receive (struct control_task *task, struct peer_link *link,
                      const struct peer_message *message)
{
  const struct control_source source
      = { .host = find_sender (task, peer_link_hello (link)), .link = link };
  if (source.host != NULL)
    control_receive (task, &source, message);
}

static void
link_ready (void *owner, struct peer_link *link)
{
}

static void
link_message (void *owner, struct peer_link *link,
              const struct peer_message *message)
{
  control_link_receive (((struct control_host *)owner)->task, link, message);
}

const struct peer_link_events control_link_events
    = { .ready = link_ready, .message = link_message };

void
control_refresh_soon (struct control_task *task)
{
  if (ev_is_active (&task->refresh_timer))
    return;
  ev_timer_set (&task->refresh_timer, REFRESH_DELAY_MS / 1000.0, 0);
  ev_timer_start (task->options.loop, &task->refresh_timer);
}

void
control_hosts_changed (struct control_task *task)
{
  task->hosts_changed = true;
  control_refresh_soon (task);
}

static void
refresh_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  if (task->hosts_changed)
    control_members_gossip (task);
  if (!control_sets_refresh (task) || ev_is_active (watcher))
    return;
  ev_timer_set (watcher, REFRESH_CONTINUE_MS / 1000.0, 0);
  ev_timer_start (loop, watcher);
}

static void
update_settled (struct control_task *task, int64_t now_ms)
{
  const int64_t settle_ms = (int64_t)CONTROL_SETTLE_HEARTBEATS
                            * task->options.settings->times.heartbeat_ms;
  if (task->settled_ms > 0 || now_ms - task->started_ms < settle_ms)
    return;
  task->settled_ms = now_ms;
  control_hosts_changed (task);
}

static void
heartbeat_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  const int64_t now_ms = clock_now_ms ();
  update_settled (task, now_ms);
  control_members_tick (task, now_ms);
  control_cleanup_tick (task, now_ms);
  control_tombstones_expire (task, now_ms);
  control_pulls_expire (task, now_ms);
  control_hosts_close_idle (task, now_ms);
  if (task->has_settings && !task->startup.is_held
      && HASH_COUNT (task->hosts) >= SEED_HOSTS_MIN)
    control_seeds_close (task);
  control_report_count (task);
}

static void
set_address (char address[HOST_ADDRESS_SIZE], const char *advertised,
             const char *bound)
{
  snprintf (address, HOST_ADDRESS_SIZE, "%s",
            host_settings_advertised_address (advertised, bound));
}

static void
describe_self (struct control_task *task)
{
  const struct host_settings *settings = task->options.settings;
  struct host_record record
      = { .incarnation = task->options.incarnation,
          .capacity = host_capacity (&settings->resources) };
  memcpy (record.name, settings->name, sizeof record.name);
  memcpy (record.dc, settings->dc, sizeof record.dc);
  set_address (record.caller_address, settings->caller_advertised,
               settings->caller_address);
  set_address (record.peer_address, settings->peer_advertised,
               settings->peer_address);
  set_address (record.operator_address, settings->operator_advertised,
               settings->operator_address);
  if (record.incarnation == 0)
    record.incarnation = incarnation_make ();
  task->self = control_hosts_update (task, &record);
  struct peer_hello *hello = &task->identity.hello;
  hello->incarnation = record.incarnation;
  hello->capacity = record.capacity;
  memcpy (hello->name, record.name, sizeof hello->name);
  memcpy (hello->dc, record.dc, sizeof hello->dc);
  memcpy (hello->caller_address, record.caller_address,
          sizeof hello->caller_address);
  memcpy (hello->peer_address, record.peer_address,
          sizeof hello->peer_address);
  memcpy (hello->operator_address, record.operator_address,
          sizeof hello->operator_address);
}

static void
shutdown_cb (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  if (task->is_leaving)
    return;
  task->is_leaving = true;
  LOG_INFO ("leaving", LOG_STR ("host", task->self->record.name));
  control_members_leave (task);
  control_hosts_changed (task);
  control_registration_write (task);
}

static enum status
listen_for_peers (struct control_task *task)
{
  static const struct peer_conn_events events = { .message = conn_message };
  const struct peer_server_options options
      = { .loop = task->options.loop,
          .identity = &task->identity,
          .events = &events,
          .owner = task,
          .address = task->options.settings->peer_address,
          .idle_timeout_ms = 2 * CONTROL_LINK_IDLE_MS };
  return peer_server_create (&options, &task->server);
}

static void
start_timers (struct control_task *task)
{
  struct ev_loop *loop = task->options.loop;
  const double heartbeat_s
      = task->options.settings->times.heartbeat_ms / 1000.0;
  ev_timer_init (&task->heartbeat_timer, heartbeat_cb,
                 heartbeat_s * rng_unit (&task->random), heartbeat_s);
  task->heartbeat_timer.data = task;
  ev_timer_start (loop, &task->heartbeat_timer);
}

static void
create_membership (struct control_task *task)
{
  const struct control_times *times = &task->options.settings->times;
  const struct membership_options options
      = { .self = task->self->key,
          .incarnation = task->self->record.incarnation,
          .suspect_after_ms = times->suspect_after_ms,
          .dead_after_ms = times->dead_after_ms };
  task->membership = membership_create (&options);
}

enum status
control_task_create (const struct control_task_options *options,
                     struct control_task **created)
{
  struct control_task *task = xcalloc (1, sizeof *task);
  uint64_t seed;
  rng_secure_bytes (&seed, sizeof seed);
  rng_seed (&task->random, seed);
  task->options = *options;
  task->started_ms = clock_now_ms ();
  task->last_contact_ms = task->started_ms;
  task->index = settings_index_create (
      options->settings->modes.has_registry ? REGISTRY_ORDER : 0);
  control_tombstones_create (task);
  ev_timer_init (&task->refresh_timer, refresh_cb, 0, 0);
  task->refresh_timer.data = task;
  control_send_prepare (task);
  control_outcomes_prepare (task);
  control_poison_store_prepare (task);
  control_pulls_prepare (task);
  describe_self (task);
  create_membership (task);
  enum status status = peer_secret_load (options->settings->secret_file,
                                         &task->identity.secret);
  if (status == STATUS_OK)
    status = listen_for_peers (task);
  if (status != STATUS_OK)
    {
      control_task_destroy (task);
      return status;
    }
  bus_subscribe (options->bus, BUS_SHUTDOWN, shutdown_cb, task);
  control_freshness_start (task);
  control_registry_create (task);
  control_startup_start (task);
  control_removals_start (task);
  control_outcomes_start (task);
  control_report_register (task);
  control_cleanup_start (task);
  start_timers (task);
  control_seeds_open (task);
  control_delegates_start (task);
  control_restore_start (task);
  control_platform_start (task);
  control_poison_start (task);
  control_limits_start (task);
  control_retries_start (task);
  *created = task;
  return STATUS_OK;
}

void
control_task_destroy (struct control_task *task)
{
  if (task == NULL)
    return;
  struct ev_loop *loop = task->options.loop;
  if (task->server != NULL)
    {
      bus_unsubscribe (task->options.bus, task);
      if (task->options.tables != NULL)
        tables_unregister (task->options.tables, task);
      ev_timer_stop (loop, &task->heartbeat_timer);
      control_cleanup_stop (task);
      control_freshness_stop (task);
      control_platform_stop (task);
      control_restore_stop (task);
      control_startup_stop (task);
      control_delegates_stop (task);
      control_registration_stop (task);
      control_removals_stop (task);
      control_poison_store_stop (task);
    }
  ev_timer_stop (loop, &task->refresh_timer);
  control_seeds_close (task);
  peer_server_destroy (task->server);
  control_send_release (task);
  control_outcomes_release (task);
  control_poison_store_release (task);
  control_pulls_release (task);
  control_query_release (task);
  registry_destroy (task->registry);
  control_settings_release (task);
  control_hosts_release (task);
  membership_destroy (task->membership);
  settings_index_destroy (task->index);
  control_tombstones_destroy (task);
  free (task->fleet);
  free (task);
}

uint64_t
control_incarnation (const struct control_task *task)
{
  return task->self->record.incarnation;
}

bool
control_host_is_live (const struct control_task *task, const char *name)
{
  const struct control_host *host = control_hosts_by_name (task, name);
  if (host == NULL)
    return false;
  if (host == task->self)
    return !task->is_leaving && !task->is_stale;
  return membership_is_usable (task->membership, host->key);
}

const char *
control_caller_address (const struct control_task *task, const char *name)
{
  const struct control_host *host = control_hosts_by_name (task, name);
  return host == NULL ? NULL : host->record.caller_address;
}

bool
control_is_stale (const struct control_task *task)
{
  return task->is_stale;
}

bool
control_has_settings (const struct control_task *task)
{
  return task->has_settings;
}

enum status
control_apply_service (struct control_task *task, const char *name,
                       uint64_t version, const char *value)
{
  if (control_settings_apply (task, PLATFORM_KIND_SERVICE, name, version,
                              value, "operator"))
    return STATUS_OK;
  return status_set (STATUS_REFUSED,
                     "version %llu of service %s isn't newer than what is in "
                     "force here",
                     (unsigned long long)version, name);
}
