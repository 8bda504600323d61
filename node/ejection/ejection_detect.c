#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <stdlib.h>

#include "base/log.h"
#include "node/ejection/target_probe.h"

enum
{
  EXPLANATION_SIZE = 512,
  SCORE_SCALE = 1000,
};

static int64_t
now_us (const struct ejection_service *service)
{
  return ejection_now_ms (service->task) * 1000;
}

static const char *
explain_target (const struct ejection_service *service, const char *target,
                char text[EXPLANATION_SIZE])
{
  struct detection_explanation explanation;
  text[0] = '\0';
  if (detection_detector_explain (service->detector, now_us (service),
                                  ejection_target_key (service, target),
                                  &explanation))
    detection_explanation_format (&explanation, now_us (service), text,
                                  EXPLANATION_SIZE);
  return text;
}

uint32_t
ejection_detect_trial_share (const struct ejection_service *service,
                             const char *target)
{
  struct detection_explanation explanation;
  const struct floor_claim *claim
      = floor_record_find (floor_owner_claims (service->owner), target);
  if (claim == NULL || claim->manual
      || !detection_detector_explain (service->detector, now_us (service),
                                      ejection_target_key (service, target),
                                      &explanation))
    return 0;
  return explanation.state == DETECTION_ON_TRIAL ? explanation.share_permille
                                                 : 0;
}

static void
log_change (struct ejection_service *service, const char *event,
            const char *target)
{
  char text[EXPLANATION_SIZE];
  const char *evidence = explain_target (service, target, text);
  LOG_INFO (
      event, LOG_STR ("service", service->name), LOG_STR ("target", target),
      LOG_STR ("why", service->why),
      LOG_INT ("epoch", floor_owner_epoch (service->owner)),
      LOG_INT ("reserve_left", floor_owner_reserve_left (service->owner)),
      LOG_STR ("evidence", evidence));
}

void
ejection_detect_announced (struct ejection_service *service,
                           const struct floor_decision *decision)
{
  struct ejection_names now = { .names = NULL };
  ejection_names_assign (&now, decision->targets, decision->count);
  for (size_t i = 0; i < now.count; i++)
    if (!ejection_names_has (&service->announced, now.names[i]))
      {
        detection_detector_ejected (
            service->detector, now_us (service),
            ejection_target_key (service, now.names[i]));
        counter_add (service->task->counters.ejected, 1);
        log_change (service, "ejected", now.names[i]);
      }
  for (size_t i = 0; i < service->announced.count; i++)
    if (!ejection_names_has (&now, service->announced.names[i]))
      {
        detection_detector_reinstated (
            service->detector, now_us (service),
            ejection_target_key (service, service->announced.names[i]));
        counter_add (service->task->counters.reinstated, 1);
        log_change (service, "reinstated", service->announced.names[i]);
      }
  free (now.names);
}

/* Log a refusal once, not at each step that repeats it. */
static void
log_refusal (struct ejection_service *service, uint64_t key,
             const char *target, enum floor_eject_result verdict)
{
  if (service->refused_key == key && service->refused_verdict == verdict)
    return;
  service->refused_key = key;
  service->refused_verdict = verdict;
  counter_add (service->task->counters.refused, 1);
  LOG_INFO ("ejection-refused", LOG_STR ("service", service->name),
            LOG_STR ("target", target),
            LOG_STR ("why", floor_eject_result_name (verdict)),
            LOG_INT ("slack", floor_owner_slack (service->owner)),
            LOG_INT ("old_reserve",
                     floor_owner_claims (service->owner)->old_reserve));
}

static void
eject_target (struct ejection_service *service,
              const struct detection_ejection *ejection)
{
  const char *target = ejection_target_name (service, ejection->target_key);
  if (target == NULL)
    return;
  service->why = detection_reason_name (ejection->reason);
  const double score = ejection->score * SCORE_SCALE;
  const uint32_t scaled = score < 0           ? 0
                          : score > INT32_MAX ? INT32_MAX
                                              : (uint32_t)score;
  const enum floor_eject_result verdict = floor_owner_eject (
      service->owner, ejection_now_ms (service->task), target, scaled, false);
  if (verdict == FLOOR_EJECT_EJECTED || verdict == FLOOR_EJECT_PLANNED
      || verdict == FLOOR_EJECT_ALREADY)
    ejection_owner_update (service);
  else
    log_refusal (service, ejection->target_key, target, verdict);
}

static void
reinstate_target (struct ejection_service *service, uint64_t key)
{
  const char *target = ejection_target_name (service, key);
  service->why = "trial passed";
  if (target != NULL
      && floor_owner_reinstate (
          service->owner, ejection_now_ms (service->task), target, false))
    ejection_owner_update (service);
}

static void
on_probed (void *owner, struct target_probe *probe, bool ok)
{
  struct ejection_service *service = owner;
  for (size_t i = 0; i < EJECTION_PROBES_MAX; i++)
    if (service->probes[i] == probe)
      {
        service->probes[i] = NULL;
        detection_detector_probe_result (service->detector, now_us (service),
                                         service->probe_keys[i], ok);
      }
  target_probe_destroy (probe);
}

static void
start_probe (struct ejection_service *service, uint64_t key)
{
  const char *name = ejection_target_name (service, key);
  size_t free_index = EJECTION_PROBES_MAX;
  for (size_t i = 0; i < EJECTION_PROBES_MAX; i++)
    {
      if (service->probes[i] != NULL && service->probe_keys[i] == key)
        return;
      if (service->probes[i] == NULL)
        free_index = i;
    }
  if (name == NULL || free_index == EJECTION_PROBES_MAX)
    return;
  const struct target_spec *target = service_spec_target (service->spec, name);
  service->probe_keys[free_index] = key;
  service->probes[free_index] = target_probe_start (
      service->task->options.loop, target->address,
      service->spec->limits.connect_timeout_ms, on_probed, service);
}

/* The detector's arrays are valid until its next step.  Carrying out the
   decisions doesn't cause one: ejections only change the announced
   decision. */
void
ejection_detect (struct ejection_service *service)
{
  const struct detection_decisions decisions
      = detection_detector_step (service->detector, now_us (service));
  ejection_paths_set (service, decisions.paths, decisions.path_count);
  for (size_t i = 0; i < decisions.eject_count; i++)
    eject_target (service, &decisions.eject[i]);
  for (size_t i = 0; i < decisions.reinstate_count; i++)
    reinstate_target (service, decisions.reinstate[i]);
  for (size_t i = 0; i < decisions.probe_count; i++)
    start_probe (service, decisions.probe[i]);
}
