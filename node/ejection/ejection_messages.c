#include "node/ejection/ejection_messages.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

/* Columns of the header row, and of the other rows of a message. */
enum
{
  HEAD_KIND,
  HEAD_INCARNATION,
  HEAD_POLL_MS,
  HEAD_ENFORCE_MS,
  HEAD_ID = HEAD_INCARNATION,
  HEAD_VERSION = HEAD_POLL_MS,
  HEAD_VERB = HEAD_ENFORCE_MS,
  HEAD_STATUS,
  HEAD_REASON,
  HEAD_DEMAND = HEAD_STATUS,
  HEAD_SHARE_FROM = HEAD_STATUS,
  HEAD_SHARE = HEAD_REASON,
  HEAD_COLUMNS,

  /* Columns of a target's row in a notice. */
  TARGET_SHARE = 0,
  TARGET_IS_AVOIDED,

  /* Columns of a target's row in a report. */
  ITEM_KEY = 0,
  ITEM_REQUESTS,
  ITEM_FAILURES,
  ITEM_TIMEOUTS,
  ITEM_SHEDS,
  ITEM_LATENCY,
  ITEM_COLUMNS = ITEM_LATENCY + DETECTION_LATENCY_BUCKETS,

  PERMILLE = 1000,
  /* Shares never exceed this, including their over-commitment. */
  SHARE_MAX_PERMILLE = 4 * PERMILLE,
};

static enum status
send_rows (struct ejection_transport *transport, const char *to,
           enum peer_type type, const struct peer_report *report)
{
  const struct peer_message message = { .type = type, .report = *report };
  return transport->ops->send (transport, to, &message);
}

static void
set_service (struct peer_report *report, const char *service)
{
  snprintf (report->service, sizeof report->service, "%s", service);
}

static void
format_item (int64_t *row, const struct detection_report_item *item)
{
  const struct detection_evidence *evidence = &item->evidence;
  row[ITEM_KEY] = (int64_t)item->target_key;
  row[ITEM_REQUESTS] = evidence->requests;
  row[ITEM_FAILURES] = evidence->failures;
  row[ITEM_TIMEOUTS] = evidence->timeouts;
  row[ITEM_SHEDS] = evidence->sheds;
  for (size_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    row[ITEM_LATENCY + i] = evidence->latency[i];
}

enum status
ejection_send_report (struct ejection_transport *transport, const char *to,
                      const struct ejection_report *report)
{
  const size_t columns = report->count > 0 ? ITEM_COLUMNS : HEAD_COLUMNS;
  int64_t *values = xcalloc ((report->count + 1) * columns, sizeof *values);
  char dc[1][PEER_NAME_SIZE];
  snprintf (dc[0], sizeof dc[0], "%s", report->dc);
  values[HEAD_KIND] = EJECTION_REPORT;
  values[HEAD_INCARNATION] = (int64_t)report->incarnation;
  values[HEAD_POLL_MS] = report->poll_ms;
  values[HEAD_DEMAND] = report->demand;
  for (size_t i = 0; i < report->count; i++)
    format_item (values + (i + 1) * columns, &report->items[i]);
  struct peer_report message = { .epoch = report->epoch,
                                 .columns = (uint32_t)columns,
                                 .values = values,
                                 .value_count = (report->count + 1) * columns,
                                 .names = dc,
                                 .name_count = 1 };
  set_service (&message, report->service);
  const enum status status
      = send_rows (transport, to, PEER_EVIDENCE, &message);
  free (values);
  return status;
}

static void
format_targets (const struct ejection_notice *notice, int64_t *rows,
                char (*names)[PEER_NAME_SIZE])
{
  for (size_t i = 0; i < notice->count; i++)
    {
      if (notice->trial_permille != NULL)
        rows[i * HEAD_COLUMNS + TARGET_SHARE] = notice->trial_permille[i];
      memcpy (names[i], notice->names[i], sizeof names[i]);
    }
  for (size_t i = notice->count; i < notice->count + notice->avoided_count;
       i++)
    {
      rows[i * HEAD_COLUMNS + TARGET_IS_AVOIDED] = 1;
      memcpy (names[i], notice->avoided[i - notice->count], sizeof names[i]);
    }
}

enum status
ejection_send_notice (struct ejection_transport *transport, const char *to,
                      const struct ejection_notice *notice)
{
  const size_t count = notice->count + notice->avoided_count;
  int64_t *values = xcalloc ((count + 1) * HEAD_COLUMNS, sizeof *values);
  char (*names)[PEER_NAME_SIZE] = xcalloc (count + 1, sizeof *names);
  values[HEAD_KIND] = notice->kind;
  values[HEAD_INCARNATION] = (int64_t)notice->incarnation;
  values[HEAD_POLL_MS] = notice->poll_ms;
  values[HEAD_ENFORCE_MS] = notice->enforce_ms;
  values[HEAD_SHARE_FROM] = notice->share.from_permille;
  values[HEAD_SHARE] = notice->share.permille;
  format_targets (notice, values + HEAD_COLUMNS, names);
  struct peer_report message = { .epoch = notice->epoch,
                                 .sequence = notice->sequence,
                                 .columns = HEAD_COLUMNS,
                                 .values = values,
                                 .value_count = (count + 1) * HEAD_COLUMNS,
                                 .names = names,
                                 .name_count = count };
  set_service (&message, notice->service);
  const enum status status
      = send_rows (transport, to, PEER_DECISION, &message);
  free (names);
  free (values);
  return status;
}

enum status
ejection_send_command_message (struct ejection_transport *transport,
                               const char *to,
                               const struct ejection_command_message *command)
{
  int64_t values[HEAD_COLUMNS] = { 0 };
  char target[1][PEER_NAME_SIZE];
  snprintf (target[0], sizeof target[0], "%s", command->target);
  values[HEAD_KIND] = command->kind;
  values[HEAD_ID] = (int64_t)command->id;
  values[HEAD_VERSION] = (int64_t)command->version;
  values[HEAD_VERB] = command->verb;
  values[HEAD_STATUS] = command->status;
  values[HEAD_REASON] = command->reason;
  struct peer_report message = { .columns = HEAD_COLUMNS,
                                 .values = values,
                                 .value_count = HEAD_COLUMNS,
                                 .names = target,
                                 .name_count = 1 };
  set_service (&message, command->service);
  const bool is_command = command->kind == EJECTION_COMMAND;
  return send_rows (transport, to, is_command ? PEER_EVIDENCE : PEER_DECISION,
                    &message);
}

enum ejection_kind
ejection_message_kind (const struct peer_report *report)
{
  if (report->columns < HEAD_COLUMNS || report->value_count < report->columns
      || report->value_count % report->columns != 0)
    return 0;
  const int64_t kind = report->values[HEAD_KIND];
  if (kind < EJECTION_REPORT || kind > EJECTION_RESULT)
    return 0;
  return (enum ejection_kind)kind;
}

static bool
read_count (int64_t value, uint32_t *count)
{
  if (value < 0 || value > UINT32_MAX)
    return false;
  *count = (uint32_t)value;
  return true;
}

static bool
read_item (const int64_t *row, struct detection_report_item *item)
{
  struct detection_evidence *evidence = &item->evidence;
  item->target_key = (uint64_t)row[ITEM_KEY];
  bool ok = item->target_key != 0
            && read_count (row[ITEM_REQUESTS], &evidence->requests)
            && read_count (row[ITEM_FAILURES], &evidence->failures)
            && read_count (row[ITEM_TIMEOUTS], &evidence->timeouts)
            && read_count (row[ITEM_SHEDS], &evidence->sheds);
  for (size_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    ok = ok && read_count (row[ITEM_LATENCY + i], &evidence->latency[i]);
  return ok && evidence->failures <= evidence->requests;
}

bool
ejection_read_report (const struct peer_report *message,
                      struct ejection_report *report)
{
  const size_t count = message->value_count / message->columns - 1;
  uint32_t demand;
  if (message->name_count != 1 || count > EJECTION_ITEMS_MAX
      || !read_count (message->values[HEAD_DEMAND], &demand)
      || (count > 0 && message->columns != ITEM_COLUMNS))
    return false;
  struct detection_report_item *items = xcalloc (count + 1, sizeof *items);
  for (size_t i = 0; i < count; i++)
    if (!read_item (message->values + (i + 1) * message->columns, &items[i]))
      {
        free (items);
        return false;
      }
  *report = (struct ejection_report){
    .service = message->service,
    .epoch = message->epoch,
    .incarnation = (uint64_t)message->values[HEAD_INCARNATION],
    .poll_ms = message->values[HEAD_POLL_MS],
    .dc = message->names[0],
    .demand = demand,
    .items = items,
    .count = count,
  };
  return true;
}

static bool
read_share (const int64_t *head, struct slot_share *share)
{
  return read_count (head[HEAD_SHARE_FROM], &share->from_permille)
         && read_count (head[HEAD_SHARE], &share->permille)
         && share->from_permille <= SHARE_MAX_PERMILLE
         && share->permille <= SHARE_MAX_PERMILLE;
}

/* Read COUNT rows.  The ejected targets come first; *EJECTED is their
   number. */
static bool
read_targets (const int64_t *rows, size_t count, uint32_t *shares,
              size_t *ejected)
{
  *ejected = 0;
  for (size_t i = 0; i < count; i++)
    {
      const int64_t *row = rows + i * HEAD_COLUMNS;
      const int64_t avoided = row[TARGET_IS_AVOIDED];
      if (!read_count (row[TARGET_SHARE], &shares[i]) || shares[i] > PERMILLE
          || avoided < 0 || avoided > 1 || (avoided == 0 && *ejected < i))
        return false;
      *ejected += (size_t)(avoided == 0);
    }
  return true;
}

bool
ejection_read_notice (const struct peer_report *message,
                      struct ejection_notice *notice)
{
  const size_t count = message->value_count / message->columns - 1;
  uint32_t enforce_ms;
  struct slot_share share;
  if (message->columns != HEAD_COLUMNS || message->name_count != count
      || !read_count (message->values[HEAD_ENFORCE_MS], &enforce_ms)
      || !read_share (message->values, &share))
    return false;
  uint32_t *shares = xcalloc (count + 1, sizeof *shares);
  size_t ejected;
  if (!read_targets (message->values + HEAD_COLUMNS, count, shares, &ejected))
    {
      free (shares);
      return false;
    }
  const char (*names)[PEER_NAME_SIZE]
      = (const char (*)[PEER_NAME_SIZE])message->names;
  *notice = (struct ejection_notice){
    .kind = ejection_message_kind (message),
    .service = message->service,
    .epoch = message->epoch,
    .sequence = message->sequence,
    .enforce_ms = enforce_ms,
    .incarnation = (uint64_t)message->values[HEAD_INCARNATION],
    .poll_ms = message->values[HEAD_POLL_MS],
    .names = names,
    .trial_permille = shares,
    .count = ejected,
    .avoided = names + ejected,
    .avoided_count = count - ejected,
    .share = share,
  };
  return true;
}

bool
ejection_read_command_message (const struct peer_report *message,
                               struct ejection_command_message *command)
{
  if (message->columns != HEAD_COLUMNS || message->name_count != 1
      || message->value_count != HEAD_COLUMNS)
    return false;
  const int64_t *head = message->values;
  *command = (struct ejection_command_message){
    .kind = ejection_message_kind (message),
    .service = message->service,
    .target = message->names[0],
    .id = (uint64_t)head[HEAD_ID],
    .version = (uint64_t)head[HEAD_VERSION],
    .verb = (int)head[HEAD_VERB],
    .status = (int)head[HEAD_STATUS],
    .reason = (int)head[HEAD_REASON],
  };
  return true;
}
