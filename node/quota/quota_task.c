#define LOG_MODULE "quota"

#include "node/quota/quota_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/json_row.h"
#include "node/tables.h"
#include "policy/quota/quota_stamp.h"

enum
{
  /** Tokens requested within this time are sent in one message. */
  BATCH_DELAY_MS = 1,
};

static const double MS_PER_SECOND = 1000.0;

struct quota_peer *
quota_task_peer (struct quota_task *task, const char *name)
{
  struct quota_peer *peer;
  HASH_FIND_STR (task->peers, name, peer);
  if (peer != NULL)
    return peer;
  peer = xcalloc (1, sizeof *peer);
  snprintf (peer->name, sizeof peer->name, "%s", name);
  HASH_ADD_STR (task->peers, name, peer);
  return peer;
}

struct quota_entry *
quota_task_entry (const struct quota_task *task, uint64_t workspace)
{
  struct quota_entry *entry;
  HASH_FIND (hh, task->entries, &workspace, sizeof workspace, entry);
  return entry;
}

bool
quota_task_is_self (const struct quota_task *task, const char *name)
{
  return strcmp (name, task->options.settings->name) == 0;
}

void
quota_task_begin_report (struct quota_task *task, const struct quota_peer *to,
                         int64_t now_ms)
{
  struct quota_report *report = &task->report;
  report->stamp = quota_stamp_make (task->process_nonce, now_ms);
  report->echo = to->last_stamp;
  report->hosts = quota_shares_host_count (task->shares);
  report->leases_share = false;
  report->is_coordinator = false;
  report->row_count = 0;
}

void
quota_task_send_report (struct quota_task *task, const char *to,
                        enum peer_type type)
{
  int64_t *values;
  const struct peer_message message
      = quota_report_message (type, &task->report, &values);
  struct quota_transport *transport = task->options.transport;
  transport->ops->send (transport, to, &message);
  free (values);
}

static void
renew_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct quota_task *task = timer->data;
  struct quota_transport *transport = task->options.transport;
  const int64_t now_ms = clock_now_ms ();
  const uint32_t hosts = transport->ops->known_hosts (transport);
  if (task->entries == NULL)
    return;
  if (hosts > 0)
    quota_shares_note_host_count (task->shares, now_ms, hosts);
  quota_requester_request (task, true);
}

static void
batch_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  quota_requester_request (timer->data, false);
}

static void
on_requested (void *owner, const struct bus_message *message)
{
  struct quota_task *task = owner;
  struct quota_entry *entry
      = quota_task_entry (task, message->quota.workspace);
  if (entry == NULL)
    return;
  entry->requested = message->quota.answer.requested;
  if (!entry->is_pending)
    DL_APPEND2 (task->pending, entry, pending_prev, pending_next);
  entry->is_pending = true;
  if (ev_is_active (&task->batch_timer))
    return;
  ev_timer_set (&task->batch_timer, BATCH_DELAY_MS / MS_PER_SECOND, 0.);
  ev_timer_start (task->options.loop, &task->batch_timer);
}

static void
free_entry (struct quota_task *task, struct quota_entry *entry)
{
  if (entry->is_pending)
    DL_DELETE2 (task->pending, entry, pending_prev, pending_next);
  if (entry->is_active)
    DL_DELETE2 (task->active, entry, active_prev, active_next);
  free (entry);
}

/* Remove the entries that aren't of GENERATION. */
static void
retain_entries (struct quota_task *task, uint64_t generation)
{
  struct quota_entry *entry = task->entries;
  HASH_CLEAR (hh, task->entries);
  while (entry != NULL)
    {
      struct quota_entry *next = entry->hh.next;
      if (entry->generation == generation)
        HASH_ADD (hh, task->entries, workspace, sizeof entry->workspace,
                  entry);
      else
        free_entry (task, entry);
      entry = next;
    }
}

static void
update_entry (struct quota_task *task, const struct fleet_workspace *workspace)
{
  const uint64_t key = hash_string (workspace->name);
  struct quota_entry *entry = quota_task_entry (task, key);
  if (entry == NULL)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->workspace = key;
      memcpy (entry->name, workspace->name, sizeof entry->name);
      HASH_ADD (hh, task->entries, workspace, sizeof entry->workspace, entry);
    }
  entry->generation = task->generation;
  entry->limit = (struct quota_limit){
    .rate_per_s = (double)workspace->quota.rate_millis / WORKSPACE_RATE_SCALE,
    .burst = workspace->quota.burst,
  };
}

/* Updates the entries, and removes those of workspaces that were removed or
   have no quota any more. */
static void
on_config (void *owner, const struct bus_message *message)
{
  struct quota_task *task = owner;
  const struct fleet_config *config = message->config_in_force.config;
  task->generation++;
  for (size_t i = 0; i < config->workspace_count; i++)
    if (config->workspaces[i].quota.rate_millis > 0)
      update_entry (task, &config->workspaces[i]);
  retain_entries (task, task->generation);
}

void
quota_task_receive (struct quota_task *task, const char *from,
                    const struct peer_message *message)
{
  struct quota_report *report = xmalloc (sizeof *report);
  if (quota_report_read (message, report))
    {
      if (report->hosts > 0)
        quota_shares_note_host_count (task->shares, clock_now_ms (),
                                      report->hosts);
      if (message->type == PEER_QUOTA_REQUEST)
        quota_coordinator_receive (task, from, report);
      else
        quota_requester_receive (task, from, report);
    }
  free (report);
}

static struct json_object *
quota_rows (void *owner)
{
  struct quota_task *task = owner;
  const int64_t now_ms = clock_now_ms ();
  const char *coordinator = quota_requester_coordinator (task, now_ms);
  struct json_object *rows = json_object_new_array ();
  for (const struct quota_entry *entry = task->entries; entry != NULL;
       entry = entry->hh.next)
    {
      struct json_object *row = json_object_new_object ();
      json_row_text (row, "workspace", entry->name);
      json_row_number (row, "rate_per_s", (int64_t)entry->limit.rate_per_s);
      json_row_number (row, "burst", (int64_t)entry->limit.burst);
      json_row_text (row, "keeper", coordinator != NULL ? coordinator : "-");
      json_row_flag (row, "kept_here", entry->is_active);
      json_row_number (row, "granted_here", (int64_t)entry->granted);
      json_object_array_add (rows, row);
    }
  return rows;
}

struct quota_task *
quota_task_create (const struct quota_task_options *options)
{
  struct quota_task *task = xcalloc (1, sizeof *task);
  const struct access_settings *access = &options->settings->access;
  const int64_t now_ms = clock_now_ms ();
  task->options = *options;
  task->tolerance
      = (struct quota_tolerance){ .window_ms = access->quota_window_ms,
                                  .overshoot_percent
                                  = access->quota_overshoot_percent,
                                  .slack = access->quota_slack };
  rng_secure_bytes (&task->process_nonce, sizeof task->process_nonce);
  quota_lease_init (&task->lease, now_ms, &task->tolerance);
  task->shares = quota_shares_create (now_ms, task->lease.expires_ms);
  task->pool = quota_pool_create (task->shares, &task->tolerance);
  ev_timer_init (&task->batch_timer, batch_cb, 0., 0.);
  task->batch_timer.data = task;
  const double renew_s = QUOTA_RENEWAL_INTERVAL_MS / MS_PER_SECOND;
  ev_timer_init (&task->renew_timer, renew_cb, renew_s, renew_s);
  task->renew_timer.data = task;
  ev_timer_start (options->loop, &task->renew_timer);
  quota_coordinator_start (task);
  bus_subscribe (options->bus, BUS_QUOTA_REQUESTED, on_requested, task);
  bus_subscribe (options->bus, BUS_CONFIG_IN_FORCE, on_config, task);
  if (options->tables != NULL)
    tables_register (options->tables, "quotas", quota_rows, task);
  return task;
}

void
quota_task_destroy (struct quota_task *task)
{
  if (task == NULL)
    return;
  bus_unsubscribe (task->options.bus, task);
  if (task->options.tables != NULL)
    tables_unregister (task->options.tables, task);
  ev_timer_stop (task->options.loop, &task->renew_timer);
  quota_coordinator_stop (task);
  ev_timer_stop (task->options.loop, &task->batch_timer);
  retain_entries (task, task->generation + 1);
  struct quota_peer *peer = task->peers;
  HASH_CLEAR (hh, task->peers);
  while (peer != NULL)
    {
      struct quota_peer *next = peer->hh.next;
      free (peer);
      peer = next;
    }
  quota_pool_destroy (task->pool);
  quota_shares_destroy (task->shares);
  free (task);
}
