#include "node/control/control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/hash.h"
#include "base/xmalloc.h"

enum
{
  /** In a larger fleet only the service's hosts and the relays are asked. */
  ASK_ALL_MAX = 64,
};

enum ask_state
{
  ASK_SILENT,
  ASK_IN_FORCE,
  ASK_BEHIND
};

struct asked_host
{
  uint64_t key;
  enum ask_state state;
};

struct control_query
{
  struct control_task *task;
  uint64_t id;
  char service[PEER_NAME_SIZE];
  uint64_t version;
  struct asked_host *hosts;
  size_t count;
  size_t answered;
  struct ev_timer limit;
  control_in_force_done *done;
  void *owner;
  struct control_query *prev;
  struct control_query *next;
};

/* What is in force here, or the version of its removal. */
static uint64_t
own_version (const struct control_task *task, const char *name)
{
  const struct control_service *service;
  HASH_FIND_STR (task->services, name, service);
  if (service != NULL)
    return service->version;
  return settings_index_version (task->index,
                                 settings_key (PLATFORM_KIND_SERVICE, name));
}

static void
ask_free (struct control_query *ask)
{
  ev_timer_stop (ask->task->options.loop, &ask->limit);
  DL_DELETE (ask->task->queries, ask);
  free (ask->hosts);
  free (ask);
}

static const char *
host_name (const struct control_task *task, uint64_t key)
{
  const struct control_host *host = control_hosts_find (task, key);
  return host == NULL ? "(gone)" : host->record.name;
}

static void
report (struct control_query *ask)
{
  struct control_in_force result = { .queried = ask->count };
  result.outdated = xcalloc (ask->count, sizeof *result.outdated);
  result.unanswered = xcalloc (ask->count, sizeof *result.unanswered);
  for (size_t i = 0; i < ask->count; i++)
    {
      const char *name = host_name (ask->task, ask->hosts[i].key);
      switch (ask->hosts[i].state)
        {
        case ASK_IN_FORCE:
          result.in_force++;
          break;
        case ASK_BEHIND:
          result.outdated[result.outdated_count++] = name;
          break;
        case ASK_SILENT:
          result.unanswered[result.unanswered_count++] = name;
          break;
        }
    }
  control_in_force_done *done = ask->done;
  void *owner = ask->owner;
  ask_free (ask);
  done (owner, &result);
  free (result.outdated);
  free (result.unanswered);
}

static void
limit_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  report (watcher->data);
}

static void
note_answer (struct control_query *ask, uint64_t key, uint64_t version)
{
  for (size_t i = 0; i < ask->count; i++)
    {
      struct asked_host *host = &ask->hosts[i];
      if (host->key != key || host->state == ASK_IN_FORCE)
        continue;
      if (host->state == ASK_SILENT)
        ask->answered++;
      host->state = version >= ask->version ? ASK_IN_FORCE : ASK_BEHIND;
    }
  if (ask->answered < ask->count)
    return;
  ev_timer_stop (ask->task->options.loop, &ask->limit);
  ev_timer_set (&ask->limit, 0, 0);
  ev_timer_start (ask->task->options.loop, &ask->limit);
}

static void
add_host (struct control_query *ask, uint64_t key)
{
  for (size_t i = 0; i < ask->count; i++)
    if (ask->hosts[i].key == key)
      return;
  ask->hosts[ask->count++] = (struct asked_host){ .key = key };
}

static void
choose_hosts (struct control_query *ask)
{
  const struct control_task *task = ask->task;
  const size_t known = HASH_COUNT (task->hosts);
  const struct control_service *service;
  HASH_FIND_STR (task->services, ask->service, service);
  const size_t set_count = service == NULL ? 0 : service->set_count;
  ask->hosts
      = xcalloc (known + set_count + task->relays.count, sizeof *ask->hosts);
  if (known <= ASK_ALL_MAX)
    {
      const struct control_host *host;
      for (host = task->hosts; host != NULL; host = host->hh.next)
        if (membership_state (task->membership, host->key) != MEMBER_LEAVING
            || host == task->self)
          add_host (ask, host->key);
      return;
    }
  add_host (ask, task->self->key);
  for (size_t i = 0; i < set_count; i++)
    add_host (ask, service->set[i]);
  for (uint32_t i = 0; i < task->relays.count; i++)
    add_host (ask, task->fleet[task->relays.hosts[i]].key);
}

void
control_query_in_force (struct control_task *task, const char *service,
                        uint64_t version, uint32_t timeout_ms,
                        control_in_force_done *done, void *owner)
{
  struct control_query *ask = xcalloc (1, sizeof *ask);
  ask->task = task;
  ask->id = ++task->last_query_id;
  ask->version = version;
  ask->done = done;
  ask->owner = owner;
  strncpy (ask->service, service, sizeof ask->service - 1);
  ev_timer_init (&ask->limit, limit_cb, timeout_ms / 1000.0, 0);
  ask->limit.data = ask;
  ev_timer_start (task->options.loop, &ask->limit);
  DL_APPEND (task->queries, ask);
  choose_hosts (ask);
  struct peer_message message
      = { .type = PEER_IN_FORCE_REQUEST,
          .in_force = { .request_id = ask->id, .version = version } };
  memcpy (message.in_force.service, ask->service, sizeof ask->service);
  for (size_t i = 0; i < ask->count; i++)
    {
      struct control_host *host = control_hosts_find (task, ask->hosts[i].key);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, &message);
    }
  note_answer (ask, task->self->key, own_version (task, service));
}

void
control_query_receive (struct control_task *task,
                       const struct control_source *source,
                       const struct peer_message *message)
{
  if (message->type == PEER_IN_FORCE_REQUEST)
    {
      struct peer_message answer = *message;
      answer.type = PEER_IN_FORCE_ANSWER;
      answer.in_force.version = own_version (task, message->in_force.service);
      control_reply (task, source, &answer);
      return;
    }
  struct control_query *ask;
  DL_FOREACH (task->queries, ask)
  {
    if (ask->id != message->in_force.request_id)
      continue;
    note_answer (ask, source->host->key, message->in_force.version);
    return;
  }
}

void
control_cancel_queries (struct control_task *task, void *owner)
{
  struct control_query *ask;
  struct control_query *next;
  DL_FOREACH_SAFE (task->queries, ask, next)
  {
    if (ask->owner == owner)
      ask_free (ask);
  }
}

void
control_query_release (struct control_task *task)
{
  struct control_query *ask;
  struct control_query *next;
  DL_FOREACH_SAFE (task->queries, ask, next)
  {
    ask_free (ask);
  }
}
