#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"

enum
{
  /** Scores computed per loop iteration.  This takes well below a
   * millisecond, so that a change of hosts doesn't delay requests when there
   * are many services. */
  SCORES_PER_TURN = 20000,
  /** Enough to include several hosts outside any set of a few hosts. */
  SAMPLE_HOSTS = 16,
};

static bool
is_candidate (const struct control_task *task, const struct control_host *host)
{
  if (host == task->self)
    return !task->is_leaving && !task->is_stale;
  return host->record.peer_address[0] != '\0'
         && membership_is_usable (task->membership, host->key);
}

static struct fleet_host
make_fleet_host (const struct control_host *host)
{
  const uint32_t capacity = host->record.capacity;
  return (struct fleet_host){ .key = host->key,
                              .dc = hash_string (host->record.dc),
                              .weight = capacity > 0 ? capacity
                                                     : HOST_CAPACITY_UNKNOWN };
}

static void
collect_usable_hosts (struct control_task *task)
{
  const struct control_host *host;
  task->fleet = xreallocarray (task->fleet, HASH_COUNT (task->hosts),
                               sizeof *task->fleet);
  task->fleet_count = 0;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    if (is_candidate (task, host))
      task->fleet[task->fleet_count++] = make_fleet_host (host);
}

/* If no other host is usable, send heartbeats to all known ones: this host
   may be the one that was disconnected. */
static size_t
collect_known_hosts (const struct control_task *task, struct fleet_host *fleet)
{
  const struct control_host *host;
  size_t count = 0;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    if (host != task->self
        && membership_state (task->membership, host->key) != MEMBER_LEAVING)
      fleet[count++] = make_fleet_host (host);
  return count;
}

static bool
knows_others (const struct control_task *task)
{
  for (size_t i = 0; i < task->fleet_count; i++)
    if (task->fleet[i].key != task->self->key)
      return true;
  return false;
}

static void
monitor_neighbours (struct control_task *task)
{
  const struct fleet_host self = make_fleet_host (task->self);
  struct fleet_host *all = NULL;
  const struct fleet_host *fleet = task->fleet;
  size_t fleet_count = task->fleet_count;
  if (!knows_others (task))
    {
      all = xcalloc (HASH_COUNT (task->hosts), sizeof *all);
      fleet_count = collect_known_hosts (task, all);
      fleet = all;
    }
  struct fleet_choice choice;
  uint64_t keys[FLEET_DCS_MAX * FLEET_HOSTS_PER_DC_MAX];
  neighbours_choose (&self, fleet, fleet_count, &choice);
  for (uint32_t i = 0; i < choice.count; i++)
    keys[i] = fleet[choice.hosts[i]].key;
  free (all);
  membership_monitor (task->membership, clock_now_ms (), keys, choice.count);
}

/* When the hosts of a fleet start together, each knows only itself for a
   moment and would consider itself the only relay.  All of them would read the
   newest state of everything from the platform, at the full cost. */
static bool
is_leading_relay (const struct control_task *task)
{
  if (task->settled_ms == 0)
    return false;
  for (uint32_t i = 0; i < task->leading.count; i++)
    if (task->fleet[task->leading.hosts[i]].key == task->self->key)
      return true;
  return false;
}

static void
select_leading_relays (struct control_task *task, uint32_t per_dc)
{
  const uint32_t max_count
      = relays_leading_count (task->fleet, task->fleet_count, per_dc);
  task->leading = task->relays;
  if (task->leading.count > max_count)
    task->leading.count = max_count;
}

static void
select_relays (struct control_task *task)
{
  uint32_t per_dc = task->options.settings->relays_per_dc;
  if (per_dc > FLEET_HOSTS_PER_DC_MAX)
    per_dc = FLEET_HOSTS_PER_DC_MAX;
  relays_choose (task->fleet, task->fleet_count, per_dc, &task->relays);
  const bool was_relay = task->is_relay;
  const bool was_leading = task->is_leading;
  task->is_relay = control_hosts_is_relay (task, task->self->key);
  select_leading_relays (task, per_dc);
  task->is_leading = is_leading_relay (task);
  if (was_relay != task->is_relay || was_leading != task->is_leading)
    LOG_INFO ("relay", LOG_INT ("is_relay", task->is_relay),
              LOG_INT ("is_leading", task->is_leading),
              LOG_INT ("relays", task->relays.count));
}

static void
fill_entry (struct bus_host_entry *entry, const struct host_record *record)
{
  memcpy (entry->name, record->name, sizeof record->name);
  memcpy (entry->dc, record->dc, sizeof record->dc);
  memcpy (entry->caller_address, record->caller_address,
          sizeof record->caller_address);
}

/* Other hosts through which targets can be reached that this host and the
   others of its sets can't connect to. */
static void
post_sample (struct control_task *task)
{
  struct bus_message message = { .topic = BUS_HOST_SAMPLE };
  struct bus_host_set *sample = &message.host_set;
  sample->hosts = xcalloc (SAMPLE_HOSTS, sizeof *sample->hosts);
  for (size_t i = 0; i < SAMPLE_HOSTS && task->fleet_count > 0; i++)
    {
      const uint32_t index
          = rng_below (&task->random, (uint32_t)task->fleet_count);
      const struct control_host *host
          = control_hosts_find (task, task->fleet[index].key);
      if (host != NULL && host != task->self)
        fill_entry (&sample->hosts[sample->count++], &host->record);
    }
  bus_post (task->options.bus, &message);
}

static void
post_set (struct control_task *task, const struct control_service *service)
{
  struct bus_message message
      = { .topic = BUS_HOST_SET,
          .host_set = { .self = service->includes_self,
                        .count = service->set_count,
                        .fleet_count = task->fleet_count } };
  struct bus_host_set *host_set = &message.host_set;
  memcpy (host_set->service, service->name, sizeof host_set->service);
  host_set->hosts = xcalloc (service->set_count, sizeof *host_set->hosts);
  for (size_t i = 0; i < service->set_count; i++)
    fill_entry (&host_set->hosts[i],
                &control_hosts_find (task, service->set[i])->record);
  bus_post (task->options.bus, &message);
  LOG_INFO ("host-set", LOG_STR ("service", service->name),
            LOG_INT ("hosts", service->set_count),
            LOG_INT ("self", service->includes_self));
}

/* Distinguishes a set from one of the same hosts after restarts, whose
   addresses may differ. */
static uint64_t
compute_set_hash (const struct control_task *task,
                  const struct fleet_choice *choice)
{
  uint64_t hash = choice->count;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const uint64_t key = task->fleet[choice->hosts[i]].key;
      hash = hash_pair (hash, key);
      hash = hash_pair (hash,
                        control_hosts_find (task, key)->record.incarnation);
    }
  return hash;
}

/* The maximum request rate of the targets of all services that share
   SERVICE's set. */
static uint64_t
group_rate (const struct control_task *task,
            const struct control_service *service)
{
  uint64_t rate = 0;
  const struct control_service *other;
  for (other = task->services; other != NULL; other = other->hh.next)
    if (other->key == service->key)
      rate += other->rate;
  return host_set_round_rate (rate);
}

static void
select_set (struct control_task *task, struct control_service *service)
{
  struct host_set_requirement requirement
      = { .per_dc = task->options.settings->set_hosts_per_dc,
          .rate = group_rate (task, service) };
  if (requirement.per_dc > FLEET_HOSTS_PER_DC_MAX)
    requirement.per_dc = FLEET_HOSTS_PER_DC_MAX;
  struct fleet_choice choice;
  host_set_choose (service->key, task->fleet, task->fleet_count, &requirement,
                   &choice);
  service->fleet_generation = task->fleet_generation;
  const uint64_t hash = compute_set_hash (task, &choice);
  if (service->is_published && service->set_hash == hash)
    return;
  service->is_published = true;
  service->set_hash = hash;
  service->set_count = choice.count;
  service->includes_self = false;
  service->set
      = xreallocarray (service->set, choice.count, sizeof *service->set);
  for (uint32_t i = 0; i < choice.count; i++)
    {
      service->set[i] = task->fleet[choice.hosts[i]].key;
      if (service->set[i] == task->self->key)
        service->includes_self = true;
    }
  post_set (task, service);
}

static void
refresh_fleet (struct control_task *task)
{
  task->hosts_changed = false;
  task->fleet_generation++;
  collect_usable_hosts (task);
  select_relays (task);
  quota_coordinators_choose (task->fleet, task->fleet_count,
                             &task->coordinators);
  monitor_neighbours (task);
  control_platform_wake (task);
  const struct bus_message message = { .topic = BUS_MEMBERS };
  bus_post (task->options.bus, &message);
  post_sample (task);
}

bool
control_sets_refresh (struct control_task *task)
{
  if (task->hosts_changed || task->fleet_generation == 0)
    refresh_fleet (task);
  size_t scores = 0;
  struct control_service *service;
  for (service = task->services; service != NULL; service = service->hh.next)
    {
      if (service->fleet_generation == task->fleet_generation)
        continue;
      if (scores > SCORES_PER_TURN)
        return true;
      select_set (task, service);
      scores += task->fleet_count + HASH_COUNT (task->services);
    }
  return false;
}

void
control_sets_free_service (struct control_service *service)
{
  free (service->set);
  free (service);
}

size_t
control_quota_coordinators (const struct control_task *task,
                            const char **names, size_t max)
{
  const char *own_dc = task->self->record.dc;
  size_t count = 0;
  for (uint32_t i = 0; i < task->coordinators.count && count < max; i++)
    {
      const uint64_t key = task->fleet[task->coordinators.hosts[i]].key;
      const struct control_host *host = control_hosts_find (task, key);
      if (host == NULL)
        continue;
      names[count++] = host->record.name;
      if (strcmp (host->record.dc, own_dc) != 0)
        continue;
      const char *first = names[0];
      names[0] = names[count - 1];
      names[count - 1] = first;
    }
  return count;
}

uint32_t
control_listed_host_count (const struct control_task *task)
{
  const struct control_feed *feed = &task->feeds[task->feed_count - 1];
  const struct control_host *host;
  uint32_t count = 0;
  if (!feed->is_listed)
    return 0;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    if (!host->is_removed)
      count++;
  return count;
}

size_t
control_host_set (const struct control_task *task, const char *service,
                  const char **names, size_t max)
{
  const struct control_service *found;
  HASH_FIND_STR (task->services, service, found);
  if (found == NULL)
    return 0;
  size_t count = 0;
  for (size_t i = 0; i < found->set_count && count < max; i++)
    {
      const struct control_host *host
          = control_hosts_find (task, found->set[i]);
      if (host != NULL)
        names[count++] = host->record.name;
    }
  return count;
}
