#include "node/quota/quota_internal.h"

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/quota/quota_stamp.h"

enum
{
  /** Between two looks at what this keeper lacks: short against the time that
   * a small burst lasts. */
  LEVEL_MS = 50,
  /** A keeper looks after a workspace for so long after it was asked for. */
  ACTIVE_MS = 2000,
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
                         uint32_t wanted, int64_t now_ms)
{
  const struct quota_grant granted = quota_pool_grant (
      task->pool, now_ms, entry->workspace, &entry->limit, wanted);
  note_active (task, entry, now_ms);
  entry->granted += granted.tokens;
  return (struct quota_row){ .workspace = entry->workspace,
                             .requested = wanted,
                             .tokens = granted.tokens,
                             .term_ms = granted.term_ms,
                             .next_token_ms = granted.next_token_ms };
}

/* The same for another keeper. */
static struct quota_row
spare (struct quota_task *task, const struct quota_entry *entry,
       uint32_t wanted, int64_t now_ms)
{
  const uint32_t tokens = quota_pool_take_surplus (
      task->pool, now_ms, entry->workspace, &entry->limit, wanted);
  return (struct quota_row){ .workspace = entry->workspace,
                             .requested = wanted,
                             .tokens = tokens };
}

void
quota_coordinator_receive (struct quota_task *task, const char *from,
                           const struct quota_report *asked)
{
  const int64_t now_ms = clock_now_ms ();
  struct quota_peer *peer = quota_task_peer (task, from);
  int64_t lent_after_ms;
  peer->last_stamp = asked->stamp;
  if (asked->leases_share
      && quota_stamp_parse (task->process_nonce, asked->echo, now_ms,
                            &lent_after_ms))
    quota_shares_add_lease (task->shares, now_ms, hash_string (from),
                            lent_after_ms);
  quota_task_begin_report (task, peer, now_ms);
  task->report.is_coordinator = asked->is_coordinator;
  for (size_t i = 0; i < asked->row_count; i++)
    {
      struct quota_entry *entry
          = quota_task_entry (task, asked->rows[i].workspace);
      if (entry == NULL)
        continue;
      task->report.rows[task->report.row_count++]
          = asked->is_coordinator
                ? spare (task, entry, asked->rows[i].requested, now_ms)
                : quota_coordinator_grant (task, entry,
                                           asked->rows[i].requested, now_ms);
    }
  quota_task_send_report (task, from, PEER_QUOTA_GRANT);
}

void
quota_coordinator_add (struct quota_task *task,
                       const struct quota_report *answer)
{
  const int64_t now_ms = clock_now_ms ();
  for (size_t i = 0; i < answer->row_count; i++)
    {
      const struct quota_row *row = &answer->rows[i];
      const struct quota_entry *entry
          = quota_task_entry (task, row->workspace);
      if (entry != NULL)
        quota_pool_add (task->pool, now_ms, row->workspace, &entry->limit,
                        row->tokens);
    }
}

/* Guards against refusals in one data centre while another one's keeper has
   tokens to spare: a workspace's requests come where its callers are, its
   shares where hosts are.  Each keeper asks the others before it is empty. */
void
quota_coordinator_rebalance (struct quota_task *task, int64_t now_ms)
{
  const char *names[QUOTA_COORDINATORS_MAX];
  struct quota_transport *transport = task->options.transport;
  struct quota_row lacking[QUOTA_ROWS_MAX];
  size_t lacking_count = 0;
  struct quota_entry *entry;
  struct quota_entry *next;
  DL_FOREACH_SAFE2 (task->active, entry, next, active_next)
  {
    if (now_ms - entry->last_request_ms > ACTIVE_MS)
      {
        entry->is_active = false;
        DL_DELETE2 (task->active, entry, active_prev, active_next);
        continue;
      }
    const uint32_t lacks = quota_pool_deficit (
        task->pool, now_ms, entry->workspace, &entry->limit);
    if (lacks > 0 && lacking_count < QUOTA_ROWS_MAX)
      lacking[lacking_count++]
          = (struct quota_row){ .workspace = entry->workspace,
                                .requested = lacks };
  }
  if (task->active == NULL)
    ev_timer_stop (task->options.loop, &task->rebalance_timer);
  if (lacking_count == 0)
    return;
  const size_t count = transport->ops->coordinators (transport, names);
  for (size_t i = 0; i < count; i++)
    {
      if (quota_task_is_self (task, names[i]))
        continue;
      quota_task_begin_report (task, quota_task_peer (task, names[i]), now_ms);
      task->report.is_coordinator = true;
      memcpy (task->report.rows, lacking, lacking_count * sizeof *lacking);
      task->report.row_count = lacking_count;
      quota_task_send_report (task, names[i], PEER_QUOTA_REQUEST);
    }
}

static void
level_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  quota_coordinator_rebalance (timer->data, clock_now_ms ());
}

void
quota_coordinator_start (struct quota_task *task)
{
  ev_timer_init (&task->rebalance_timer, level_cb, 0.,
                 LEVEL_MS / MS_PER_SECOND);
  task->rebalance_timer.data = task;
}

void
quota_coordinator_stop (struct quota_task *task)
{
  ev_timer_stop (task->options.loop, &task->rebalance_timer);
}
