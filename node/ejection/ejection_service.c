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
  RETRY_MS = 100,
  RETRY_MAX_MS = 5000,
  /* For how many leases an owner that only others hear is left alone. */
  HEARD_OF_LEASES = 4,
  POLLS_PER_ENFORCEMENT = 4,
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
    .retry_ms = RETRY_MS,
    .retry_max_ms = RETRY_MAX_MS,
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
  return hash_pair (hash_string (service->name), hash_string (name));
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
tell_floor (struct ejection_service *service)
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

void
ejection_service_set_spec (struct ejection_service *service,
                           const struct service_spec *spec)
{
  if (service->spec != NULL && spec->version < service->spec->version)
    return;
  service_spec_destroy (service->spec);
  service->spec = service_spec_copy (spec);
  service->keys = xreallocarray (service->keys, spec->target_count + 1,
                                 sizeof *service->keys);
  for (size_t i = 0; i < spec->target_count; i++)
    service->keys[i] = ejection_target_key (service, spec->targets[i].name);
  tell_floor (service);
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
take_evidence (struct ejection_service *service)
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

/* A host outside the set follows the owner only while it serves the service;
   otherwise each host would poll for every service there is.  What shows that
   it has begun to is dropped. */
static bool
follows (struct ejection_service *service)
{
  const int64_t now_ms = ejection_now_ms (service->task);
  if (service->rank >= 0
      || now_ms < service->last_outcome_ms + OUTSIDER_ACTIVE_MS)
    return service->host_count > 0;
  const bool begins = take_evidence (service) > 0;
  return begins && service->host_count > 0;
}

/* Less is told only when it is less than half: nobody waits for it. */
static bool
demand_moved (const struct ejection_service *service, uint32_t demand)
{
  return demand > service->reported_demand
         || demand < service->reported_demand / 2;
}

/* Reports must be counted once, so what was seen goes only to an owner that
   answers; other hosts are just asked.  With nothing seen the owner is asked
   only as often as enforcement needs, so that idle services cost little. */
static void
report_to (struct ejection_service *service, const char *to, bool with_items)
{
  struct ejection_task *task = service->task;
  const struct ejection_task_options *options = &task->options;
  const int64_t now_ms = ejection_now_ms (task);
  const size_t count = with_items ? take_evidence (service) : 0;
  const uint32_t demand = ejection_shares_demand (service);
  if (with_items && count == 0 && now_ms < service->next_refresh_ms
      && !demand_moved (service, demand))
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
      report_to (service, self, true);
      return;
    }
  const bool answers = silence_ms < (int64_t)times->owner_lease_ms / 2;
  if (service->owner_name[0] != '\0'
      && strcmp (service->owner_name, self) != 0)
    report_to (service, service->owner_name, answers);
  if (answers && service->owner_name[0] != '\0')
    return;
  /* Who owns the service isn't known: one host of the set after another is
     asked. */
  for (size_t i = 0; i < service->host_count; i++)
    {
      const char *host
          = service->hosts[service->next_host++ % service->host_count];
      if (strcmp (host, self) == 0 || strcmp (host, service->owner_name) == 0)
        continue;
      report_to (service, host, false);
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

/* How long the owner was neither heard nor, within bounds, heard of. */
static int64_t
silence (const struct ejection_service *service, int64_t now_ms)
{
  const uint32_t lease_ms
      = service->task->options.settings->times.owner_lease_ms;
  const int64_t most_ms
      = service->owner_seen_ms + (int64_t)lease_ms * HEARD_OF_LEASES;
  int64_t last_ms = service->owner_reported_ms;
  if (last_ms > most_ms)
    last_ms = most_ms;
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
  const int64_t silence_ms = silence (service, now_ms);
  if (service->spec != NULL && now_ms >= service->next_poll_ms)
    {
      service->next_poll_ms = now_ms + times->evidence_ms;
      if (follows (service))
        poll_owner (service, now_ms - service->owner_seen_ms);
      ejection_owner_detect (service);
    }
  consider_ownership (service, silence_ms);
  ejection_owner_update (service);
}
