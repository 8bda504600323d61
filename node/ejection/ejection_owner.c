#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/ejection/target_probe.h"

static bool
has_repeatable_route (const struct service_spec *spec)
{
  for (size_t i = 0; i < spec->route_count; i++)
    if (spec->routes[i].repeatable)
      return true;
  return false;
}

/* Apply the settings to the detector. */
static void
configure_detector (struct ejection_service *service)
{
  const struct service_spec *spec = service->spec;
  const int64_t now_us = ejection_now_ms (service->task) * 1000;
  const struct detection_detector_options options = {
    .prefer_faster_detection = spec->prefer == SERVICE_PREFER_FASTER_DETECTION,
    .has_repeatable_routes = has_repeatable_route (spec),
  };
  if (service->detector == NULL)
    service->detector = detection_detector_create (&options);
  else
    detection_detector_configure (service->detector, &options);
  detection_detector_set_targets (service->detector, now_us, service->keys,
                                  spec->target_count);
  service->detector_version = spec->version;
}

static void
begin_ownership (struct ejection_service *service)
{
  const struct floor_record *record
      = floor_owner_known_record (service->owner);
  configure_detector (service);
  service->announced.count = 0;
  service->why = "found in record";
  service->role_epoch = record->epoch;
  counter_add (service->task->counters.takeovers, 1);
  LOG_INFO ("takeover", LOG_STR ("service", service->name),
            LOG_INT ("epoch", record->epoch),
            LOG_INT ("claims", record->claim_count),
            LOG_INT ("reserve", record->reserve),
            LOG_INT ("old_reserve", record->old_reserve),
            LOG_STR ("why", record->epoch == 1 ? "first owner"
                                               : "earlier owner silent"));
}

/* Announce to the recent pollers and to the next owner that this owner has
   stopped. */
static void
announce_stopped (struct ejection_service *service, uint64_t epoch)
{
  const struct ejection_task *task = service->task;
  const struct ejection_notice notice
      = { .kind = EJECTION_STOPPED, .service = service->name, .epoch = epoch };
  const char *successor = floor_owner_known_record (service->owner)->owner;
  for (size_t i = 0; i < service->poller_count; i++)
    ejection_send_notice (task->options.transport, service->pollers[i].host,
                          &notice);
  if (successor[0] != '\0'
      && strcmp (successor, task->options.settings->name) != 0)
    ejection_send_notice (task->options.transport, successor, &notice);
}

void
ejection_owner_clear (struct ejection_service *service)
{
  detection_detector_destroy (service->detector);
  service->detector = NULL;
  for (size_t i = 0; i < EJECTION_PROBES_MAX; i++)
    {
      target_probe_destroy (service->probes[i]);
      service->probes[i] = NULL;
    }
  service->path_fault_count = 0;
  service->poller_count = 0;
  service->announced.count = 0;
}

static void
end_ownership (struct ejection_service *service)
{
  const uint64_t epoch = service->role_epoch;
  const struct floor_record *record
      = floor_owner_known_record (service->owner);
  const bool is_released = record->owner[0] == '\0';
  LOG_INFO ("ownership-ended", LOG_STR ("service", service->name),
            LOG_INT ("epoch", epoch), LOG_STR ("owner", record->owner),
            LOG_STR ("why", is_released ? "released" : "replaced"));
  floor_owner_take_stopped_epoch (service->owner);
  announce_stopped (service, epoch);
  ejection_owner_clear (service);
}

/* Another host won a race for ownership.  It has the usual time to announce
   itself before this host tries to replace it. */
static void
wait_for_owner (struct ejection_service *service)
{
  const struct floor_record *record
      = floor_owner_known_record (service->owner);
  memcpy (service->owner_name, record->owner, sizeof service->owner_name);
  floor_view_epoch_seen (service->view, record->epoch);
  service->owner_seen_ms = ejection_now_ms (service->task);
}

static void
update_role (struct ejection_service *service)
{
  const enum floor_role before = service->role;
  const enum floor_role role = floor_owner_role (service->owner);
  service->role = role;
  if (role == before)
    return;
  if (role == FLOOR_ROLE_OWNER)
    begin_ownership (service);
  if (before == FLOOR_ROLE_OWNER)
    end_ownership (service);
  if (role == FLOOR_ROLE_NONE
      && floor_owner_known_record (service->owner)->owner[0] != '\0')
    wait_for_owner (service);
}

/* Hosts may notice the end of an enforcement late, so the announced time is
   shorter than the one by which the floor is computed. */
static uint32_t
announced_enforce_ms (const struct ejection_service *service)
{
  const uint32_t enforce_ms
      = service->task->options.settings->times.enforce_ms;
  const uint32_t late_ms = 2 * ejection_tick_interval_ms (service->task);
  return enforce_ms > 2 * late_ms ? enforce_ms - late_ms : enforce_ms / 2;
}

static void
send_decision (struct ejection_service *service,
               const struct ejection_poller *poller,
               const struct floor_decision *decision)
{
  uint32_t *shares = xcalloc (decision->count + 1, sizeof *shares);
  for (size_t i = 0; i < decision->count; i++)
    shares[i] = ejection_detect_trial_share (service, decision->targets[i]);
  char avoided[EJECTION_AVOIDED_MAX][PEER_NAME_SIZE] = { { '\0' } };
  const struct ejection_notice notice
      = { .kind = EJECTION_DECISION,
          .service = service->name,
          .epoch = decision->epoch,
          .sequence = decision->sequence,
          .enforce_ms = decision->enforce_ms,
          .incarnation = poller->incarnation,
          .poll_ms = poller->poll_ms,
          .names = decision->targets,
          .trial_permille = shares,
          .count = decision->count,
          .avoided = (const char (*)[PEER_NAME_SIZE])avoided,
          .avoided_count
          = ejection_paths_for_poller (service, poller, avoided),
          .share = ejection_shares_grant (service, poller) };
  const struct ejection_task *task = service->task;
  if (strcmp (poller->host, task->options.settings->name) == 0)
    ejection_service_apply_own (service, &notice);
  else
    ejection_send_notice (task->options.transport, poller->host, &notice);
  free (shares);
}

void
ejection_owner_announce (struct ejection_service *service,
                         const struct ejection_poller *poller)
{
  struct floor_decision decision;
  if (!floor_owner_decision (service->owner, ejection_now_ms (service->task),
                             &decision))
    return;
  decision.enforce_ms = announced_enforce_ms (service);
  send_decision (service, poller, &decision);
}

static void
announce_to_all (struct ejection_service *service)
{
  for (size_t i = 0; i < service->poller_count; i++)
    ejection_owner_announce (service, &service->pollers[i]);
}

/* Log and count a change of the decision, and send it at once to all recent
   pollers. */
static void
update_decision (struct ejection_service *service)
{
  struct floor_decision decision;
  if (service->role != FLOOR_ROLE_OWNER
      || !floor_owner_decision (service->owner,
                                ejection_now_ms (service->task), &decision))
    return;
  bool same = decision.count == service->announced.count;
  for (size_t i = 0; same && i < decision.count; i++)
    same = ejection_names_has (&service->announced, decision.targets[i]);
  if (same)
    return;
  ejection_detect_announced (service, &decision);
  ejection_names_assign (&service->announced, decision.targets,
                         decision.count);
  announce_to_all (service);
}

static void
note_restores (struct ejection_service *service)
{
  const uint32_t restores = service->task->options.platform->restores;
  if (service->restores == restores)
    return;
  service->restores = restores;
  floor_owner_note_restored (service->owner, ejection_now_ms (service->task));
}

void
ejection_owner_update (struct ejection_service *service)
{
  if (service->is_updating)
    return;
  service->is_updating = true;
  note_restores (service);
  floor_owner_tick (service->owner, ejection_now_ms (service->task));
  ejection_calls_start_next (service);
  update_role (service);
  if (service->role == FLOOR_ROLE_OWNER
      && service->detector_version != service->spec->version)
    configure_detector (service);
  update_decision (service);
  service->is_updating = false;
}

/* Replaces the poller that has been silent for longest if there are too
   many. */
static struct ejection_poller *
find_or_add_poller (struct ejection_service *service, const char *from)
{
  struct ejection_poller *oldest = NULL;
  for (size_t i = 0; i < service->poller_count; i++)
    {
      struct ejection_poller *poller = &service->pollers[i];
      if (strcmp (poller->host, from) == 0)
        return poller;
      if (oldest == NULL || poller->received_ms < oldest->received_ms)
        oldest = poller;
    }
  if (service->poller_count < EJECTION_POLLERS_MAX)
    oldest = &service->pollers[service->poller_count++];
  memset (oldest, 0, sizeof *oldest);
  snprintf (oldest->host, sizeof oldest->host, "%s", from);
  return oldest;
}

static void
send_redirect (struct ejection_service *service, const char *from,
               const struct ejection_report *report)
{
  const struct ejection_task *task = service->task;
  const uint32_t lease_ms = task->options.settings->times.owner_lease_ms;
  const bool is_owner_known = ejection_now_ms (task) - service->owner_seen_ms
                              < (int64_t)lease_ms / 2;
  if (!is_owner_known || service->owner_name[0] == '\0'
      || strcmp (service->owner_name, from) == 0)
    return;
  char names[1][PEER_NAME_SIZE];
  memcpy (names[0], service->owner_name, sizeof names[0]);
  const struct ejection_notice notice
      = { .kind = EJECTION_REDIRECT,
          .service = service->name,
          .epoch = floor_view_epoch (service->view),
          .incarnation = report->incarnation,
          .poll_ms = report->poll_ms,
          .names = (const char (*)[PEER_NAME_SIZE])names,
          .count = 1 };
  ejection_send_notice (task->options.transport, from, &notice);
}

/* The detector must count each report at most once: a poll that isn't newer
   than the last one of the same process is a duplicate. */
static void
handle_report (struct ejection_service *service, const char *from,
               const struct ejection_report *report)
{
  struct ejection_poller *poller = find_or_add_poller (service, from);
  const int64_t now_ms = ejection_now_ms (service->task);
  const bool is_new = poller->incarnation != report->incarnation
                      || report->poll_ms > poller->poll_ms;
  if (!is_new)
    return;
  poller->incarnation = report->incarnation;
  poller->poll_ms = report->poll_ms;
  poller->received_ms = now_ms;
  poller->demand = report->demand;
  snprintf (poller->dc, sizeof poller->dc, "%s", report->dc);
  if (report->count > 0)
    detection_detector_report (service->detector, now_ms * 1000,
                               hash_string (from), hash_string (report->dc),
                               report->items, report->count);
  if (report->count > 0)
    ejection_detect (service);
  ejection_owner_announce (service, poller);
}

void
ejection_owner_receive_report (struct ejection_service *service,
                               const char *from,
                               const struct ejection_report *report)
{
  floor_owner_epoch_seen (service->owner, ejection_now_ms (service->task),
                          report->epoch);
  if (service->role == FLOOR_ROLE_OWNER)
    handle_report (service, from, report);
  else
    send_redirect (service, from, report);
  ejection_owner_update (service);
}

void
ejection_owner_detect (struct ejection_service *service)
{
  if (service->role == FLOOR_ROLE_OWNER)
    ejection_detect (service);
}

void
ejection_owner_release (struct ejection_service *service)
{
  floor_owner_release (service->owner, ejection_now_ms (service->task));
  ejection_owner_update (service);
}
