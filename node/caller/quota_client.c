#include "node/caller/quota_client.h"

#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "base/xmalloc.h"

enum
{
  /** From so many on, stocks that nobody used lately are dropped before
   * another is made. */
  STOCKS_KEPT = 1024,
  UNUSED_MS = 10 * 1000,
};

struct desk_stock
{
  uint64_t workspace;
  struct quota_cache stock;
  int64_t used_ms;
  UT_hash_handle hh;
};

struct quota_client
{
  struct bus *bus;
  struct desk_stock *stocks;
};

struct quota_client *
quota_client_create (struct bus *bus)
{
  struct quota_client *desk = xcalloc (1, sizeof *desk);
  desk->bus = bus;
  return desk;
}

/* Drop the stocks that nobody waits at and that weren't used since BEFORE_MS;
   INT64_MAX: all. */
static void
drop_unused (struct quota_client *desk, int64_t before_ms)
{
  struct desk_stock *held = desk->stocks;
  HASH_CLEAR (hh, desk->stocks);
  while (held != NULL)
    {
      struct desk_stock *next = held->hh.next;
      const bool is_used
          = held->used_ms > before_ms
            || (held->stock.waiters > 0 && before_ms != INT64_MAX);
      if (is_used)
        HASH_ADD (hh, desk->stocks, workspace, sizeof held->workspace, held);
      else
        free (held);
      held = next;
    }
}

void
quota_client_destroy (struct quota_client *desk)
{
  if (desk == NULL)
    return;
  drop_unused (desk, INT64_MAX);
  free (desk);
}

static struct desk_stock *
find (const struct quota_client *desk, uint64_t workspace)
{
  struct desk_stock *held;
  HASH_FIND (hh, desk->stocks, &workspace, sizeof workspace, held);
  return held;
}

static struct desk_stock *
stock_of (struct quota_client *desk, uint64_t workspace, int64_t now_ms)
{
  struct desk_stock *held = find (desk, workspace);
  if (held == NULL)
    {
      if (HASH_COUNT (desk->stocks) >= STOCKS_KEPT)
        drop_unused (desk, now_ms - UNUSED_MS);
      held = xcalloc (1, sizeof *held);
      held->workspace = workspace;
      HASH_ADD (hh, desk->stocks, workspace, sizeof held->workspace, held);
    }
  held->used_ms = now_ms;
  return held;
}

static void
ask_if_low (struct quota_client *desk, struct desk_stock *held, int64_t now_ms)
{
  const uint32_t wanted = quota_cache_tokens_needed (&held->stock, now_ms);
  if (wanted == 0)
    return;
  const struct bus_message message
      = { .topic = BUS_QUOTA_REQUESTED,
          .quota = { .workspace = held->workspace,
                     .answer = { .requested = wanted } } };
  bus_post (desk->bus, &message);
  quota_cache_note_request (&held->stock, now_ms);
}

enum quota_verdict
quota_client_take (struct quota_client *desk, uint64_t workspace, bool again,
                   int64_t *until_ms)
{
  const int64_t now_ms = clock_now_ms ();
  struct desk_stock *held = stock_of (desk, workspace, now_ms);
  *until_ms = quota_cache_next_expiry_ms (&held->stock, now_ms);
  const enum quota_verdict verdict
      = again ? quota_cache_retry (&held->stock, now_ms)
              : quota_cache_take (&held->stock, now_ms);
  if (verdict == QUOTA_WAIT)
    quota_cache_add_waiter (&held->stock);
  ask_if_low (desk, held, now_ms);
  return verdict;
}

void
quota_client_cancel_wait (struct quota_client *desk, uint64_t workspace)
{
  struct desk_stock *held = find (desk, workspace);
  if (held != NULL)
    quota_cache_remove_waiter (&held->stock);
}

void
quota_client_return (struct quota_client *desk, uint64_t workspace,
                     int64_t until_ms)
{
  const int64_t now_ms = clock_now_ms ();
  quota_cache_return (&stock_of (desk, workspace, now_ms)->stock, now_ms,
                      until_ms);
}

uint32_t
quota_client_next_token_ms (const struct quota_client *desk,
                            uint64_t workspace)
{
  const struct desk_stock *held = find (desk, workspace);
  return held != NULL
             ? quota_cache_retry_after_ms (&held->stock, clock_now_ms ())
             : 1;
}

uint32_t
quota_client_max_wait_ms (const struct quota_client *desk, uint64_t workspace)
{
  const struct desk_stock *held = find (desk, workspace);
  return held != NULL ? quota_cache_hold_ms (&held->stock, clock_now_ms ())
                      : 0;
}

void
quota_client_receive_grant (struct quota_client *desk, uint64_t workspace,
                            const struct quota_answer *answer)
{
  struct desk_stock *held = find (desk, workspace);
  if (held != NULL)
    quota_cache_note_answer (&held->stock, clock_now_ms (), answer);
}
