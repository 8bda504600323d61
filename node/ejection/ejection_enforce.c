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

/* Whether this host currently lets requests through to TARGET, which is on
   trial for a share of the time. */
static bool
is_let_through (const struct ejection_service *service, const char *target)
{
  const struct ejection_task *task = service->task;
  for (size_t i = 0; i < service->trial_count; i++)
    {
      const struct ejection_trial *trial = &service->trials[i];
      if (strcmp (trial->target, target) != 0)
        continue;
      const uint64_t slice
          = (uint64_t)ejection_now_ms (task) / EJECTION_TRIAL_SLICE_MS;
      const uint64_t offset = hash_pair (
          hash_string (task->options.settings->name), hash_string (target));
      return hash_pair (offset, slice) % PERMILLE < trial->share_permille;
    }
  return false;
}

/* The targets to post to the caller task: the enforced set without targets
   that are currently on trial at this host.  Letting requests through to a
   target never breaches a floor. */
static size_t
effective_targets (const struct ejection_service *service,
                   char (*names)[FLOOR_NAME_SIZE])
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t count = floor_view_targets (service->view, &targets);
  size_t used = 0;
  for (size_t i = 0; i < count; i++)
    if (!is_let_through (service, targets[i]))
      memcpy (names[used++], targets[i], FLOOR_NAME_SIZE);
  return used;
}

void
ejection_service_post_enforced (struct ejection_service *service)
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t max_count = floor_view_targets (service->view, &targets);
  if (max_count == 0 && service->posted.count == 0)
    return;
  char (*names)[FLOOR_NAME_SIZE] = xcalloc (max_count + 1, sizeof *names);
  const size_t count = effective_targets (service, names);
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
update_trials (struct ejection_service *service,
               const struct ejection_notice *notice)
{
  service->trials = xreallocarray (service->trials, notice->count + 1,
                                   sizeof *service->trials);
  service->trial_count = 0;
  for (size_t i = 0; i < notice->count; i++)
    {
      if (notice->trial_permille[i] == 0)
        continue;
      struct ejection_trial *trial = &service->trials[service->trial_count++];
      memcpy (trial->target, notice->names[i], sizeof trial->target);
      trial->share_permille = notice->trial_permille[i];
    }
}

static void
note_owner (struct ejection_service *service, const char *name, uint64_t epoch)
{
  if (strcmp (service->owner_name, name) != 0)
    LOG_INFO ("owner-known", LOG_STR ("service", service->name),
              LOG_STR ("owner", name), LOG_INT ("epoch", epoch));
  snprintf (service->owner_name, sizeof service->owner_name, "%s", name);
  service->owner_seen_ms = ejection_now_ms (service->task);
}

static void
apply_decision (struct ejection_service *service, const char *from,
                const struct ejection_notice *notice)
{
  if (notice->epoch < floor_view_epoch (service->view))
    return;
  note_owner (service, from, notice->epoch);
  /* The answer to a poll of this host's previous process names the owner, but
     its times refer to the clock of that process. */
  if (notice->incarnation != service->task->options.incarnation)
    return;
  update_trials (service, notice);
  const struct floor_decision decision = { .epoch = notice->epoch,
                                           .sequence = notice->sequence,
                                           .enforce_ms = notice->enforce_ms,
                                           .targets = notice->names,
                                           .count = notice->count };
  floor_view_apply (service->view, ejection_now_ms (service->task),
                    notice->poll_ms, &decision);
  ejection_service_post_enforced (service);
  ejection_shares_receive (service, notice);
}

void
ejection_service_apply_own (struct ejection_service *service,
                            const struct ejection_notice *notice)
{
  apply_decision (service, service->task->options.settings->name, notice);
}

/* The polled host isn't the owner but receives from it, so the owner is alive.
   Without redirects, a link failure between just two hosts would make them
   replace each other as owner again and again.  The time for which a redirect
   counts is bounded, see owner_silence_ms(). */
static void
apply_redirect (struct ejection_service *service,
                const struct ejection_notice *notice)
{
  if (notice->count != 1 || notice->epoch < floor_view_epoch (service->view))
    return;
  floor_view_epoch_seen (service->view, notice->epoch);
  memcpy (service->owner_name, notice->names[0], sizeof service->owner_name);
  service->owner_reported_ms = ejection_now_ms (service->task);
}

static void
apply_stopped (struct ejection_service *service, const char *from,
               const struct ejection_notice *notice)
{
  floor_owner_predecessor_stopped (
      service->owner, ejection_now_ms (service->task), notice->epoch);
  if (strcmp (from, service->owner_name) != 0
      || notice->epoch < floor_view_epoch (service->view))
    return;
  LOG_INFO ("owner-stopped", LOG_STR ("service", service->name),
            LOG_STR ("owner", from), LOG_INT ("epoch", notice->epoch));
  service->owner_name[0] = '\0';
  service->owner_seen_ms
      -= service->task->options.settings->times.owner_lease_ms;
}

void
ejection_service_receive_notice (struct ejection_service *service,
                                 const char *from,
                                 const struct ejection_notice *notice)
{
  floor_owner_epoch_seen (service->owner, ejection_now_ms (service->task),
                          notice->epoch);
  if (notice->kind == EJECTION_DECISION)
    apply_decision (service, from, notice);
  else if (notice->kind == EJECTION_REDIRECT)
    apply_redirect (service, notice);
  else
    apply_stopped (service, from, notice);
  ejection_owner_update (service);
}
