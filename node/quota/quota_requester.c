#include "node/quota/quota_internal.h"

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "policy/quota/quota_stamp.h"

enum
{
  /** A coordinator that leaves a request unanswered for this long is skipped
   * while another one responds. */
  RESPONSE_TIMEOUT_MS = 60,
};

static bool
is_responsive (const struct quota_peer *peer, int64_t now_ms)
{
  return peer->unanswered_since_ms == 0
         || now_ms - peer->unanswered_since_ms < RESPONSE_TIMEOUT_MS;
}

/* Post granted tokens to the caller task, which caches them. */
static void
post_grant (struct quota_task *task, const struct quota_row *row,
            int64_t requested_ms)
{
  const struct bus_message message
      = { .topic = BUS_QUOTA_GRANTED,
          .quota = { .workspace = row->workspace,
                     .answer = { .requested_ms = requested_ms,
                                 .requested = row->requested,
                                 .tokens = row->tokens,
                                 .term_ms = row->term_ms,
                                 .next_token_ms = row->next_token_ms } } };
  bus_post (task->options.bus, &message);
}

/* Move pending entries to rows of the report, as many as fit. */
static void
move_pending_to_report (struct quota_task *task)
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

/* This host is the coordinator itself: grant all pending requests. */
static void
grant_locally (struct quota_task *task, int64_t now_ms)
{
  while (task->pending != NULL)
    {
      struct quota_entry *entry = task->pending;
      DL_DELETE2 (task->pending, entry, pending_prev, pending_next);
      entry->is_pending = false;
      const struct quota_row row
          = quota_coordinator_grant (task, entry, entry->requested, now_ms);
      entry->requested = 0;
      post_grant (task, &row, now_ms);
    }
}

/* The first coordinator that responds; that of this host's data centre if none
   does. */
const char *
quota_requester_coordinator (struct quota_task *task, int64_t now_ms)
{
  const char *names[QUOTA_COORDINATORS_MAX];
  struct quota_transport *transport = task->options.transport;
  const size_t count = transport->ops->coordinators (transport, names);
  for (size_t i = 0; i < count; i++)
    if (quota_task_is_self (task, names[i])
        || is_responsive (quota_task_peer (task, names[i]), now_ms))
      return names[i];
  return count > 0 ? names[0] : NULL;
}

static void
send_request (struct quota_task *task, const char *coordinator, int64_t now_ms)
{
  struct quota_peer *peer = quota_task_peer (task, coordinator);
  quota_task_begin_report (task, peer, now_ms);
  task->report.leases_share
      = quota_lease_renew (&task->lease, now_ms, hash_string (coordinator));
  quota_shares_set_own_from (task->shares, now_ms, task->lease.expires_ms);
  move_pending_to_report (task);
  if (peer->unanswered_since_ms == 0)
    peer->unanswered_since_ms = now_ms;
  quota_task_send_report (task, coordinator, PEER_QUOTA_REQUEST);
}

void
quota_requester_request (struct quota_task *task, bool renew)
{
  const int64_t now_ms = clock_now_ms ();
  const char *coordinator = quota_requester_coordinator (task, now_ms);
  if (coordinator == NULL)
    return;
  if (quota_task_is_self (task, coordinator))
    {
      grant_locally (task, now_ms);
      return;
    }
  while (renew || task->pending != NULL)
    {
      send_request (task, coordinator, now_ms);
      renew = false;
    }
}

void
quota_requester_receive (struct quota_task *task, const char *from,
                         const struct quota_report *response)
{
  const int64_t now_ms = clock_now_ms ();
  struct quota_peer *peer = quota_task_peer (task, from);
  int64_t requested_ms;
  const bool is_first = peer->last_stamp == 0;
  peer->last_stamp = response->stamp;
  peer->unanswered_since_ms = 0;
  /* The coordinator couldn't count the lease of the first request, which
     echoed no stamp of it.  Renew the lease now that there is a stamp. */
  if (is_first && !response->is_coordinator)
    send_request (task, from, now_ms);
  if (!quota_stamp_parse (task->process_nonce, response->echo, now_ms,
                          &requested_ms))
    return;
  if (response->is_coordinator)
    {
      quota_coordinator_add (task, response);
      return;
    }
  for (size_t i = 0; i < response->row_count; i++)
    post_grant (task, &response->rows[i], requested_ms);
}
