#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"

struct control_host *
control_hosts_find (const struct control_task *task, uint64_t key)
{
  struct control_host *host;
  HASH_FIND (hh, task->hosts, &key, sizeof key, host);
  return host;
}

struct control_host *
control_hosts_by_name (const struct control_task *task, const char *name)
{
  return control_hosts_find (task, hash_string (name));
}

static void
close_link (struct control_host *host)
{
  peer_link_destroy (host->link);
  host->link = NULL;
}

struct control_host *
control_hosts_update (struct control_task *task,
                      const struct host_record *record)
{
  struct control_host *host = control_hosts_by_name (task, record->name);
  if (host == NULL)
    {
      host = xcalloc (1, sizeof *host);
      host->key = hash_string (record->name);
      host->task = task;
      host->link_used_ms = clock_now_ms ();
      HASH_ADD (hh, task->hosts, key, sizeof host->key, host);
      host->record = *record;
      LOG_INFO ("host-learned", LOG_STR ("host", record->name),
                LOG_STR ("dc", record->dc),
                LOG_STR ("address", record->peer_address));
      control_hosts_changed (task);
      return host;
    }
  if (record->incarnation <= host->record.incarnation)
    return host;
  /* A link to the former address is closed by the idle check, not here: the
     message being processed may have arrived on it. */
  host->record = *record;
  control_hosts_changed (task);
  return host;
}

enum status
control_hosts_send (struct control_task *task, struct control_host *host,
                    const struct peer_message *message)
{
  host->link_used_ms = clock_now_ms ();
  if (host->link != NULL)
    return peer_link_send (host->link, message);
  if (host->record.peer_address[0] == '\0')
    return status_set (STATUS_NOT_FOUND, "the address of host %s isn't known",
                       host->record.name);
  const struct peer_link_options options
      = { .loop = task->options.loop,
          .identity = &task->identity,
          .events = &control_link_events,
          .owner = host,
          .address = host->record.peer_address,
          .name = host->record.name,
          .seed = rng_next (&task->random),
          .idle_timeout_ms = CONTROL_LINK_IDLE_MS };
  host->link = peer_link_create (&options);
  return peer_link_send (host->link, message);
}

static bool
has_moved (const struct control_host *host)
{
  return strcmp (peer_link_address (host->link), host->record.peer_address)
         != 0;
}

static void
remove_host (struct control_task *task, struct control_host *host)
{
  close_link (host);
  membership_note_unlisted (task->membership, host->key);
  HASH_DEL (task->hosts, host);
  free (host);
}

/* Whether HOST can be removed: neither the platform nor any other host reports
   it any more. */
static bool
is_removable (const struct control_task *task, const struct control_host *host)
{
  return host != task->self && !host->is_listed
         && membership_state (task->membership, host->key) == MEMBER_DEAD;
}

void
control_hosts_close_idle (struct control_task *task, int64_t now_ms)
{
  struct control_host *removable = NULL;
  struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    {
      const bool is_idle = now_ms - host->link_used_ms > CONTROL_LINK_IDLE_MS;
      if (host->link != NULL && (is_idle || has_moved (host)))
        close_link (host);
      if ((is_idle || host->is_removed) && is_removable (task, host))
        removable = host;
    }
  if (removable != NULL)
    remove_host (task, removable);
}

void
control_hosts_release (struct control_task *task)
{
  struct control_host *host = task->hosts;
  HASH_CLEAR (hh, task->hosts);
  while (host != NULL)
    {
      struct control_host *next = host->hh.next;
      close_link (host);
      free (host);
      host = next;
    }
}

bool
control_hosts_is_relay (const struct control_task *task, uint64_t key)
{
  for (uint32_t i = 0; i < task->relays.count; i++)
    if (task->fleet[task->relays.hosts[i]].key == key)
      return true;
  return false;
}
