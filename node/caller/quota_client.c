#include "node/caller/quota_client.h"

#include <stdlib.h>

#include <uthash.h>

#include "base/clock.h"
#include "base/xmalloc.h"

enum
{
  /** With this many caches, those that are unused for CACHE_IDLE_MS are
   * evicted before another one is created. */
  CACHES_BEFORE_EVICTION = 1024,
  CACHE_IDLE_MS = 10 * 1000,
};

struct workspace_cache
{
  uint64_t workspace;
  struct quota_cache cache;
  int64_t used_ms;
  UT_hash_handle hh;
};

struct quota_client
{
  struct bus *bus;
  struct workspace_cache *caches;
};

struct quota_client *
quota_client_create (struct bus *bus)
{
  struct quota_client *client = xcalloc (1, sizeof *client);
  client->bus = bus;
  return client;
}

/* Evict the caches that no request waits for and that haven't been used since
   BEFORE_MS; INT64_MAX: all. */
static void
evict_unused (struct quota_client *client, int64_t before_ms)
{
  struct workspace_cache *entry = client->caches;
  HASH_CLEAR (hh, client->caches);
  while (entry != NULL)
    {
      struct workspace_cache *next = entry->hh.next;
      const bool is_used
          = entry->used_ms > before_ms
            || (entry->cache.waiters > 0 && before_ms != INT64_MAX);
      if (is_used)
        HASH_ADD (hh, client->caches, workspace, sizeof entry->workspace,
                  entry);
      else
        free (entry);
      entry = next;
    }
}

void
quota_client_destroy (struct quota_client *client)
{
  if (client == NULL)
    return;
  evict_unused (client, INT64_MAX);
  free (client);
}

static struct workspace_cache *
find_cache (const struct quota_client *client, uint64_t workspace)
{
  struct workspace_cache *entry;
  HASH_FIND (hh, client->caches, &workspace, sizeof workspace, entry);
  return entry;
}

static struct workspace_cache *
get_or_create_cache (struct quota_client *client, uint64_t workspace,
                     int64_t now_ms)
{
  struct workspace_cache *entry = find_cache (client, workspace);
  if (entry == NULL)
    {
      if (HASH_COUNT (client->caches) >= CACHES_BEFORE_EVICTION)
        evict_unused (client, now_ms - CACHE_IDLE_MS);
      entry = xcalloc (1, sizeof *entry);
      entry->workspace = workspace;
      HASH_ADD (hh, client->caches, workspace, sizeof entry->workspace, entry);
    }
  entry->used_ms = now_ms;
  return entry;
}

static void
request_if_low (struct quota_client *client, struct workspace_cache *entry,
                int64_t now_ms)
{
  const uint32_t requested = quota_cache_tokens_needed (&entry->cache, now_ms);
  if (requested == 0)
    return;
  const struct bus_message message
      = { .topic = BUS_QUOTA_REQUESTED,
          .quota = { .workspace = entry->workspace,
                     .answer = { .requested = requested } } };
  bus_post (client->bus, &message);
  quota_cache_note_request (&entry->cache, now_ms);
}

enum quota_verdict
quota_client_take (struct quota_client *client, uint64_t workspace, bool again,
                   int64_t *expires_ms)
{
  const int64_t now_ms = clock_now_ms ();
  struct workspace_cache *entry
      = get_or_create_cache (client, workspace, now_ms);
  *expires_ms = quota_cache_next_expiry_ms (&entry->cache, now_ms);
  const enum quota_verdict verdict
      = again ? quota_cache_retry (&entry->cache, now_ms)
              : quota_cache_take (&entry->cache, now_ms);
  if (verdict == QUOTA_WAIT)
    quota_cache_add_waiter (&entry->cache);
  request_if_low (client, entry, now_ms);
  return verdict;
}

void
quota_client_cancel_wait (struct quota_client *client, uint64_t workspace)
{
  struct workspace_cache *entry = find_cache (client, workspace);
  if (entry != NULL)
    quota_cache_remove_waiter (&entry->cache);
}

void
quota_client_return (struct quota_client *client, uint64_t workspace,
                     int64_t expires_ms)
{
  const int64_t now_ms = clock_now_ms ();
  quota_cache_return (&get_or_create_cache (client, workspace, now_ms)->cache,
                      now_ms, expires_ms);
}

uint32_t
quota_client_next_token_ms (const struct quota_client *client,
                            uint64_t workspace)
{
  const struct workspace_cache *entry = find_cache (client, workspace);
  return entry != NULL
             ? quota_cache_retry_after_ms (&entry->cache, clock_now_ms ())
             : 1;
}

uint32_t
quota_client_max_wait_ms (const struct quota_client *client,
                          uint64_t workspace)
{
  const struct workspace_cache *entry = find_cache (client, workspace);
  return entry != NULL ? quota_cache_hold_ms (&entry->cache, clock_now_ms ())
                       : 0;
}

void
quota_client_receive_grant (struct quota_client *client, uint64_t workspace,
                            const struct quota_answer *answer)
{
  struct workspace_cache *entry = find_cache (client, workspace);
  if (entry != NULL)
    quota_cache_note_answer (&entry->cache, clock_now_ms (), answer);
}
