#include "node/control/poison_message.h"

#include <stdio.h>

#include "base/xmalloc.h"

enum row_column
{
  ROW_HEAD,
  ROW_HIGH,
  ROW_LOW,
  ROW_TARGET,
  ROW_EPOCH,
  ROW_STRIKES,
  ROW_LEFT_MS,
  ROW_SENT_AGO_MS,
  ROW_CRASHED_AGO_MS,
  ROW_COLUMNS,
};

static void
put_row (int64_t *to, const struct poison_row *row)
{
  to[ROW_HEAD] = (int64_t)row->fingerprint.head_hash;
  to[ROW_HIGH] = (int64_t)row->fingerprint.high;
  to[ROW_LOW] = (int64_t)row->fingerprint.low;
  to[ROW_TARGET] = (int64_t)row->target;
  to[ROW_EPOCH] = row->epoch;
  to[ROW_STRIKES] = row->strikes;
  to[ROW_LEFT_MS] = row->left_ms;
  to[ROW_SENT_AGO_MS] = row->sent_ago_ms;
  to[ROW_CRASHED_AGO_MS] = row->crashed_ago_ms;
}

struct peer_message
poison_message_make (const char *service, const struct poison_row *rows,
                     size_t count, int64_t **values)
{
  struct peer_message message = { .type = PEER_POISON };
  if (count > POISON_MESSAGE_ROWS_MAX)
    count = POISON_MESSAGE_ROWS_MAX;
  *values = xcalloc (count * ROW_COLUMNS + 1, sizeof **values);
  for (size_t i = 0; i < count; i++)
    put_row (*values + i * ROW_COLUMNS, &rows[i]);
  snprintf (message.report.service, sizeof message.report.service, "%s",
            service);
  message.report.columns = ROW_COLUMNS;
  message.report.values = *values;
  message.report.value_count = count * ROW_COLUMNS;
  return message;
}

static uint32_t
clamp_uint32 (int64_t value)
{
  if (value < 0)
    return 0;
  return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

static struct poison_row
get_row (const int64_t *from)
{
  return (struct poison_row){
    .fingerprint = { .head_hash = (uint64_t)from[ROW_HEAD],
                     .high = (uint64_t)from[ROW_HIGH],
                     .low = (uint64_t)from[ROW_LOW] },
    .target = (uint64_t)from[ROW_TARGET],
    .epoch = clamp_uint32 (from[ROW_EPOCH]),
    .strikes = clamp_uint32 (from[ROW_STRIKES]),
    .left_ms = clamp_uint32 (from[ROW_LEFT_MS]),
    .sent_ago_ms = clamp_uint32 (from[ROW_SENT_AGO_MS]),
    .crashed_ago_ms = clamp_uint32 (from[ROW_CRASHED_AGO_MS]),
  };
}

size_t
poison_message_read (const struct peer_message *message,
                     struct poison_row **rows)
{
  const struct peer_report *report = &message->report;
  const size_t count = report->value_count / ROW_COLUMNS;
  *rows = NULL;
  if (report->columns != ROW_COLUMNS || count == 0
      || report->value_count % ROW_COLUMNS != 0
      || count > POISON_MESSAGE_ROWS_MAX)
    return 0;
  *rows = xcalloc (count, sizeof **rows);
  for (size_t i = 0; i < count; i++)
    (*rows)[i] = get_row (report->values + i * ROW_COLUMNS);
  return count;
}
