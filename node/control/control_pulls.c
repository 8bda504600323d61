#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/xmalloc.h"

enum
{
  /** A host that was asked answers within this, or another one is: time for a
   * value of half a megabyte over a slow link. */
  ANSWER_MS = 500,
  /** A large value is fetched from another data centre after a random part of
   * this, if no host near by has it sooner: then few hosts fetch it from afar
   * and the rest from those. */
  FAR_DELAY_MS = 200,
  /** What didn't come in this time is forgotten; offers come with each
   * heartbeat for as long as there is a difference. */
  EXPIRES_MS = 10000,
  /** A value of so many bytes is large: a configuration of many routes, no
   * record of a host or target. */
  LARGE_BYTES = 4096,
};

/** An object that is being fetched from another host. */
struct control_pull
{
  uint64_t key;     /**< of the object */
  uint64_t version; /**< that was offered */
  uint64_t held;    /**< version here */
  uint64_t host;    /**< who is or will be asked */
  int64_t due_ms;   /**< when it is asked */
  bool is_asked;
  UT_hash_handle hh;
};

static bool
is_near (const struct control_task *task, uint64_t host_key)
{
  const struct control_host *host = control_hosts_find (task, host_key);
  return host != NULL && strcmp (host->record.dc, task->self->record.dc) == 0;
}

static void
ask (struct control_task *task, struct control_pull *pull)
{
  struct control_host *host = control_hosts_find (task, pull->host);
  struct peer_settings_entry entry
      = { .key = pull->key, .version = pull->held };
  const struct peer_message message
      = { .type = PEER_SETTINGS_PULL,
          .settings = { .entries = &entry, .count = 1 } };
  pull->is_asked = true;
  if (host != NULL)
    control_hosts_send (task, host, &message);
}

static struct control_pull *
find (const struct control_task *task, uint64_t key)
{
  struct control_pull *pull;
  HASH_FIND (hh, task->pulls, &key, sizeof key, pull);
  return pull;
}

static void
arm (struct control_task *task, int64_t due_ms, int64_t now_ms)
{
  if (ev_is_active (&task->pull_timer))
    return;
  const int64_t left_ms = due_ms > now_ms ? due_ms - now_ms : 0;
  ev_timer_set (&task->pull_timer, (double)left_ms / 1000.0, 0);
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
      if (pull->is_asked)
        continue;
      if (pull->due_ms <= now_ms)
        ask (task, pull);
      else if (pull->due_ms < next_ms)
        next_ms = pull->due_ms;
    }
  if (next_ms != INT64_MAX)
    arm (task, next_ms, now_ms);
}

static struct control_pull *
begin (struct control_task *task, uint64_t key)
{
  struct control_pull *pull = find (task, key);
  if (pull == NULL)
    {
      pull = xcalloc (1, sizeof *pull);
      pull->key = key;
      HASH_ADD (hh, task->pulls, key, sizeof pull->key, pull);
    }
  return pull;
}

/* Guards against a value that is fetched from each neighbour that offers it:
   all of them hear of a change within milliseconds.  Shows as a change of a
   large configuration that fills the links of hundreds of hosts. */
static bool
is_under_way (const struct control_pull *pull, uint64_t version,
              int64_t now_ms)
{
  return pull != NULL && pull->version >= version
         && now_ms - pull->due_ms < ANSWER_MS;
}

bool
control_pulls_should_request (struct control_task *task,
                              const struct control_offer *o)
{
  const int64_t now_ms = clock_now_ms ();
  struct control_pull *pull = find (task, o->key);
  const bool near = is_near (task, o->host);
  const bool waits = o->held_bytes >= LARGE_BYTES && !near;
  if (is_under_way (pull, o->version, now_ms) && (waits || pull->is_asked))
    return false;
  pull = begin (task, o->key);
  pull->version = o->version;
  pull->held = o->held_version;
  pull->host = o->host;
  pull->is_asked = !waits;
  pull->due_ms = now_ms;
  if (!waits)
    return true;
  pull->due_ms += (int64_t)rng_below (&task->random, FAR_DELAY_MS);
  arm (task, pull->due_ms, now_ms);
  return false;
}

static void
drop (struct control_task *task, struct control_pull *pull)
{
  HASH_DEL (task->pulls, pull);
  free (pull);
}

void
control_pulls_complete (struct control_task *task, uint64_t key,
                        uint64_t version)
{
  struct control_pull *pull = find (task, key);
  if (pull != NULL && pull->version <= version)
    drop (task, pull);
}

static struct control_pull *
find_expired (const struct control_task *task, int64_t now_ms)
{
  struct control_pull *pull = task->pulls;
  while (pull != NULL && now_ms - pull->due_ms < EXPIRES_MS)
    pull = pull->hh.next;
  return pull;
}

/* Guards against a list that grows for ever: what was offered may be gone
   before it is fetched, or be refused when it comes.  One goes a heartbeat,
   which is more than come to this. */
void
control_pulls_expire (struct control_task *task, int64_t now_ms)
{
  struct control_pull *pull = find_expired (task, now_ms);
  if (pull != NULL)
    drop (task, pull);
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
