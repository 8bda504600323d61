#include "node/quota/quota_internal.h"

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/quota/quota_stamp.h"

enum
{
  /** Interval of the checks for deficits; short compared with the time in
   * which a small burst is consumed. */
  REBALANCE_INTERVAL_MS = 50,
  /** An entry is active for this long after the last request for it. */
  ACTIVE_TIMEOUT_MS = 2000,
};

static const double MS_PER_SECOND = 1000.0;

static void
note_active (struct quota_task *task, struct quota_entry *entry,
             int64_t now_ms)
{
  entry->last_request_ms = now_ms;
  if (entry->is_active)
    return;
  entry->is_active = true;
  DL_APPEND2 (task->active, entry, active_prev, active_next);
  if (!ev_is_active (&task->rebalance_timer))
    ev_timer_again (task->options.loop, &task->rebalance_timer);
}

struct quota_row
quota_coordinator_grant (struct quota_task *task, struct quota_entry *entry,
                         uint32_t requested, int64_t now_ms)
{
  const struct quota_grant granted = quota_pool_grant (
      task->pool, now_ms, entry->workspace, &entry->limit, requested);
  note_active (task, entry, now_ms);
  entry->granted += granted.tokens;
  return (struct quota_row){ .workspace = entry->workspace,
                             .requested = requested,
                             .tokens = granted.tokens,
                             .term_ms = granted.term_ms,
                             .next_token_ms = granted.next_token_ms };
}

/* Remove surplus tokens for another coordinator. */
static struct quota_row
take_surplus (struct quota_task *task, const struct quota_entry *entry,
              uint32_t requested, int64_t now_ms)
{
  const uint32_t tokens = quota_pool_take_surplus (
      task->pool, now_ms, entry->workspace, &entry->limit, requested);
  return (struct quota_row){ .workspace = entry->workspace,
                             .requested = requested,
                             .tokens = tokens };
}

void
quota_coordinator_receive (struct quota_task *task, const char *from,
                           const struct quota_report *request)
{
  const int64_t now_ms = clock_now_ms ();
  struct quota_peer *peer = quota_task_peer (task, from);
  int64_t leased_after_ms;
  peer->last_stamp = request->stamp;
  if (request->leases_share
      && quota_stamp_parse (task->process_nonce, request->echo, now_ms,
                            &leased_after_ms))
    quota_shares_add_lease (task->shares, now_ms, hash_string (from),
                            leased_after_ms);
  quota_task_begin_report (task, peer, now_ms);
  task->report.is_coordinator = request->is_coordinator;
  for (size_t i = 0; i < request->row_count; i++)
    {
      struct quota_entry *entry
          = quota_task_entry (task, request->rows[i].workspace);
      if (entry == NULL)
        continue;
      task->report.rows[task->report.row_count++]
          = request->is_coordinator
                ? take_surplus (task, entry, request->rows[i].requested,
                                now_ms)
                : quota_coordinator_grant (task, entry,
                                           request->rows[i].requested, now_ms);
    }
  quota_task_send_report (task, from, PEER_QUOTA_GRANT);
}

void
quota_coordinator_add (struct quota_task *task,
                       const struct quota_report *response)
{
  const int64_t now_ms = clock_now_ms ();
  for (size_t i = 0; i < response->row_count; i++)
    {
      const struct quota_row *row = &response->rows[i];
      const struct quota_entry *entry
          = quota_task_entry (task, row->workspace);
      if (entry != NULL)
        quota_pool_add (task->pool, now_ms, row->workspace, &entry->limit,
                        row->tokens);
    }
}

/* The requests of a workspace arrive at the data centres of its callers, but
   its shares are spread like the hosts.  Without rebalancing, requests in one
   data centre would be refused while the coordinator of another one has
   surplus tokens.  Each coordinator requests tokens from the others before its
   pool is empty. */
void
quota_coordinator_rebalance (struct quota_task *task, int64_t now_ms)
{
  const char *names[QUOTA_COORDINATORS_MAX];
  struct quota_transport *transport = task->options.transport;
  struct quota_row deficits[QUOTA_ROWS_MAX];
  size_t deficit_count = 0;
  struct quota_entry *entry;
  struct quota_entry *next;
  DL_FOREACH_SAFE2 (task->active, entry, next, active_next)
  {
    if (now_ms - entry->last_request_ms > ACTIVE_TIMEOUT_MS)
      {
        entry->is_active = false;
        DL_DELETE2 (task->active, entry, active_prev, active_next);
        continue;
      }
    const uint32_t deficit = quota_pool_deficit (
        task->pool, now_ms, entry->workspace, &entry->limit);
    if (deficit > 0 && deficit_count < QUOTA_ROWS_MAX)
      deficits[deficit_count++]
          = (struct quota_row){ .workspace = entry->workspace,
                                .requested = deficit };
  }
  if (task->active == NULL)
    ev_timer_stop (task->options.loop, &task->rebalance_timer);
  if (deficit_count == 0)
    return;
  const size_t count = transport->ops->coordinators (transport, names);
  for (size_t i = 0; i < count; i++)
    {
      if (quota_task_is_self (task, names[i]))
        continue;
      quota_task_begin_report (task, quota_task_peer (task, names[i]), now_ms);
      task->report.is_coordinator = true;
      memcpy (task->report.rows, deficits, deficit_count * sizeof *deficits);
      task->report.row_count = deficit_count;
      quota_task_send_report (task, names[i], PEER_QUOTA_REQUEST);
    }
}

static void
rebalance_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  quota_coordinator_rebalance (timer->data, clock_now_ms ());
}

void
quota_coordinator_start (struct quota_task *task)
{
  ev_timer_init (&task->rebalance_timer, rebalance_cb, 0.,
                 REBALANCE_INTERVAL_MS / MS_PER_SECOND);
  task->rebalance_timer.data = task;
}

void
quota_coordinator_stop (struct quota_task *task)
{
  ev_timer_stop (task->options.loop, &task->rebalance_timer);
}
