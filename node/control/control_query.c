#include "node/control/control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/hash.h"
#include "base/xmalloc.h"

enum
{
  /** In a larger fleet, only the service's hosts and the relays are
   * queried. */
  QUERY_ALL_HOSTS_MAX = 64,
};

enum query_state
{
  QUERY_UNANSWERED,
  QUERY_IN_FORCE,
  QUERY_OUTDATED
};

struct queried_host
{
  uint64_t key;
  enum query_state state;
};

struct control_query
{
  struct control_task *task;
  uint64_t id;
  char service[PEER_NAME_SIZE];
  uint64_t version;
  struct queried_host *hosts;
  size_t count;
  size_t answered;
  struct ev_timer timeout_timer;
  control_in_force_done *done;
  void *owner;
  struct control_query *prev;
  struct control_query *next;
};

/* The version in force here, or that of the removal. */
static uint64_t
local_version (const struct control_task *task, const char *name)
{
  const struct control_service *service;
  HASH_FIND_STR (task->services, name, service);
  if (service != NULL)
    return service->version;
  return settings_index_version (task->index,
                                 settings_key (PLATFORM_KIND_SERVICE, name));
}

static void
query_free (struct control_query *query)
{
  ev_timer_stop (query->task->options.loop, &query->timeout_timer);
  DL_DELETE (query->task->queries, query);
  free (query->hosts);
  free (query);
}

static const char *
host_name (const struct control_task *task, uint64_t key)
{
  const struct control_host *host = control_hosts_find (task, key);
  return host == NULL ? "(gone)" : host->record.name;
}

static void
finish (struct control_query *query)
{
  struct control_in_force result = { .queried = query->count };
  result.outdated = xcalloc (query->count, sizeof *result.outdated);
  result.unanswered = xcalloc (query->count, sizeof *result.unanswered);
  for (size_t i = 0; i < query->count; i++)
    {
      const char *name = host_name (query->task, query->hosts[i].key);
      switch (query->hosts[i].state)
        {
        case QUERY_IN_FORCE:
          result.in_force++;
          break;
        case QUERY_OUTDATED:
          result.outdated[result.outdated_count++] = name;
          break;
        case QUERY_UNANSWERED:
          result.unanswered[result.unanswered_count++] = name;
          break;
        }
    }
  control_in_force_done *done = query->done;
  void *owner = query->owner;
  query_free (query);
  done (owner, &result);
  free (result.outdated);
  free (result.unanswered);
}

static void
timeout_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  finish (watcher->data);
}

static void
record_answer (struct control_query *query, uint64_t key, uint64_t version)
{
  for (size_t i = 0; i < query->count; i++)
    {
      struct queried_host *host = &query->hosts[i];
      if (host->key != key || host->state == QUERY_IN_FORCE)
        continue;
      if (host->state == QUERY_UNANSWERED)
        query->answered++;
      host->state
          = version >= query->version ? QUERY_IN_FORCE : QUERY_OUTDATED;
    }
  if (query->answered < query->count)
    return;
  ev_timer_stop (query->task->options.loop, &query->timeout_timer);
  ev_timer_set (&query->timeout_timer, 0, 0);
  ev_timer_start (query->task->options.loop, &query->timeout_timer);
}

static void
add_host (struct control_query *query, uint64_t key)
{
  for (size_t i = 0; i < query->count; i++)
    if (query->hosts[i].key == key)
      return;
  query->hosts[query->count++] = (struct queried_host){ .key = key };
}

static void
select_hosts (struct control_query *query)
{
  const struct control_task *task = query->task;
  const size_t known = HASH_COUNT (task->hosts);
  const struct control_service *service;
  HASH_FIND_STR (task->services, query->service, service);
  const size_t set_count = service == NULL ? 0 : service->set_count;
  query->hosts
      = xcalloc (known + set_count + task->relays.count, sizeof *query->hosts);
  if (known <= QUERY_ALL_HOSTS_MAX)
    {
      const struct control_host *host;
      for (host = task->hosts; host != NULL; host = host->hh.next)
        if (membership_state (task->membership, host->key) != MEMBER_LEAVING
            || host == task->self)
          add_host (query, host->key);
      return;
    }
  add_host (query, task->self->key);
  for (size_t i = 0; i < set_count; i++)
    add_host (query, service->set[i]);
  for (uint32_t i = 0; i < task->relays.count; i++)
    add_host (query, task->fleet[task->relays.hosts[i]].key);
}

void
control_query_in_force (struct control_task *task, const char *service,
                        uint64_t version, uint32_t timeout_ms,
                        control_in_force_done *done, void *owner)
{
  struct control_query *query = xcalloc (1, sizeof *query);
  query->task = task;
  query->id = ++task->last_query_id;
  query->version = version;
  query->done = done;
  query->owner = owner;
  strncpy (query->service, service, sizeof query->service - 1);
  ev_timer_init (&query->timeout_timer, timeout_cb, timeout_ms / 1000.0, 0);
  query->timeout_timer.data = query;
  ev_timer_start (task->options.loop, &query->timeout_timer);
  DL_APPEND (task->queries, query);
  select_hosts (query);
  struct peer_message message
      = { .type = PEER_IN_FORCE_REQUEST,
          .in_force = { .request_id = query->id, .version = version } };
  memcpy (message.in_force.service, query->service, sizeof query->service);
  for (size_t i = 0; i < query->count; i++)
    {
      struct control_host *host
          = control_hosts_find (task, query->hosts[i].key);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, &message);
    }
  record_answer (query, task->self->key, local_version (task, service));
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
      answer.in_force.version
          = local_version (task, message->in_force.service);
      control_reply (task, source, &answer);
      return;
    }
  struct control_query *query;
  DL_FOREACH (task->queries, query)
  {
    if (query->id != message->in_force.request_id)
      continue;
    record_answer (query, source->host->key, message->in_force.version);
    return;
  }
}

void
control_cancel_queries (struct control_task *task, void *owner)
{
  struct control_query *query;
  struct control_query *next;
  DL_FOREACH_SAFE (task->queries, query, next)
  {
    if (query->owner == owner)
      query_free (query);
  }
}

void
control_query_release (struct control_task *task)
{
  struct control_query *query;
  struct control_query *next;
  DL_FOREACH_SAFE (task->queries, query, next)
  {
    query_free (query);
  }
}
