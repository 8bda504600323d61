#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  /** Leading relays finish this many watches within the bound for keys.
   * Their state is then at most two of these parts old, which leaves time for
   * two heartbeats on the way to other hosts. */
  WATCHES_PER_BOUND = 5,
  /** From this part of the bound on, the leading relays are queried with each
   * heartbeat. */
  QUERY_RELAYS_PERCENT = 40,
  /** From this part of the bound on, the platform is queried.  The start is
   * randomised over the spread, so that the responses to the first hosts
   * reach the others. */
  QUERY_PLATFORM_PERCENT = 50,
  QUERY_PLATFORM_SPREAD_PERCENT = 30,
  /** A query to the platform is a watch that ends at once instead of waiting
   * for a change. */
  QUERY_TIMEOUT_MS = 1,
  /** Minimum interval of queries that are made because requests wait. */
  QUERY_INTERVAL_MS = 250,
};

static uint32_t
bound_ms (const struct control_task *task)
{
  return task->options.settings->access.revoke_ms;
}

bool
control_freshness_is_required (const struct control_task *task)
{
  const struct fleet_config *config
      = task->registry != NULL ? registry_config (task->registry) : NULL;
  return bound_ms (task) > 0 && config != NULL && config->has_workspaces;
}

uint32_t
control_freshness_watch_ms (const struct control_task *task)
{
  const uint32_t watch_ms = task->options.settings->times.relay_watch_ms;
  const uint32_t max_ms = bound_ms (task) / WATCHES_PER_BOUND;
  return control_freshness_is_required (task) && max_ms < watch_ms ? max_ms
                                                                   : watch_ms;
}

/* The caller task keeps its own proof, since a configuration in force here
   may not have reached it yet. */
static void
post_proof (struct control_task *task, const struct freshness_proof *proof)
{
  const struct bus_message message
      = { .topic = BUS_FRESHNESS, .freshness = *proof };
  bus_post (task->options.bus, &message);
}

static void
add_proof (struct control_task *task, const struct freshness_proof *proof)
{
  const struct freshness_proof before = freshness_get_proof (&task->freshness);
  freshness_add_proof (&task->freshness, proof);
  control_outage_note_answer (task, proof->time_ms);
  if (proof->version > before.version || proof->time_ms > before.time_ms)
    post_proof (task, proof);
}

static void query_platform (struct control_task *task, int64_t now_ms);

void
control_freshness_note_current (struct control_task *task,
                                int64_t requested_ms)
{
  const struct fleet_config *config
      = task->registry != NULL ? registry_config (task->registry) : NULL;
  if (config == NULL)
    return;
  const struct freshness_proof proof
      = { .version = config->version, .time_ms = requested_ms };
  add_proof (task, &proof);
}

void
control_freshness_note_change (struct control_task *task)
{
  if (control_freshness_is_required (task))
    query_platform (task, clock_now_ms ());
}

void
control_freshness_receive_ack (struct control_task *task,
                               const struct peer_heartbeat *answer)
{
  if (answer->config_age_ms == FRESHNESS_AGE_UNKNOWN_MS)
    return;
  const struct freshness_proof proof
      = { .version = answer->config_version,
          .time_ms = (int64_t)answer->sequence - answer->config_age_ms };
  add_proof (task, &proof);
}

void
control_freshness_set_version_in_force (struct control_task *task,
                                        uint64_t version)
{
  freshness_set_version_in_force (&task->freshness, version);
}

bool
control_freshness_is_expired (const struct control_task *task, int64_t now_ms)
{
  return control_freshness_is_required (task) && task->settled_ms > 0
         && !freshness_is_within_bound (&task->freshness, now_ms,
                                        bound_ms (task));
}

static void
query_done (void *owner, const struct platform_reply *reply)
{
  struct control_freshness_query *query = owner;
  struct control_task *task = query->task;
  query->is_pending = false;
  if (reply->status != STATUS_OK)
    {
      LOG_WARN ("freshness-not-known",
                LOG_STR ("status", status_name (reply->status)),
                LOG_INT ("age_ms",
                         freshness_age_ms (&task->freshness, clock_now_ms ())),
                LOG_STR ("why", reply->message));
      return;
    }
  for (size_t i = 0; i < reply->count; i++)
    control_settings_apply (task, PLATFORM_KIND_CONFIG, reply->objects[i].name,
                            reply->objects[i].version, reply->objects[i].value,
                            "query");
  query->revision = reply->revision;
  if (reply->count > 0)
    query_platform (task, clock_now_ms ());
  else
    control_freshness_note_current (task, query->requested_ms);
}

/* A watch that ends at once.  One that returns changes may return only some
   of them, so it is repeated until there are none. */
static void
query_platform (struct control_task *task, int64_t now_ms)
{
  const struct control_feed *feed = &task->feeds[0];
  struct control_freshness_query *query = &task->freshness_query;
  if (query->is_pending || !feed->is_listed)
    return;
  if (query->revision < feed->revision)
    query->revision = feed->revision;
  query->is_pending = true;
  query->requested_ms = now_ms;
  platform_watch (task->options.platform, PLATFORM_KIND_CONFIG,
                  query->revision, QUERY_TIMEOUT_MS, PLATFORM_READ_LATEST,
                  query_done, query);
}

static void
query_relays (struct control_task *task, int64_t now_ms)
{
  for (uint32_t i = 0; i < task->leading.count; i++)
    {
      const uint64_t key = task->fleet[task->leading.hosts[i]].key;
      struct control_host *host = control_hosts_find (task, key);
      if (host != NULL && host != task->self)
        control_members_send_heartbeat (task, host, now_ms);
    }
}

void
control_freshness_tick (struct control_task *task, int64_t now_ms)
{
  if (!control_freshness_is_required (task))
    return;
  const uint32_t bound = bound_ms (task);
  const uint32_t age_ms = freshness_age_ms (&task->freshness, now_ms);
  const uint64_t percent = (uint64_t)age_ms * 100 / bound;
  if (percent >= QUERY_RELAYS_PERCENT)
    query_relays (task, now_ms);
  if (percent
      >= QUERY_PLATFORM_PERCENT
             + rng_below (&task->random, QUERY_PLATFORM_SPREAD_PERCENT))
    query_platform (task, now_ms);
}

/* Requests wait for a proof of freshness. */
static void
on_requested (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const int64_t now_ms = clock_now_ms ();
  if (now_ms - task->freshness_query.requested_ms < QUERY_INTERVAL_MS)
    return;
  query_relays (task, now_ms);
  query_platform (task, now_ms);
}

void
control_freshness_start (struct control_task *task)
{
  freshness_init (&task->freshness);
  task->freshness_query.task = task;
  task->freshness_query.requested_ms = INT64_MIN / 2;
  bus_subscribe (task->options.bus, BUS_FRESHNESS_REQUESTED, on_requested,
                 task);
}

void
control_freshness_stop (struct control_task *task)
{
  platform_cancel (task->options.platform, &task->freshness_query);
}
