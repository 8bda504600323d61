#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  /** Leading relays ask so many times within the bound for keys: what they
   * know is then up to two of these parts old, and two heartbeats on the way
   * leave room. */
  ASKS_PER_BOUND = 5,
  /** From so many hundredths of the bound on, the leading relays are asked at
   * each heartbeat. */
  ASK_RELAYS_PERCENT = 40,
  /** From here on the platform is asked: by some hosts early and by others
   * late, so that the first ones' answers reach the rest. */
  ASK_PLATFORM_PERCENT = 50,
  ASK_PLATFORM_SPREAD_PERCENT = 30,
  /** A question to the platform is for the answer alone: it waits for no
   * change. */
  NO_WAIT_MS = 1,
  /** Between two questions of this host, asked because requests wait. */
  ASK_AGAIN_MS = 250,
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
  const uint32_t most_ms = bound_ms (task) / ASKS_PER_BOUND;
  return control_freshness_is_required (task) && most_ms < watch_ms ? most_ms
                                                                    : watch_ms;
}

/* The caller task keeps a proof of its own, since a configuration that is in
   force here may still be on its way to it. */
static void
tell_caller (struct control_task *task, const struct freshness_proof *proof)
{
  const struct bus_message message
      = { .topic = BUS_FRESHNESS, .freshness = *proof };
  bus_post (task->options.bus, &message);
}

static void
prove (struct control_task *task, const struct freshness_proof *proof)
{
  const struct freshness_proof before = freshness_get_proof (&task->freshness);
  freshness_add_proof (&task->freshness, proof);
  if (proof->version > before.version || proof->time_ms > before.time_ms)
    tell_caller (task, proof);
}

static void ask_platform (struct control_task *task, int64_t now_ms);

void
control_freshness_note_current (struct control_task *task, int64_t asked_ms)
{
  const struct fleet_config *config
      = task->registry != NULL ? registry_config (task->registry) : NULL;
  if (config == NULL)
    return;
  const struct freshness_proof proof
      = { .version = config->version, .time_ms = asked_ms };
  prove (task, &proof);
}

void
control_freshness_note_change (struct control_task *task)
{
  if (control_freshness_is_required (task))
    ask_platform (task, clock_now_ms ());
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
  prove (task, &proof);
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
ask_done (void *owner, const struct platform_reply *reply)
{
  struct control_freshness_query *ask = owner;
  struct control_task *task = ask->task;
  ask->is_waiting = false;
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
                            reply->objects[i].version,
                            reply->objects[i].value);
  ask->revision = reply->revision;
  if (reply->count > 0)
    ask_platform (task, clock_now_ms ());
  else
    control_freshness_note_current (task, ask->asked_ms);
}

/* A watch that ends at once.  One that shows changes may hold some of them
   only, so it is asked again until there are none. */
static void
ask_platform (struct control_task *task, int64_t now_ms)
{
  const struct control_feed *feed = &task->feeds[0];
  struct control_freshness_query *ask = &task->freshness_query;
  if (ask->is_waiting || !feed->is_listed)
    return;
  if (ask->revision < feed->revision)
    ask->revision = feed->revision;
  ask->is_waiting = true;
  ask->asked_ms = now_ms;
  platform_watch (task->options.platform, PLATFORM_KIND_CONFIG, ask->revision,
                  NO_WAIT_MS, PLATFORM_READ_LATEST, ask_done, ask);
}

static void
ask_relays (struct control_task *task, int64_t now_ms)
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
  if (percent >= ASK_RELAYS_PERCENT)
    ask_relays (task, now_ms);
  if (percent >= ASK_PLATFORM_PERCENT
                     + rng_below (&task->random, ASK_PLATFORM_SPREAD_PERCENT))
    ask_platform (task, now_ms);
}

/* Requests wait to be judged. */
static void
on_wanted (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const int64_t now_ms = clock_now_ms ();
  if (now_ms - task->freshness_query.asked_ms < ASK_AGAIN_MS)
    return;
  ask_relays (task, now_ms);
  ask_platform (task, now_ms);
}

void
control_freshness_start (struct control_task *task)
{
  freshness_init (&task->freshness);
  task->freshness_query.task = task;
  task->freshness_query.asked_ms = INT64_MIN / 2;
  bus_subscribe (task->options.bus, BUS_FRESHNESS_REQUESTED, on_wanted, task);
}

void
control_freshness_stop (struct control_task *task)
{
  platform_cancel (task->options.platform, &task->freshness_query);
}
