#include "node/caller/caller_service.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/xmalloc.h"
#include "node/caller/caller_share.h"

enum
{
  DC_DISTANCE_US = 1500,
  /* Enough to outweigh the random jitter of the costs, but not the cost of a
     target that is probably unhealthy. */
  BACKUP_COST_PERCENT = 50,
  US_PER_MS = 1000,
};

static const double US_PER_SECOND = 1e6;

static void schedule_wake (struct caller_service *service);

/* Deliver the policy's decisions to the queued requests. */
static void
dispatch_decisions (struct caller_service *service)
{
  struct policy_decision decision;
  while (service_policy_next (service->policy, clock_now_us (), &decision))
    {
      struct caller_waiter *waiter;
      HASH_FIND (hh, service->waiters, &decision.request_id,
                 sizeof decision.request_id, waiter);
      if (waiter == NULL)
        continue;
      HASH_DEL (service->waiters, waiter);
      waiter->waiting = false;
      waiter->on_decision (waiter, &decision);
    }
  schedule_wake (service);
}

static void
on_wake (struct ev_loop *loop, ev_timer *timer, int events)
{
  dispatch_decisions (timer->data);
}

static void
schedule_wake (struct caller_service *service)
{
  ev_timer_stop (service->loop, &service->wake_timer);
  const int64_t wake_us = service_policy_wake_us (service->policy);
  if (wake_us == INT64_MAX)
    return;
  const int64_t remaining_us = wake_us - clock_now_us ();
  const double remaining_s
      = remaining_us > 0 ? (double)remaining_us / US_PER_SECOND : 0.;
  ev_now_update (service->loop);
  ev_timer_set (&service->wake_timer, remaining_s, 0.);
  ev_timer_start (service->loop, &service->wake_timer);
}

struct caller_service *
caller_service_create (struct ev_loop *loop, const char *name,
                       const char *own_dc,
                       const struct host_settings *settings, uint64_t seed)
{
  struct caller_service *service = xcalloc (1, sizeof *service);
  service->loop = loop;
  strncpy (service->name, name, sizeof service->name - 1);
  strncpy (service->own_dc, own_dc, sizeof service->own_dc - 1);
  service->own_key = hash_string (settings->name);
  service->seed = hash_pair (seed, hash_string (name));
  service->ref_count = 1;
  service->retry = &settings->retry;
  service->prefers_own_dc = settings->modes.prefers_own_dc;
  service->used_percent = settings->retry.used_percent;
  service->admission = settings->admission;
  service->placement = settings->placement;
  caller_share_update_fleet (service);
  service->recorder = detection_recorder_create ();
  ev_timer_init (&service->wake_timer, on_wake, 0., 0.);
  service->wake_timer.data = service;
  return service;
}

void
caller_service_ref (struct caller_service *service)
{
  service->ref_count++;
}

void
caller_service_unref (struct caller_service *service)
{
  if (--service->ref_count > 0)
    return;
  ev_timer_stop (service->loop, &service->wake_timer);
  service_policy_destroy (service->policy);
  detection_recorder_destroy (service->recorder);
  service_spec_destroy (service->spec);
  free (service->targets);
  left_targets_release (&service->left);
  free (service->hosts);
  free (service->rendezvous_hosts);
  free (service);
}

void
caller_service_remove (struct caller_service *service)
{
  service->removed = true;
  caller_service_unref (service);
}

static struct service_policy_options
policy_options (const struct caller_service *service)
{
  const struct service_limits *limits = &service->spec->limits;
  const struct retry_grant grant
      = { .window_us = (int64_t)service->retry->window_ms * US_PER_MS,
          .percent = limits->retry_percent,
          .reserve = service->retry->reserve };
  return (struct service_policy_options){
    .seed = service->seed,
    .queue_requests = limits->queue_requests,
    .queue_bytes = limits->queue_bytes,
    .retries = retry_limits_of_host (&grant, &service->retry_fleet),
    .used_percent = service->used_percent,
    .attempts = limits->attempts,
    .backup_cost_percent = service->prefers_own_dc ? BACKUP_COST_PERCENT : 0,
    .set_hosts = service->in_set ? (uint32_t)service->host_count : 0,
    .modes = { .by_precedence = service->admission.by_route_priority
                                || service->admission.by_workspace,
               .by_cost = service->by_cost,
               .working_set = service->placement.working_set },
    .prefer_faster_detection
    = service->spec->prefer == SERVICE_PREFER_FASTER_DETECTION,
  };
}

static void
apply_rates (struct caller_service *service)
{
  for (uint32_t i = 0; i < service->spec->target_count; i++)
    service_policy_set_rate (
        service->policy, clock_now_us (), i,
        caller_share_rate_millis (service, &service->spec->targets[i],
                                  &service->targets[i]));
}

static void
apply_targets (struct caller_service *service)
{
  const size_t count = service->spec->target_count;
  struct policy_target *targets = xcalloc (count + 1, sizeof *targets);
  uint64_t *keys = xcalloc (count + 1, sizeof *keys);
  const char *own_dc = service->own_dc;
  for (size_t i = 0; i < count; i++)
    {
      const struct target_spec *target = &service->spec->targets[i];
      const struct caller_target *state = &service->targets[i];
      const bool is_local = strcmp (target->dc, own_dc) == 0;
      const bool is_withheld
          = state->limit.rate_millis > 0
            && caller_share_rate_millis (service, target, state) == 0;
      targets[i] = (struct policy_target){
        .key = state->key,
        .slots = caller_share_slots (service, state->key, target),
        .fair_slots = caller_share_fair_slots (service, target),
        .distance_us = is_local ? 0 : DC_DISTANCE_US,
        .is_backup = caller_share_is_backup (service, target),
        .accepts_work = target->state == TARGET_STATE_ACTIVE && !state->leaving
                        && !is_withheld,
        .warm_up_us = target->warm_up_ms < 0
                          ? -1
                          : (int64_t)target->warm_up_ms * US_PER_MS,
      };
      keys[i] = state->key;
    }
  service_policy_set_targets (service->policy, clock_now_us (), targets,
                              count);
  apply_rates (service);
  detection_recorder_set_targets (service->recorder, keys, count);
  free (keys);
  free (targets);
  dispatch_decisions (service);
}

void
caller_service_apply_limits (struct caller_service *service)
{
  apply_targets (service);
}

uint32_t
caller_service_find_target (const struct caller_service *service, uint64_t key)
{
  for (size_t i = 0; i < service->spec->target_count; i++)
    if (service->targets[i].key == key)
      return (uint32_t)i;
  return POLICY_NO_TARGET;
}

/* Return the states of the targets of SPEC, copied for those that the spec in
   force also has. */
static struct caller_target *
copy_known_targets (const struct caller_service *service,
                    const struct service_spec *spec)
{
  struct caller_target *targets
      = xcalloc (spec->target_count + 1, sizeof *targets);
  for (size_t i = 0; i < spec->target_count; i++)
    {
      const uint64_t key
          = service_spec_target_key (spec->name, &spec->targets[i]);
      const uint32_t before = service->spec != NULL
                                  ? caller_service_find_target (service, key)
                                  : POLICY_NO_TARGET;
      if (before != POLICY_NO_TARGET)
        targets[i] = service->targets[before];
      targets[i].key = key;
      targets[i].leaving
          = targets[i].leaving || left_targets_has (&service->left, key);
    }
  return targets;
}

static bool
has_unrepeatable_route (const struct service_spec *spec)
{
  for (size_t i = 0; i < spec->route_count; i++)
    if (!spec->routes[i].repeatable)
      return true;
  return false;
}

void
caller_service_set_spec (struct caller_service *service,
                         const struct service_spec *spec)
{
  struct caller_target *targets = copy_known_targets (service, spec);
  service_spec_destroy (service->spec);
  free (service->targets);
  service->targets = targets;
  service->spec = service_spec_copy (spec);
  service->has_unrepeatable_route = has_unrepeatable_route (spec);
  const struct service_policy_options options = policy_options (service);
  if (service->policy == NULL)
    service->policy = service_policy_create (&options);
  else
    service_policy_configure (service->policy, &options);
  apply_targets (service);
}

void
caller_service_set_hosts (struct caller_service *service,
                          const struct bus_host_set *set)
{
  free (service->hosts);
  service->hosts = xcalloc (set->count + 1, sizeof *service->hosts);
  if (set->count > 0)
    memcpy (service->hosts, set->hosts, set->count * sizeof *service->hosts);
  service->host_count = set->count;
  caller_share_update_hosts (service);
  service->in_set = set->self;
  service->fleet_count = set->fleet_count;
  caller_share_update_fleet (service);
  if (service->spec == NULL)
    return;
  const struct service_policy_options options = policy_options (service);
  service_policy_configure (service->policy, &options);
  apply_targets (service);
}

void
caller_service_set_by_cost (struct caller_service *service, bool by_cost)
{
  if (service->by_cost == by_cost)
    return;
  service->by_cost = by_cost;
  if (service->policy == NULL)
    return;
  const struct service_policy_options options = policy_options (service);
  service_policy_configure (service->policy, &options);
}

/* Whether SHARE gives this host other numbers of slots than the share in
   force. */
static bool
changes_slots (struct caller_service *service, const struct slot_share *share)
{
  const struct slot_share before = service->share;
  bool changes = false;
  for (size_t i = 0; i < service->spec->target_count && !changes; i++)
    {
      const struct target_spec *target = &service->spec->targets[i];
      const uint64_t key = service->targets[i].key;
      const uint32_t slots = caller_share_slots (service, key, target);
      service->share = *share;
      changes = caller_share_slots (service, key, target) != slots;
      service->share = before;
    }
  return changes;
}

void
caller_service_set_share (struct caller_service *service,
                          const struct slot_share *share)
{
  const bool changes = service->spec != NULL && changes_slots (service, share);
  service->share = *share;
  if (changes)
    apply_targets (service);
}

uint32_t
caller_service_demand (const struct caller_service *service)
{
  return demand_peak_value (&service->demand, clock_now_us ());
}

static void
record_demand (struct caller_service *service)
{
  demand_peak_add (&service->demand, clock_now_us (),
                   service_policy_in_flight (service->policy)
                       + service_policy_queued (service->policy));
}

static bool
is_listed (const char (*names)[SERVICE_NAME_SIZE], size_t count,
           const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

void
caller_service_set_ejections (struct caller_service *service,
                              const struct bus_ejections *ejections)
{
  if (service->spec == NULL)
    return;
  for (size_t i = 0; i < service->spec->target_count; i++)
    {
      struct caller_target *target = &service->targets[i];
      const bool ejected
          = is_listed ((const char (*)[SERVICE_NAME_SIZE])ejections->targets,
                       ejections->count, service->spec->targets[i].name);
      if (ejected == target->ejected)
        continue;
      target->ejected = ejected;
      service_policy_set_ejected (service->policy, clock_now_us (),
                                  (uint32_t)i, ejected);
    }
  dispatch_decisions (service);
}

void
caller_service_set_path_faults (struct caller_service *service,
                                const struct bus_path_faults *faults)
{
  if (service->spec == NULL)
    return;
  for (size_t i = 0; i < service->spec->target_count; i++)
    {
      struct caller_target *target = &service->targets[i];
      const bool avoided
          = is_listed ((const char (*)[SERVICE_NAME_SIZE])faults->targets,
                       faults->count, service->spec->targets[i].name);
      if (avoided == target->avoided)
        continue;
      target->avoided = avoided;
      service_policy_set_avoided (service->policy, clock_now_us (),
                                  (uint32_t)i, avoided);
    }
  dispatch_decisions (service);
}

void
caller_service_set_leaving (struct caller_service *service, uint64_t key,
                            bool leaving)
{
  const uint32_t target = caller_service_find_target (service, key);
  if (target == POLICY_NO_TARGET
      || service->targets[target].leaving == leaving)
    return;
  service->targets[target].leaving = leaving;
  apply_targets (service);
}

void
caller_service_set_rest (struct caller_service *service, uint64_t key,
                         uint32_t rest_ms)
{
  const int64_t now_us = clock_now_us ();
  const uint32_t target = service_policy_find (service->policy, key);
  if (target != POLICY_NO_TARGET)
    service_policy_set_rest (service->policy, now_us, target,
                             now_us + (int64_t)rest_ms * US_PER_MS);
}

void
caller_service_set_left (struct caller_service *service, uint64_t key)
{
  left_targets_add (&service->left, key);
  caller_service_set_leaving (service, key, true);
}

void
caller_service_set_idle_timeout (struct caller_service *service, uint64_t key,
                                 uint32_t idle_ms)
{
  const uint32_t target = caller_service_find_target (service, key);
  if (target != POLICY_NO_TARGET)
    service->targets[target].idle_timeout_ms = idle_ms;
}

struct policy_decision
caller_service_admit (struct caller_service *service,
                      const struct policy_request *r,
                      struct caller_waiter *waiter)
{
  const struct policy_decision decision
      = service_policy_admit (service->policy, clock_now_us (), r);
  record_demand (service);
  if (decision.verdict == POLICY_QUEUE)
    {
      waiter->id = r->id;
      waiter->waiting = true;
      HASH_ADD (hh, service->waiters, id, sizeof waiter->id, waiter);
      schedule_wake (service);
    }
  return decision;
}

void
caller_service_cancel_wait (struct caller_service *service,
                            struct caller_waiter *waiter)
{
  if (!waiter->waiting)
    return;
  HASH_DEL (service->waiters, waiter);
  waiter->waiting = false;
  service_policy_cancel_queued (service->policy, waiter->id);
}

void
caller_service_record_outcome (struct caller_service *service, uint64_t key,
                               enum attempt_end end, int64_t latency_us,
                               bool repeatable)
{
  detection_recorder_record (service->recorder, key, end, latency_us);
  const uint32_t target = service_policy_find (service->policy, key);
  if (target == POLICY_NO_TARGET)
    return;
  const struct policy_outcome outcome = { .target = target,
                                          .end = end,
                                          .latency_us = latency_us,
                                          .repeatable = repeatable };
  record_demand (service);
  service_policy_outcome (service->policy, clock_now_us (), &outcome);
  dispatch_decisions (service);
}

void
caller_service_record_refusal (struct caller_service *service)
{
  service_policy_note_refusal (service->policy, clock_now_us ());
}

void
caller_service_record_remote_outcome (struct caller_service *service,
                                      uint64_t key, enum attempt_end end)
{
  if (service->policy == NULL)
    return;
  const uint32_t target = service_policy_find (service->policy, key);
  if (target == POLICY_NO_TARGET)
    return;
  service_policy_remote_outcome (service->policy, clock_now_us (), target,
                                 end);
  dispatch_decisions (service);
}
