#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

static uint32_t
contact_age_ms (const struct control_task *task, int64_t now_ms)
{
  if (control_platform_is_current (task))
    return 0;
  const int64_t age = now_ms - task->last_contact_ms;
  return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

/* The sequence is the time of sending.  An answer proves that the host was
   reachable at that time, however late it arrives. */
static struct peer_message
make_heartbeat (const struct control_task *task, enum peer_type type,
                uint64_t sequence)
{
  return (struct peer_message){
    .type = type,
    .heartbeat
    = { .sequence = sequence,
        .relay_age_ms = contact_age_ms (task, clock_now_ms ()),
        .leaving = task->is_leaving,
        .settings_hash = settings_index_hash (task->index),
        .config_version = freshness_get_proof (&task->freshness).version,
        .config_age_ms = freshness_age_ms (&task->freshness, clock_now_ms ()) }
  };
}

/* Hosts that aren't on the platform's list are known from this description
   only. */
static void
add_description (const struct control_task *task,
                 struct peer_member_update *entry)
{
  const struct control_host *host = control_hosts_find (task, entry->host_key);
  if (host == NULL || host->is_listed)
    return;
  const struct host_record *record = &host->record;
  memcpy (entry->name, record->name, sizeof entry->name);
  memcpy (entry->dc, record->dc, sizeof entry->dc);
  memcpy (entry->peer_address, record->peer_address,
          sizeof entry->peer_address);
  memcpy (entry->caller_address, record->caller_address,
          sizeof entry->caller_address);
}

static void
send_gossip (struct control_task *task, struct control_host *host)
{
  struct member_update updates[CONTROL_GOSSIP_UPDATES_MAX];
  struct peer_member_update entries[CONTROL_GOSSIP_UPDATES_MAX] = { 0 };
  const size_t count = membership_gossip (task->membership, updates,
                                          CONTROL_GOSSIP_UPDATES_MAX);
  if (count == 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      entries[i].host_key = updates[i].key;
      entries[i].incarnation = updates[i].incarnation;
      entries[i].counter = updates[i].counter;
      entries[i].state = (uint8_t)updates[i].state;
      add_description (task, &entries[i]);
    }
  const struct peer_message message
      = { .type = PEER_MEMBERS,
          .members = { .updates = entries, .count = count } };
  control_hosts_send (task, host, &message);
}

void
control_members_send_heartbeat (struct control_task *task,
                                struct control_host *host, int64_t now_ms)
{
  struct peer_message message
      = make_heartbeat (task, PEER_HEARTBEAT, (uint64_t)now_ms);
  message.heartbeat.return_requested
      = membership_requests_return (task->membership, host->key);
  control_hosts_send (task, host, &message);
}

void
control_members_gossip (struct control_task *task)
{
  uint64_t keys[CONTROL_MONITORED_MAX];
  const size_t count
      = membership_monitored (task->membership, keys, CONTROL_MONITORED_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct control_host *host = control_hosts_find (task, keys[i]);
      if (host != NULL && host->link != NULL)
        send_gossip (task, host);
    }
}

/* After a long network partition, each half of the fleet considers the other
   dead and monitors none of its hosts.  Without probes the halves would never
   reconnect and would remain two fleets with separate host sets.  One dead
   host is probed per heartbeat interval. */
static void
probe_dead (struct control_task *task, int64_t now_ms)
{
  struct control_host *host = control_hosts_find (task, task->last_probed_key);
  const size_t count = HASH_COUNT (task->hosts);
  for (size_t i = 0; i < count; i++)
    {
      host = host == NULL ? NULL : host->hh.next;
      if (host == NULL)
        host = task->hosts;
      if (membership_state (task->membership, host->key) != MEMBER_DEAD)
        continue;
      task->last_probed_key = host->key;
      control_members_send_heartbeat (task, host, now_ms);
      return;
    }
}

/* Asks a few other hosts to check those that don't answer here. */
static void
request_indirect_checks (struct control_task *task, const uint64_t *monitored,
                         size_t count, int64_t now_ms)
{
  uint64_t undecided[CONTROL_UNDECIDED_MAX];
  const size_t undecided_count = membership_undecided (
      task->membership, undecided, CONTROL_UNDECIDED_MAX);
  for (size_t u = 0; u < undecided_count; u++)
    {
      const struct peer_message message
          = { .type = PEER_INDIRECT_CHECK,
              .indirect = { .host_key = undecided[u] } };
      const size_t start = rng_below (&task->random, count);
      size_t requested = 0;
      for (size_t i = 0; i < count && requested < CONTROL_INDIRECT_CHECKERS;
           i++)
        {
          const uint64_t key = monitored[(start + i) % count];
          struct control_host *host = control_hosts_find (task, key);
          if (host == NULL || key == undecided[u]
              || !membership_has_recent_answer (task->membership, now_ms, key))
            continue;
          control_hosts_send (task, host, &message);
          requested++;
        }
    }
}

static void
update_staleness (struct control_task *task, int64_t now_ms)
{
  const uint32_t limit_ms = task->options.settings->times.stale_after_ms;
  const bool is_stale = now_ms - task->last_contact_ms >= limit_ms
                        || control_freshness_is_expired (task, now_ms);
  if (is_stale == task->is_stale)
    return;
  task->is_stale = is_stale;
  if (is_stale)
    LOG_WARN (
        "stale", LOG_INT ("silent_ms", now_ms - task->last_contact_ms),
        LOG_INT ("config_age_ms", freshness_age_ms (&task->freshness, now_ms)),
        LOG_STR ("effect", "this host isn't handed out"));
  else
    LOG_INFO ("not-stale", LOG_STR ("effect", "this host is handed out"));
  control_hosts_changed (task);
}

void
control_members_note_contact (struct control_task *task, int64_t at_ms)
{
  if (at_ms > task->last_contact_ms)
    task->last_contact_ms = at_ms;
}

void
control_members_tick (struct control_task *task, int64_t now_ms)
{
  uint64_t keys[CONTROL_MONITORED_MAX];
  membership_tick (task->membership, now_ms);
  control_members_apply_changes (task);
  const size_t count
      = membership_monitored (task->membership, keys, CONTROL_MONITORED_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct control_host *host = control_hosts_find (task, keys[i]);
      if (host == NULL)
        continue;
      control_members_send_heartbeat (task, host, now_ms);
      send_gossip (task, host);
    }
  request_indirect_checks (task, keys, count, now_ms);
  probe_dead (task, now_ms);
  update_staleness (task, now_ms);
  control_freshness_tick (task, now_ms);
}

void
control_members_apply_changes (struct control_task *task)
{
  struct member_update change;
  bool is_changed = false;
  while (membership_next_change (task->membership, &change))
    {
      struct control_host *host = control_hosts_find (task, change.key);
      is_changed = true;
      if (host == NULL || host == task->self)
        continue;
      control_cleanup_note_state (host, change.state, clock_now_ms ());
      LOG_INFO ("member", LOG_STR ("host", host->record.name),
                LOG_STR ("state", member_state_name (change.state)),
                LOG_INT ("incarnation", change.incarnation),
                LOG_INT ("usable",
                         membership_is_usable (task->membership, change.key)));
    }
  if (!is_changed)
    return;
  control_hosts_changed (task);
}

static void
handle_heartbeat (struct control_task *task,
                  const struct control_source *source,
                  const struct peer_heartbeat *heartbeat)
{
  const int64_t now_ms = clock_now_ms ();
  membership_note_heartbeat (task->membership, now_ms, source->host->key,
                             source->host->record.incarnation,
                             heartbeat->leaving, heartbeat->return_requested);
  const struct peer_message answer
      = make_heartbeat (task, PEER_HEARTBEAT_ACK, heartbeat->sequence);
  control_reply (task, source, &answer);
}

static void
complete_indirect_checks (struct control_task *task, uint64_t subject)
{
  size_t kept = 0;
  for (size_t i = 0; i < task->indirect_check_count; i++)
    {
      const struct control_indirect_check check = task->indirect_checks[i];
      if (check.subject != subject)
        {
          task->indirect_checks[kept++] = check;
          continue;
        }
      struct control_host *requester
          = control_hosts_find (task, check.requester);
      const struct peer_message message
          = { .type = PEER_INDIRECT_RESULT,
              .indirect = { .host_key = subject, .reachable = true } };
      if (requester != NULL)
        control_hosts_send (task, requester, &message);
    }
  task->indirect_check_count = kept;
}

static void
handle_ack (struct control_task *task, const struct control_source *source,
            const struct peer_heartbeat *heartbeat)
{
  const int64_t now_ms = clock_now_ms ();
  if (heartbeat->sequence > (uint64_t)now_ms)
    return;
  membership_note_answer (task->membership, (int64_t)heartbeat->sequence,
                          source->host->key, source->host->record.incarnation);
  control_contact_note_answer (task, heartbeat);
  control_freshness_receive_ack (task, heartbeat);
  complete_indirect_checks (task, source->host->key);
}

static void
handle_indirect_check (struct control_task *task,
                       const struct control_source *source, uint64_t subject)
{
  const int64_t now_ms = clock_now_ms ();
  struct control_host *host = control_hosts_find (task, subject);
  if (host == NULL || host == task->self)
    return;
  size_t index = task->indirect_check_count;
  if (index < CONTROL_INDIRECT_CHECKS_MAX)
    task->indirect_check_count++;
  else
    index = rng_below (&task->random, CONTROL_INDIRECT_CHECKS_MAX);
  task->indirect_checks[index] = (struct control_indirect_check){
    .requester = source->host->key, .subject = subject, .requested_ms = now_ms
  };
  control_members_send_heartbeat (task, host, now_ms);
}

/* Hosts that no longer exist would be gossiped about forever: each host that
   has removed one learns of it again from one that hasn't.  The lists would
   grow with every host ever replaced. */
static bool
was_removed (const struct control_task *task, uint64_t key)
{
  const struct control_host *host = control_hosts_find (task, key);
  if (host == NULL)
    return true;
  return host->is_removed
         && membership_state (task->membership, key) >= MEMBER_DEAD;
}

static void
handle_update (struct control_task *task,
               const struct peer_member_update *entry, int64_t now_ms)
{
  if (entry->state > MEMBER_LEAVING
      || (entry->state >= MEMBER_DEAD && was_removed (task, entry->host_key)))
    return;
  struct host_record record = { .incarnation = entry->incarnation };
  memcpy (record.name, entry->name, sizeof record.name);
  memcpy (record.dc, entry->dc, sizeof record.dc);
  memcpy (record.peer_address, entry->peer_address,
          sizeof record.peer_address);
  memcpy (record.caller_address, entry->caller_address,
          sizeof record.caller_address);
  if (record.name[0] != '\0' && record.peer_address[0] != '\0'
      && hash_string (record.name) == entry->host_key
      && entry->host_key != task->self->key)
    control_hosts_update (task, &record);
  if (control_hosts_find (task, entry->host_key) == NULL)
    return;
  const struct member_update update
      = { .key = entry->host_key,
          .incarnation = entry->incarnation,
          .counter = entry->counter,
          .state = (enum member_state)entry->state };
  membership_merge (task->membership, now_ms, &update);
}

void
control_members_receive (struct control_task *task,
                         const struct control_source *source,
                         const struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_HEARTBEAT:
      handle_heartbeat (task, source, &message->heartbeat);
      control_settings_compare (task, source,
                                message->heartbeat.settings_hash);
      break;
    case PEER_HEARTBEAT_ACK:
      handle_ack (task, source, &message->heartbeat);
      control_settings_compare (task, source,
                                message->heartbeat.settings_hash);
      break;
    case PEER_INDIRECT_CHECK:
      handle_indirect_check (task, source, message->indirect.host_key);
      break;
    case PEER_INDIRECT_RESULT:
      if (message->indirect.reachable)
        membership_note_indirect_answer (task->membership, clock_now_ms (),
                                         message->indirect.host_key);
      break;
    case PEER_MEMBERS:
      for (size_t i = 0; i < message->members.count; i++)
        handle_update (task, &message->members.updates[i], clock_now_ms ());
      break;
    default:
      break;
    }
  control_members_apply_changes (task);
}

void
control_members_send_heartbeats (struct control_task *task, int64_t now_ms)
{
  uint64_t keys[CONTROL_MONITORED_MAX];
  const size_t count
      = membership_monitored (task->membership, keys, CONTROL_MONITORED_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct control_host *host = control_hosts_find (task, keys[i]);
      if (host != NULL)
        control_members_send_heartbeat (task, host, now_ms);
    }
}

void
control_members_leave (struct control_task *task)
{
  membership_leave (task->membership);
  control_members_send_heartbeats (task, clock_now_ms ());
  control_members_apply_changes (task);
}
