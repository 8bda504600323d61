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
  PERMILLE = 1000,
  RETRY_MS = 100,
  RETRY_MAX_MS = 5000,
  /* For how many leases an owner that only others hear is left alone. */
  HEARD_OF_LEASES = 4,
};

static struct floor_owner *
create_owner (const struct ejection_task *task)
{
  uint64_t seed;
  rng_secret (&seed, sizeof seed);
  const struct floor_owner_options options = {
    .host = task->options.settings->name,
    .incarnation = task->options.incarnation,
    .seed = seed,
    .enforce_ms = task->options.settings->times.enforce_ms,
    .authority_ms = task->options.outage_hold_ms,
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
  service->heard_ms = ejection_now_ms (task);
  service->rank = -1;
  service->why = "-";
  return service;
}

void
ejection_service_destroy (struct ejection_service *service)
{
  platform_cancel (service->task->options.platform, service);
  ejection_owner_drop (service);
  floor_owner_destroy (service->owner);
  floor_view_destroy (service->view);
  service_spec_destroy (service->spec);
  free (service->keys);
  free (service->hosts);
  free (service->trials);
  free (service->posted.names);
  free (service->told.names);
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
  floor_owner_spec (service->owner, ejection_now_ms (service->task),
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
  ejection_owner_drive (service);
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

static bool
lets_through (const struct ejection_service *service, const char *target)
{
  const struct ejection_task *task = service->task;
  for (size_t i = 0; i < service->trial_count; i++)
    {
      const struct ejection_trial *trial = &service->trials[i];
      if (strcmp (trial->target, target) != 0)
        continue;
      const uint64_t slice
          = (uint64_t)ejection_now_ms (task) / EJECTION_TRIAL_SLICE_MS;
      const uint64_t place = hash_pair (
          hash_string (task->options.settings->name), hash_string (target));
      return hash_pair (place, slice) % PERMILLE < trial->share_permille;
    }
  return false;
}

/* What the caller side is told: the enforced set but for targets on trial
   here and now.  Letting one through never breaches a floor. */
static size_t
effective (const struct ejection_service *service,
           char (*names)[FLOOR_NAME_SIZE])
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t count = floor_view_targets (service->view, &targets);
  size_t used = 0;
  for (size_t i = 0; i < count; i++)
    if (!lets_through (service, targets[i]))
      memcpy (names[used++], targets[i], FLOOR_NAME_SIZE);
  return used;
}

void
ejection_service_post (struct ejection_service *service)
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t most = floor_view_targets (service->view, &targets);
  char (*names)[FLOOR_NAME_SIZE] = xcalloc (most + 1, sizeof *names);
  const size_t count = effective (service, names);
  const bool same
      = count == service->posted.count
        && (count == 0
            || memcmp (names, service->posted.names, count * sizeof *names)
                   == 0);
  if (same)
    {
      free (names);
      return;
    }
  ejection_names_assign (&service->posted,
                         (const char (*)[FLOOR_NAME_SIZE])names, count);
  struct bus_message message
      = { .topic = BUS_EJECTIONS,
          .ejections = { .epoch = floor_view_epoch (service->view),
                         .targets = names,
                         .count = count } };
  memcpy (message.ejections.service, service->name, sizeof service->name);
  bus_post (service->task->options.bus, &message);
}

static void
take_trials (struct ejection_service *service,
             const struct ejection_news *news)
{
  service->trials = xreallocarray (service->trials, news->count + 1,
                                   sizeof *service->trials);
  service->trial_count = 0;
  for (size_t i = 0; i < news->count; i++)
    {
      if (news->shares_permille[i] == 0)
        continue;
      struct ejection_trial *trial = &service->trials[service->trial_count++];
      memcpy (trial->target, news->names[i], sizeof trial->target);
      trial->share_permille = news->shares_permille[i];
    }
}

static void
heard_owner (struct ejection_service *service, const char *name,
             uint64_t epoch)
{
  if (strcmp (service->owner_name, name) != 0)
    LOG_INFO ("owner-known", LOG_STR ("service", service->name),
              LOG_STR ("owner", name), LOG_INT ("epoch", epoch));
  snprintf (service->owner_name, sizeof service->owner_name, "%s", name);
  service->heard_ms = ejection_now_ms (service->task);
}

static void
hear_decision (struct ejection_service *service, const char *from,
               const struct ejection_news *news)
{
  if (news->epoch < floor_view_epoch (service->view))
    return;
  heard_owner (service, from, news->epoch);
  /* An answer to a poll of the process that ran here before tells who owns
     the service, but its clock isn't ours. */
  if (news->incarnation != service->task->options.incarnation)
    return;
  take_trials (service, news);
  const struct floor_decision decision = { .epoch = news->epoch,
                                           .sequence = news->sequence,
                                           .enforce_ms = news->enforce_ms,
                                           .targets = news->names,
                                           .count = news->count };
  floor_view_heard (service->view, ejection_now_ms (service->task),
                    news->poll_ms, &decision);
  ejection_service_post (service);
}

void
ejection_service_hear_own (struct ejection_service *service,
                           const struct ejection_news *news)
{
  hear_decision (service, service->task->options.settings->name, news);
}

/* Guards against owners taking turns for ever over a link that is cut between
   just two hosts: the host asked isn't the owner but hears it, so it isn't
   gone.  For how long that counts is bounded, see silence(). */
static void
hear_redirect (struct ejection_service *service,
               const struct ejection_news *news)
{
  if (news->count != 1 || news->epoch < floor_view_epoch (service->view))
    return;
  floor_view_epoch_seen (service->view, news->epoch);
  memcpy (service->owner_name, news->names[0], sizeof service->owner_name);
  service->heard_of_ms = ejection_now_ms (service->task);
}

static void
hear_stopped (struct ejection_service *service, const char *from,
              const struct ejection_news *news)
{
  floor_owner_stopped (service->owner, ejection_now_ms (service->task),
                       news->epoch);
  if (strcmp (from, service->owner_name) != 0
      || news->epoch < floor_view_epoch (service->view))
    return;
  LOG_INFO ("owner-stopped", LOG_STR ("service", service->name),
            LOG_STR ("owner", from), LOG_INT ("epoch", news->epoch));
  service->owner_name[0] = '\0';
  service->heard_ms -= service->task->options.settings->times.owner_lease_ms;
}

void
ejection_service_news (struct ejection_service *service, const char *from,
                       const struct ejection_news *news)
{
  floor_owner_epoch_seen (service->owner, ejection_now_ms (service->task),
                          news->epoch);
  if (news->kind == EJECTION_DECISION)
    hear_decision (service, from, news);
  else if (news->kind == EJECTION_REDIRECT)
    hear_redirect (service, news);
  else
    hear_stopped (service, from, news);
  ejection_owner_drive (service);
}

/* Reports must be counted once, so what was seen goes only to an owner that
   answers; other hosts are just asked. */
static void
report_to (struct ejection_service *service, const char *to, bool with_items)
{
  struct ejection_task *task = service->task;
  const struct ejection_task_options *options = &task->options;
  struct detection_report_item *items = NULL;
  size_t count = 0;
  struct detection_recorder *recorder
      = with_items ? options->recorder (options->recorder_owner, service->name)
                   : NULL;
  if (recorder != NULL)
    {
      items = xcalloc (EJECTION_ITEMS_MAX, sizeof *items);
      count = detection_recorder_take (recorder, items, EJECTION_ITEMS_MAX);
    }
  const struct ejection_report report
      = { .service = service->name,
          .epoch = floor_view_epoch (service->view),
          .incarnation = options->incarnation,
          .poll_ms = ejection_now_ms (task),
          .dc = options->settings->dc,
          .items = items,
          .count = count };
  if (strcmp (to, options->settings->name) == 0)
    ejection_owner_report (service, to, &report);
  else
    ejection_send_report (options->transport, to, &report);
  counter_add (task->counters.reports, 1);
  free (items);
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
          = service->hosts[service->rotation++ % service->host_count];
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
  floor_owner_candidate (service->owner, ejection_now_ms (service->task),
                         is_silent, epoch);
}

/* How long the owner was neither heard nor, within bounds, heard of. */
static int64_t
silence (const struct ejection_service *service, int64_t now_ms)
{
  const uint32_t lease_ms
      = service->task->options.settings->times.owner_lease_ms;
  const int64_t most_ms
      = service->heard_ms + (int64_t)lease_ms * HEARD_OF_LEASES;
  int64_t last_ms = service->heard_of_ms;
  if (last_ms > most_ms)
    last_ms = most_ms;
  if (last_ms < service->heard_ms)
    last_ms = service->heard_ms;
  return now_ms - last_ms;
}

void
ejection_service_beat (struct ejection_service *service)
{
  const struct control_times *times = &service->task->options.settings->times;
  const int64_t now_ms = ejection_now_ms (service->task);
  const bool is_owner = floor_owner_role (service->owner) == FLOOR_ROLE_OWNER;
  floor_view_tick (service->view, now_ms);
  ejection_service_post (service);
  if (is_owner)
    service->heard_ms = now_ms;
  const int64_t silence_ms = silence (service, now_ms);
  if (service->spec != NULL && service->rank >= 0
      && now_ms >= service->next_poll_ms)
    {
      service->next_poll_ms = now_ms + times->evidence_ms;
      poll_owner (service, now_ms - service->heard_ms);
      ejection_owner_step (service);
    }
  consider_ownership (service, silence_ms);
  ejection_owner_drive (service);
}
