#include "node/quota/quota_internal.h"

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/quota/quota_stamp.h"

enum
{
  /** A keeper that doesn't answer for so long isn't waited for. */
  ANSWER_MS = 60,
};

static bool
answers (const struct quota_peer *peer, int64_t now_ms)
{
  return peer->unanswered_since_ms == 0
         || now_ms - peer->unanswered_since_ms < ANSWER_MS;
}

/* What keeper grants goes to the caller task, which holds the tokens. */
static void
hand_out (struct quota_task *task, const struct quota_row *row,
          int64_t asked_ms)
{
  const struct bus_message message
      = { .topic = BUS_QUOTA_GRANTED,
          .quota = { .workspace = row->workspace,
                     .answer = { .requested_ms = asked_ms,
                                 .requested = row->requested,
                                 .tokens = row->tokens,
                                 .term_ms = row->term_ms,
                                 .next_token_ms = row->next_token_ms } } };
  bus_post (task->options.bus, &message);
}

/* Take what is wanted out of the list, up to a report's rows. */
static void
add_wanted (struct quota_task *task)
{
  struct quota_report *report = &task->report;
  while (task->pending != NULL && report->row_count < QUOTA_ROWS_MAX)
    {
      struct quota_entry *entry = task->pending;
      DL_DELETE2 (task->pending, entry, pending_prev, pending_next);
      entry->is_pending = false;
      report->rows[report->row_count++]
          = (struct quota_row){ .workspace = entry->workspace,
                                .requested = entry->requested };
      entry->requested = 0;
    }
}

static void
grant_self (struct quota_task *task, int64_t now_ms)
{
  while (task->pending != NULL)
    {
      struct quota_entry *entry = task->pending;
      DL_DELETE2 (task->pending, entry, pending_prev, pending_next);
      entry->is_pending = false;
      const struct quota_row row
          = quota_coordinator_grant (task, entry, entry->requested, now_ms);
      entry->requested = 0;
      hand_out (task, &row, now_ms);
    }
}

/* The first keeper that answers; the one of the own data centre if none
   does. */
const char *
quota_requester_coordinator (struct quota_task *task, int64_t now_ms)
{
  const char *names[QUOTA_COORDINATORS_MAX];
  struct quota_transport *transport = task->options.transport;
  const size_t count = transport->ops->coordinators (transport, names);
  for (size_t i = 0; i < count; i++)
    if (quota_task_is_self (task, names[i])
        || answers (quota_task_peer (task, names[i]), now_ms))
      return names[i];
  return count > 0 ? names[0] : NULL;
}

static void
ask (struct quota_task *task, const char *coordinator, int64_t now_ms)
{
  struct quota_peer *peer = quota_task_peer (task, coordinator);
  quota_task_begin_report (task, peer, now_ms);
  task->report.leases_share
      = quota_lease_renew (&task->lease, now_ms, hash_string (coordinator));
  quota_shares_set_own_from (task->shares, now_ms, task->lease.expires_ms);
  add_wanted (task);
  if (peer->unanswered_since_ms == 0)
    peer->unanswered_since_ms = now_ms;
  quota_task_send_report (task, coordinator, PEER_QUOTA_REQUEST);
}

/* Ask for what requests here want; RENEW: also when that is nothing. */
void
quota_requester_request (struct quota_task *task, bool renew)
{
  const int64_t now_ms = clock_now_ms ();
  const char *coordinator = quota_requester_coordinator (task, now_ms);
  if (coordinator == NULL)
    return;
  if (quota_task_is_self (task, coordinator))
    {
      grant_self (task, now_ms);
      return;
    }
  while (renew || task->pending != NULL)
    {
      ask (task, coordinator, now_ms);
      renew = false;
    }
}

void
quota_requester_receive (struct quota_task *task, const char *from,
                         const struct quota_report *answer)
{
  const int64_t now_ms = clock_now_ms ();
  struct quota_peer *peer = quota_task_peer (task, from);
  int64_t asked_ms;
  const bool is_first = peer->last_stamp == 0;
  peer->last_stamp = answer->stamp;
  peer->unanswered_since_ms = 0;
  /* What was lent with the question couldn't be counted by the keeper yet. */
  if (is_first && !answer->is_coordinator)
    ask (task, from, now_ms);
  if (!quota_stamp_parse (task->process_nonce, answer->echo, now_ms,
                          &asked_ms))
    return;
  if (answer->is_coordinator)
    {
      quota_coordinator_add (task, answer);
      return;
    }
  for (size_t i = 0; i < answer->row_count; i++)
    hand_out (task, &answer->rows[i], asked_ms);
}
