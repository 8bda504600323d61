#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"

enum
{
  /* Delay between failed platform calls; doubles up to the maximum. */
  PLATFORM_RETRY_MS = 100,
  PLATFORM_RETRY_MAX_MS = 5000,
  /* Number of owner leases for which an owner that only other hosts receive
     from isn't replaced. */
  REPORTED_OWNER_LEASES = 4,
  /* Polls without outcomes in the enforcement time of a decision. */
  POLLS_PER_ENFORCEMENT = 4,
  /* How long a host outside the set polls after its last outcome. */
  OUTSIDER_ACTIVE_MS = 10000,
};

static struct floor_owner *
create_owner (const struct ejection_task *task)
{
  uint64_t seed;
  rng_secure_bytes (&seed, sizeof seed);
  const struct floor_owner_options options = {
    .host = task->options.settings->name,
    .incarnation = task->options.incarnation,
    .seed = seed,
    .enforce_ms = task->options.settings->times.enforce_ms,
    .authority_ms = task->options.settings->times.outage_hold_ms,
    .retry_ms = PLATFORM_RETRY_MS,
    .retry_max_ms = PLATFORM_RETRY_MAX_MS,
  };
  return floor_owner_create (&options);
}

struct ejection_service *
ejection_service_create (struct ejection_task *task, const char *name)
{
  struct ejection_service *service = xcalloc (1, sizeof *service);
  service->task = task;
  snprintf (service->name, sizeof service->name, "%s", name);
  service->owner = create_owner (task);
  service->restores = task->options.platform->restores;
  service->view = floor_view_create ();
  service->owner_seen_ms = ejection_now_ms (task);
  service->last_outcome_ms = service->owner_seen_ms - OUTSIDER_ACTIVE_MS;
  service->rank = -1;
  service->why = "-";
  return service;
}

void
ejection_service_destroy (struct ejection_service *service)
{
  platform_cancel (service->task->options.platform, service);
  ejection_owner_clear (service);
  floor_owner_destroy (service->owner);
  floor_view_destroy (service->view);
  service_spec_destroy (service->spec);
  free (service->keys);
  free (service->hosts);
  free (service->trials);
  free (service->posted.names);
  free (service->announced.names);
  free (service->avoided.names);
  free (service->path_faults);
  free (service);
}

uint64_t
ejection_target_key (const struct ejection_service *service, const char *name)
{
  for (size_t i = 0; service->spec != NULL && i < service->spec->target_count;
       i++)
    if (strcmp (service->spec->targets[i].name, name) == 0)
      return service->keys[i];
  return 0;
}

const char *
ejection_target_name (const struct ejection_service *service, uint64_t key)
{
  for (size_t i = 0; service->spec != NULL && i < service->spec->target_count;
       i++)
    if (service->keys[i] == key)
      return service->spec->targets[i].name;
  return NULL;
}

static void
update_floor_spec (struct ejection_service *service)
{
  const struct service_spec *spec = service->spec;
  struct floor_target *targets
      = xcalloc (spec->target_count + 1, sizeof *targets);
  for (size_t i = 0; i < spec->target_count; i++)
    {
      memcpy (targets[i].name, spec->targets[i].name, sizeof targets[i].name);
      targets[i].capacity = spec->targets[i].capacity;
      targets[i].active = spec->targets[i].state == TARGET_STATE_ACTIVE;
    }
  const struct floor_spec floor_spec
      = { .version = spec->version,
          .floor_capacity = spec->floor_capacity,
          .paused = spec->ejection_paused,
          .targets = targets,
          .count = spec->target_count };
  service->why = "settings";
  floor_owner_set_spec (service->owner, ejection_now_ms (service->task),
                        &floor_spec);
  free (targets);
}

/* An ejection is the owner's judgement of a process.  The next process of the
   target begins without it, unless an operator has ejected the target. */
static void
reinstate_restarted (struct ejection_service *service,
                     const struct service_spec *spec)
{
  service->why = "restarted";
  for (size_t i = 0; i < spec->target_count; i++)
    {
      const struct target_spec *target = &spec->targets[i];
      const uint64_t former = ejection_target_key (service, target->name);
      if (former != 0
          && former != service_spec_target_key (service->name, target))
        floor_owner_reinstate (service->owner, ejection_now_ms (service->task),
                               target->name, false);
    }
}

void
ejection_service_set_spec (struct ejection_service *service,
                           const struct service_spec *spec)
{
  if (service->spec != NULL && spec->version < service->spec->version)
    return;
  reinstate_restarted (service, spec);
  service_spec_destroy (service->spec);
  service->spec = service_spec_copy (spec);
  service->keys = xreallocarray (service->keys, spec->target_count + 1,
                                 sizeof *service->keys);
  for (size_t i = 0; i < spec->target_count; i++)
    service->keys[i]
        = service_spec_target_key (service->name, &spec->targets[i]);
  update_floor_spec (service);
  ejection_owner_update (service);
}

void
ejection_service_set_hosts (struct ejection_service *service,
                            const struct bus_host_set *set)
{
  const char *self = service->task->options.settings->name;
  service->hosts
      = xreallocarray (service->hosts, set->count + 1, sizeof *service->hosts);
  service->host_count = set->count;
  service->rank = -1;
  for (size_t i = 0; i < set->count; i++)
    {
      memcpy (service->hosts[i], set->hosts[i].name, sizeof service->hosts[i]);
      if (strcmp (set->hosts[i].name, self) == 0)
        service->rank = (int)i;
    }
  if (service->rank < 0)
    ejection_owner_release (service);
}

static size_t
collect_evidence (struct ejection_service *service)
{
  const struct ejection_task_options *options = &service->task->options;
  struct detection_recorder *recorder
      = options->recorder (options->recorder_owner, service->name);
  if (recorder == NULL)
    return 0;
  const size_t count = detection_recorder_collect (
      recorder, service->task->items, EJECTION_ITEMS_MAX);
  if (count > 0)
    service->last_outcome_ms = ejection_now_ms (service->task);
  return count;
}

/* A host outside the set polls the owner only while it serves the service;
   otherwise each host would poll for all services.  The outcomes that show
   that it has begun to serve are dropped. */
static bool
polls_owner (struct ejection_service *service)
{
  const int64_t now_ms = ejection_now_ms (service->task);
  if (service->rank >= 0
      || now_ms < service->last_outcome_ms + OUTSIDER_ACTIVE_MS)
    return service->host_count > 0;
  const bool has_begun = collect_evidence (service) > 0;
  return has_begun && service->host_count > 0;
}

/* A decrease to less than half is reported at once, a smaller one with the
   next poll: no request waits for the slots that become free. */
static bool
demand_changed (const struct ejection_service *service, uint32_t demand)
{
  return demand > service->reported_demand
         || demand < service->reported_demand / 2;
}

/* Outcomes must be counted once, so they are sent only to an owner that
   responds; polls of other hosts have none.  Without outcomes the owner is
   polled only as often as enforcement needs, so that idle services are
   cheap. */
static void
send_report (struct ejection_service *service, const char *to, bool with_items)
{
  struct ejection_task *task = service->task;
  const struct ejection_task_options *options = &task->options;
  const int64_t now_ms = ejection_now_ms (task);
  const size_t count = with_items ? collect_evidence (service) : 0;
  const uint32_t demand = ejection_shares_demand (service);
  if (with_items && count == 0 && now_ms < service->next_refresh_ms
      && !demand_changed (service, demand))
    return;
  if (with_items)
    service->reported_demand = demand;
  service->next_refresh_ms
      = now_ms + options->settings->times.enforce_ms / POLLS_PER_ENFORCEMENT;
  const struct ejection_report report
      = { .service = service->name,
          .epoch = floor_view_epoch (service->view),
          .incarnation = options->incarnation,
          .poll_ms = now_ms,
          .dc = options->settings->dc,
          .demand = demand,
          .items = task->items,
          .count = count };
  if (strcmp (to, options->settings->name) == 0)
    ejection_owner_receive_report (service, to, &report);
  else
    ejection_send_report (options->transport, to, &report);
  counter_add (task->counters.reports, 1);
}

static void
poll_owner (struct ejection_service *service, int64_t silence_ms)
{
  const struct control_times *times = &service->task->options.settings->times;
  const char *self = service->task->options.settings->name;
  if (floor_owner_role (service->owner) == FLOOR_ROLE_OWNER)
    {
      send_report (service, self, true);
      return;
    }
  const bool responds = silence_ms < (int64_t)times->owner_lease_ms / 2;
  if (service->owner_name[0] != '\0'
      && strcmp (service->owner_name, self) != 0)
    send_report (service, service->owner_name, responds);
  if (responds && service->owner_name[0] != '\0')
    return;
  /* The owner isn't known, or doesn't respond: poll the hosts of the set in
     turn, one at a time. */
  for (size_t i = 0; i < service->host_count; i++)
    {
      const char *host
          = service->hosts[service->next_host++ % service->host_count];
      if (strcmp (host, self) == 0 || strcmp (host, service->owner_name) == 0)
        continue;
      send_report (service, host, false);
      return;
    }
}

static void
consider_ownership (struct ejection_service *service, int64_t silence_ms)
{
  const uint32_t lease_ms
      = service->task->options.settings->times.owner_lease_ms;
  if (service->rank < 0 || service->spec == NULL || service->task->is_leaving)
    return;
  const bool is_silent = silence_ms >= (int64_t)lease_ms * (service->rank + 1);
  uint64_t epoch = floor_view_epoch (service->view);
  if (floor_owner_epoch (service->owner) > epoch)
    epoch = floor_owner_epoch (service->owner);
  floor_owner_set_candidate (service->owner, ejection_now_ms (service->task),
                             is_silent, epoch);
}

/* Time since the owner was last seen or, within bounds, reported by another
   host. */
static int64_t
owner_silence_ms (const struct ejection_service *service, int64_t now_ms)
{
  const uint32_t lease_ms
      = service->task->options.settings->times.owner_lease_ms;
  const int64_t max_ms
      = service->owner_seen_ms + (int64_t)lease_ms * REPORTED_OWNER_LEASES;
  int64_t last_ms = service->owner_reported_ms;
  if (last_ms > max_ms)
    last_ms = max_ms;
  if (last_ms < service->owner_seen_ms)
    last_ms = service->owner_seen_ms;
  return now_ms - last_ms;
}

void
ejection_service_tick (struct ejection_service *service)
{
  const struct control_times *times = &service->task->options.settings->times;
  const int64_t now_ms = ejection_now_ms (service->task);
  const bool is_owner = floor_owner_role (service->owner) == FLOOR_ROLE_OWNER;
  floor_view_tick (service->view, now_ms);
  ejection_service_post_enforced (service);
  ejection_shares_tick (service, now_ms);
  if (is_owner)
    service->owner_seen_ms = now_ms;
  const int64_t silence_ms = owner_silence_ms (service, now_ms);
  if (service->spec != NULL && now_ms >= service->next_poll_ms)
    {
      service->next_poll_ms = now_ms + times->evidence_ms;
      if (polls_owner (service))
        poll_owner (service, now_ms - service->owner_seen_ms);
      ejection_owner_detect (service);
    }
  consider_ownership (service, silence_ms);
  ejection_owner_update (service);
}
