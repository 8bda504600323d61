#include "node/ejection/ejection_internal.h"

#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "node/json_row.h"

enum
{
  EXPLANATION_SIZE = 512,
  EVIDENCE_SIZE = 512,
};

static const char *
dc_name (const struct ejection_service *service, uint64_t key)
{
  for (size_t i = 0; i < service->poller_count; i++)
    if (hash_string (service->pollers[i].dc) == key)
      return service->pollers[i].dc;
  return "?";
}

static void
add_evidence (const struct ejection_service *service, struct json_object *row,
              const struct detection_explanation *explanation)
{
  char text[EVIDENCE_SIZE];
  size_t used = 0;
  text[0] = '\0';
  for (size_t i = 0; i < explanation->dc_count && used < sizeof text; i++)
    {
      const struct detection_dc_evidence *dc = &explanation->dcs[i];
      used += (size_t)snprintf (
          text + used, sizeof text - used, "%s%s: %u of %u failed, %u slow",
          used > 0 ? "; " : "", dc_name (service, dc->dc_key), dc->failures,
          dc->requests, dc->slow);
    }
  json_row_text (row, "evidence", text);
}

static void
add_explanation (const struct ejection_service *service,
                 struct json_object *row, const char *target)
{
  const int64_t now_us = ejection_now_ms (service->task) * 1000;
  char text[EXPLANATION_SIZE];
  struct detection_explanation explanation;
  if (service->detector == NULL
      || !detection_detector_explain (service->detector, now_us,
                                      ejection_target_key (service, target),
                                      &explanation))
    return;
  detection_explanation_format (&explanation, now_us, text, sizeof text);
  json_row_text (row, "reason", detection_reason_name (explanation.reason));
  json_row_text (row, "why", text);
  json_row_text (row, "trial", detection_state_name (explanation.state));
  json_row_number (row, "since_ms",
                   (now_us - explanation.state_since_us) / 1000);
  json_object_object_add (row, "score",
                          json_object_new_double (explanation.score));
  json_object_object_add (row, "threshold",
                          json_object_new_double (explanation.threshold));
  add_evidence (service, row, &explanation);
}

static struct json_object *
new_row (const struct ejection_service *service, const char *target,
         const char *state)
{
  struct json_object *row = json_object_new_object ();
  json_row_text (row, "service", service->name);
  json_row_text (row, "target", target);
  json_row_text (row, "state", state);
  json_row_flag (row, "enforced_here",
                 ejection_names_has (&service->posted, target));
  return row;
}

static struct json_object *
claim_row (const struct ejection_service *service,
           const struct floor_claim *claim)
{
  const struct floor_owner *owner = service->owner;
  struct json_object *row = new_row (service, claim->target,
                                     floor_claim_state_name (claim->state));
  add_explanation (service, row, claim->target);
  json_row_flag (row, "manual", claim->manual);
  json_row_text (row, "owner", service->task->options.settings->name);
  json_row_number (row, "epoch", (int64_t)floor_owner_epoch (owner));
  json_row_number (row, "version", (int64_t)floor_owner_version (owner));
  json_row_number (row, "reserve", (int64_t)floor_owner_reserve_left (owner));
  json_row_number (row, "slack", (int64_t)floor_owner_slack (owner));
  return row;
}

static void
add_owned (const struct ejection_service *service, struct json_object *rows)
{
  const struct floor_record *claims = floor_owner_claims (service->owner);
  for (size_t i = 0; i < claims->claim_count; i++)
    json_object_array_add (rows, claim_row (service, &claims->claims[i]));
}

static void
add_enforced (const struct ejection_service *service, struct json_object *rows)
{
  const char (*targets)[FLOOR_NAME_SIZE];
  const size_t count = floor_view_targets (service->view, &targets);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *row = new_row (service, targets[i], "ejected");
      json_row_text (row, "owner", service->owner_name);
      json_row_number (row, "epoch",
                       (int64_t)floor_view_epoch (service->view));
      json_object_array_add (rows, row);
    }
}

struct json_object *
ejection_rows (void *owner)
{
  const struct ejection_task *task = owner;
  struct json_object *rows = json_object_new_array ();
  for (const struct ejection_service *service = task->services;
       service != NULL; service = service->hh.next)
    {
      if (service->role == FLOOR_ROLE_OWNER)
        add_owned (service, rows);
      else
        add_enforced (service, rows);
    }
  return rows;
}
