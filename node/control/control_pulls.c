#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/xmalloc.h"

enum
{
  /** Time for a requested host to answer before another one is requested:
   * enough for a value of half a megabyte over a slow link. */
  RESPONSE_TIMEOUT_MS = 500,
  /** A large value is fetched from another data centre after a random delay
   * of up to this, unless a host in the own data centre has it sooner.  Few
   * hosts then fetch it from afar, and the rest from those. */
  REMOTE_DELAY_MAX_MS = 200,
  /** A pull without a result is removed after this time.  Offers are repeated
   * with each heartbeat for as long as there is a difference. */
  PULL_LIFETIME_MS = 10000,
  /** Values of this size or more are large: a configuration of many routes,
   * but no record of a host or target. */
  LARGE_VALUE_BYTES = 4096,
};

/** An object that is being fetched from another host. */
struct control_pull
{
  uint64_t key;          /**< of the object */
  uint64_t version;      /**< that was offered */
  uint64_t held_version; /**< version here */
  uint64_t host;         /**< key of the host that is or will be requested */
  int64_t due_ms;        /**< when it is requested */
  bool is_requested;
  UT_hash_handle hh;
};

static bool
is_in_own_dc (const struct control_task *task, uint64_t host_key)
{
  const struct control_host *host = control_hosts_find (task, host_key);
  return host != NULL && strcmp (host->record.dc, task->self->record.dc) == 0;
}

static void
request_object (struct control_task *task, struct control_pull *pull)
{
  struct control_host *host = control_hosts_find (task, pull->host);
  struct peer_settings_entry entry
      = { .key = pull->key, .version = pull->held_version };
  const struct peer_message message
      = { .type = PEER_SETTINGS_PULL,
          .settings = { .entries = &entry, .count = 1 } };
  pull->is_requested = true;
  if (host != NULL)
    control_hosts_send (task, host, &message);
}

static struct control_pull *
find_pull (const struct control_task *task, uint64_t key)
{
  struct control_pull *pull;
  HASH_FIND (hh, task->pulls, &key, sizeof key, pull);
  return pull;
}

static void
schedule_timer (struct control_task *task, int64_t due_ms, int64_t now_ms)
{
  if (ev_is_active (&task->pull_timer))
    return;
  const int64_t delay_ms = due_ms > now_ms ? due_ms - now_ms : 0;
  ev_timer_set (&task->pull_timer, (double)delay_ms / 1000.0, 0);
  ev_timer_start (task->options.loop, &task->pull_timer);
}

static void
due_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  const int64_t now_ms = clock_now_ms ();
  int64_t next_ms = INT64_MAX;
  struct control_pull *pull;
  for (pull = task->pulls; pull != NULL; pull = pull->hh.next)
    {
      if (pull->is_requested)
        continue;
      if (pull->due_ms <= now_ms)
        request_object (task, pull);
      else if (pull->due_ms < next_ms)
        next_ms = pull->due_ms;
    }
  if (next_ms != INT64_MAX)
    schedule_timer (task, next_ms, now_ms);
}

static struct control_pull *
find_or_add_pull (struct control_task *task, uint64_t key)
{
  struct control_pull *pull = find_pull (task, key);
  if (pull == NULL)
    {
      pull = xcalloc (1, sizeof *pull);
      pull->key = key;
      HASH_ADD (hh, task->pulls, key, sizeof pull->key, pull);
    }
  return pull;
}

/* All neighbours of a host receive a change within milliseconds and offer it.
   Fetched from each of them, a change of a large configuration would fill the
   links of hundreds of hosts. */
static bool
is_in_flight (const struct control_pull *pull, uint64_t version,
              int64_t now_ms)
{
  return pull != NULL && pull->version >= version
         && now_ms - pull->due_ms < RESPONSE_TIMEOUT_MS;
}

bool
control_pulls_should_request (struct control_task *task,
                              const struct control_offer *offer)
{
  const int64_t now_ms = clock_now_ms ();
  struct control_pull *pull = find_pull (task, offer->key);
  const bool is_local = is_in_own_dc (task, offer->host);
  const bool is_delayed = offer->held_bytes >= LARGE_VALUE_BYTES && !is_local;
  if (is_in_flight (pull, offer->version, now_ms)
      && (is_delayed || pull->is_requested))
    return false;
  pull = find_or_add_pull (task, offer->key);
  pull->version = offer->version;
  pull->held_version = offer->held_version;
  pull->host = offer->host;
  pull->is_requested = !is_delayed;
  pull->due_ms = now_ms;
  if (!is_delayed)
    return true;
  pull->due_ms += (int64_t)rng_below (&task->random, REMOTE_DELAY_MAX_MS);
  schedule_timer (task, pull->due_ms, now_ms);
  return false;
}

static void
remove_pull (struct control_task *task, struct control_pull *pull)
{
  HASH_DEL (task->pulls, pull);
  free (pull);
}

void
control_pulls_complete (struct control_task *task, uint64_t key,
                        uint64_t version)
{
  struct control_pull *pull = find_pull (task, key);
  if (pull != NULL && pull->version <= version)
    remove_pull (task, pull);
}

bool
control_pulls_has_open (const struct control_task *task)
{
  const struct control_pull *pull;
  for (pull = task->pulls; pull != NULL; pull = pull->hh.next)
    if (pull->version > settings_index_version (task->index, pull->key))
      return true;
  return false;
}

static struct control_pull *
find_expired (const struct control_task *task, int64_t now_ms)
{
  struct control_pull *pull = task->pulls;
  while (pull != NULL && now_ms - pull->due_ms < PULL_LIFETIME_MS)
    pull = pull->hh.next;
  return pull;
}

/* An offered object may be removed before it is fetched, or be refused on
   arrival, so the list would grow without bound.  One pull is removed per
   heartbeat interval, which is more often than they fail. */
void
control_pulls_expire (struct control_task *task, int64_t now_ms)
{
  struct control_pull *pull = find_expired (task, now_ms);
  if (pull != NULL)
    remove_pull (task, pull);
}

void
control_pulls_prepare (struct control_task *task)
{
  ev_timer_init (&task->pull_timer, due_cb, 0, 0);
  task->pull_timer.data = task;
}

void
control_pulls_release (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->pull_timer);
  struct control_pull *pull = task->pulls;
  HASH_CLEAR (hh, task->pulls);
  while (pull != NULL)
    {
      struct control_pull *next = pull->hh.next;
      free (pull);
      pull = next;
    }
}
