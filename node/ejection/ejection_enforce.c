#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"

enum
{
  PERMILLE = 1000,
};

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
ejection_service_post_enforced (struct ejection_service *service)
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t most = floor_view_targets (service->view, &targets);
  if (most == 0 && service->posted.count == 0)
    return;
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
             const struct ejection_notice *news)
{
  service->trials = xreallocarray (service->trials, news->count + 1,
                                   sizeof *service->trials);
  service->trial_count = 0;
  for (size_t i = 0; i < news->count; i++)
    {
      if (news->trial_permille[i] == 0)
        continue;
      struct ejection_trial *trial = &service->trials[service->trial_count++];
      memcpy (trial->target, news->names[i], sizeof trial->target);
      trial->share_permille = news->trial_permille[i];
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
  service->owner_seen_ms = ejection_now_ms (service->task);
}

static void
hear_decision (struct ejection_service *service, const char *from,
               const struct ejection_notice *news)
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
  floor_view_apply (service->view, ejection_now_ms (service->task),
                    news->poll_ms, &decision);
  ejection_service_post_enforced (service);
  ejection_shares_receive (service, news);
}

void
ejection_service_apply_own (struct ejection_service *service,
                            const struct ejection_notice *news)
{
  hear_decision (service, service->task->options.settings->name, news);
}

/* Guards against owners taking turns for ever over a link that is cut between
   just two hosts: the host asked isn't the owner but hears it, so it isn't
   gone.  For how long that counts is bounded, see silence(). */
static void
hear_redirect (struct ejection_service *service,
               const struct ejection_notice *news)
{
  if (news->count != 1 || news->epoch < floor_view_epoch (service->view))
    return;
  floor_view_epoch_seen (service->view, news->epoch);
  memcpy (service->owner_name, news->names[0], sizeof service->owner_name);
  service->owner_reported_ms = ejection_now_ms (service->task);
}

static void
hear_stopped (struct ejection_service *service, const char *from,
              const struct ejection_notice *news)
{
  floor_owner_predecessor_stopped (
      service->owner, ejection_now_ms (service->task), news->epoch);
  if (strcmp (from, service->owner_name) != 0
      || news->epoch < floor_view_epoch (service->view))
    return;
  LOG_INFO ("owner-stopped", LOG_STR ("service", service->name),
            LOG_STR ("owner", from), LOG_INT ("epoch", news->epoch));
  service->owner_name[0] = '\0';
  service->owner_seen_ms
      -= service->task->options.settings->times.owner_lease_ms;
}

void
ejection_service_receive_notice (struct ejection_service *service,
                                 const char *from,
                                 const struct ejection_notice *news)
{
  floor_owner_epoch_seen (service->owner, ejection_now_ms (service->task),
                          news->epoch);
  if (news->kind == EJECTION_DECISION)
    hear_decision (service, from, news);
  else if (news->kind == EJECTION_REDIRECT)
    hear_redirect (service, news);
  else
    hear_stopped (service, from, news);
  ejection_owner_update (service);
}
