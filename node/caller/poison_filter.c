#define LOG_MODULE "caller"

#include "node/caller/poison_filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/exchange_poison.h"
#include "node/json_row.h"
#include "policy/fleet/rendezvous.h"

enum
{
  REFRESH_ROWS_MAX = 64,
  RECENT_CRASH_MS = 10 * 1000,
};

static const double REFRESH_INTERVAL_S = 2.0;

struct poison_filter
{
  struct caller_context *context;
  struct poison_table *table;
  ev_timer refresh; /* active while the table is not empty */
};

static void
announce_rows (const struct poison_filter *filter, const char *service,
               const struct poison_row *rows, size_t count,
               enum poison_recipients to, bool is_stored)
{
  struct bus_message message
      = { .topic = BUS_POISON_ANNOUNCED,
          .poison = { .count = count, .to = to, .is_stored = is_stored } };
  snprintf (message.poison.service, sizeof message.poison.service, "%s",
            service);
  message.poison.rows = xcalloc (count, sizeof *rows);
  memcpy (message.poison.rows, rows, count * sizeof *rows);
  bus_post (filter->context->bus, &message);
}

/* Recent crashes are resent to more hosts, because a lost report may be the
   one that would block the request. */
static bool
has_recent_crash (const struct poison_row *rows, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (rows[i].target != 0 && rows[i].crashed_ago_ms < RECENT_CRASH_MS)
      return true;
  return false;
}

/* Periodic resend for hosts that were partitioned or have just started. */
static void
on_refresh (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct poison_filter *filter = timer->data;
  struct poison_row rows[REFRESH_ROWS_MAX];
  const int64_t now_ms = clock_now_ms ();
  poison_table_expire (filter->table, now_ms);
  const size_t count
      = poison_table_export (filter->table, now_ms, rows, REFRESH_ROWS_MAX);
  if (count > 0)
    announce_rows (filter, "", rows, count,
                   has_recent_crash (rows, count) ? POISON_TO_RANDOM_FEW
                                                  : POISON_TO_RANDOM_ONE,
                   false);
  if (poison_table_is_empty (filter->table))
    ev_timer_stop (loop, timer);
}

struct poison_filter *
poison_filter_create (struct caller_context *context)
{
  const struct poison_settings *settings = &context->settings->poison;
  const struct poison_options options
      = { .crashes = settings->crashes,
          .block_ms = settings->block_ms,
          .block_max_ms = settings->block_max_ms };
  struct poison_filter *filter = xcalloc (1, sizeof *filter);
  filter->context = context;
  filter->table = poison_table_create (&options);
  ev_timer_init (&filter->refresh, on_refresh, 0., REFRESH_INTERVAL_S);
  filter->refresh.data = filter;
  return filter;
}

void
poison_filter_destroy (struct poison_filter *filter)
{
  if (filter == NULL)
    return;
  ev_timer_stop (filter->context->loop, &filter->refresh);
  poison_table_destroy (filter->table);
  free (filter);
}

bool
poison_filter_is_empty (const struct poison_filter *filter)
{
  return poison_table_is_empty (filter->table);
}

bool
poison_filter_has_head (const struct poison_filter *filter, uint64_t head)
{
  return poison_table_has_head (filter->table, head);
}

/* Rendezvous hashing selects the one host of the service's set that runs the
   trials of a request. */
static bool
is_trial_owner (const struct caller_service *service,
                const struct fingerprint *fingerprint)
{
  const struct fleet_host *first = NULL;
  for (size_t i = 0; i < service->host_count; i++)
    if (first == NULL
        || rendezvous_before (fingerprint->low, &service->rendezvous_hosts[i],
                              first))
      first = &service->rendezvous_hosts[i];
  return first == NULL || first->key == service->own_key;
}

enum poison_verdict
poison_filter_check (struct poison_filter *filter,
                     const struct caller_service *service,
                     const struct fingerprint *fingerprint,
                     uint32_t *remaining_ms)
{
  const enum poison_verdict verdict = poison_table_check (
      filter->table, clock_now_ms (), fingerprint,
      is_trial_owner (service, fingerprint), remaining_ms);
  if (verdict == POISON_TRIAL)
    {
      char text[FINGERPRINT_TEXT_SIZE];
      const char *name = text;
      fingerprint_format (fingerprint, text);
      LOG_WARN ("poison-trial", LOG_STR ("service", service->name),
                LOG_STR ("fingerprint", name));
    }
  return verdict;
}

static void
log_change (const char *event, const char *service,
            const struct fingerprint *fingerprint,
            const struct poison_row *row, const char *source)
{
  char text[FINGERPRINT_TEXT_SIZE];
  const char *name = text;
  fingerprint_format (fingerprint, text);
  LOG_WARN (event, LOG_STR ("service", service), LOG_STR ("fingerprint", name),
            LOG_STR ("source", source), LOG_INT ("strikes", row->strikes),
            LOG_INT ("left_ms", row->left_ms),
            LOG_INT ("crashed_ago_ms", row->crashed_ago_ms));
}

static void
start_refresh (struct poison_filter *filter)
{
  if (!ev_is_active (&filter->refresh))
    ev_timer_again (filter->context->loop, &filter->refresh);
}

static struct poison_row
current_block (const struct poison_filter *filter,
               const struct fingerprint *fingerprint)
{
  return poison_table_get_block (filter->table, clock_now_ms (), fingerprint);
}

/* Announces a block that applying ROW has created.  Only a host that counted
   the crashes itself, rather than receiving the block, has it stored. */
static void
announce_block (struct poison_filter *filter, const char *service,
                const struct poison_row *row, uint32_t strikes_before,
                bool is_counted)
{
  const struct poison_row block = current_block (filter, &row->fingerprint);
  const char *source = is_counted ? "counted" : "heard";
  if (block.strikes <= strikes_before)
    return;
  log_change ("poison-blocked", service, &row->fingerprint, &block, source);
  caller_counters_add (filter->context->counters.poison_blocks, source, NULL);
  announce_rows (filter, service, &block, 1, POISON_TO_RANDOM_FEW, is_counted);
  exchange_poison_cancel_all (filter->context, &row->fingerprint,
                              block.left_ms);
}

void
poison_filter_add_crash (struct poison_filter *filter, const char *service,
                         const struct poison_crash *crash)
{
  struct poison_row row;
  const uint32_t before = current_block (filter, &crash->fingerprint).strikes;
  start_refresh (filter);
  if (!poison_table_add_crash (filter->table, clock_now_ms (), crash, &row))
    return;
  log_change ("poison-suspected", service, &crash->fingerprint, &row, "own");
  announce_rows (filter, service, &row, 1, POISON_TO_SET, false);
  announce_block (filter, service, &row, before, true);
}

/* SERVICE is "" if unknown: the hosts of its set then receive the change from
   other hosts only. */
static bool
clear_request (struct poison_filter *filter, const char *service,
               const struct fingerprint *fingerprint, const char *source)
{
  struct poison_row row;
  const bool was_blocked = current_block (filter, fingerprint).strikes > 0;
  if (!poison_table_clear (filter->table, clock_now_ms (), fingerprint, &row))
    return false;
  log_change ("poison-cleared", service, fingerprint, &row, source);
  announce_rows (filter, service, &row, 1, POISON_TO_SET, was_blocked);
  announce_rows (filter, service, &row, 1, POISON_TO_RANDOM_FEW, false);
  return true;
}

void
poison_filter_clear (struct poison_filter *filter, const char *service,
                     const struct fingerprint *fingerprint)
{
  clear_request (filter, service, fingerprint, "own");
}

bool
poison_filter_clear_manually (struct poison_filter *filter,
                              const struct fingerprint *fingerprint)
{
  return clear_request (filter, "", fingerprint, "operator");
}

static void
merge_row (struct poison_filter *filter, const char *service,
           const struct poison_row *row)
{
  const uint32_t before = current_block (filter, &row->fingerprint).strikes;
  if (!poison_table_merge (filter->table, clock_now_ms (), row))
    return;
  if (row->target != 0)
    log_change ("poison-suspected", service, &row->fingerprint, row, "heard");
  else if (row->strikes == 0)
    {
      log_change ("poison-cleared", service, &row->fingerprint, row, "heard");
      announce_rows (filter, service, row, 1, POISON_TO_RANDOM_FEW, false);
    }
  announce_block (filter, service, row, before, row->target != 0);
}

void
poison_filter_receive (struct poison_filter *filter,
                       const struct bus_poison *received)
{
  start_refresh (filter);
  for (size_t i = 0; i < received->count; i++)
    merge_row (filter, received->service, &received->rows[i]);
}

struct json_object *
poison_filter_rows (const struct poison_filter *filter)
{
  struct poison_summary summaries[POISON_ENTRIES_MAX];
  struct json_object *rows = json_object_new_array ();
  const size_t count = poison_table_list (filter->table, clock_now_ms (),
                                          summaries, POISON_ENTRIES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      char text[FINGERPRINT_TEXT_SIZE];
      struct json_object *row = json_object_new_object ();
      fingerprint_format (&summaries[i].fingerprint, text);
      json_row_text (row, "fingerprint", text);
      json_row_text (row, "state",
                     summaries[i].strikes > 0 ? "blocked" : "suspected");
      json_row_number (row, "crashes", summaries[i].crashes);
      json_row_number (row, "crashed_ago_ms", summaries[i].crashed_ago_ms);
      json_row_number (row, "strikes", summaries[i].strikes);
      json_row_number (row, "left_ms", summaries[i].left_ms);
      json_object_array_add (rows, row);
    }
  return rows;
}
