#include "node/quota/quota_messages.h"

#include "base/xmalloc.h"

enum
{
  COLUMNS = 5,
};

/* Columns of the first row. */
enum first_column
{
  FIRST_HOSTS,
  FIRST_LEASES_SHARE,
  FIRST_IS_COORDINATOR,
};

/* Columns of the other rows. */
enum row_column
{
  ROW_WORKSPACE,
  ROW_REQUESTED,
  ROW_TOKENS,
  ROW_TERM_MS,
  ROW_NEXT_TOKEN_MS,
};

struct peer_message
quota_report_message (enum peer_type type, const struct quota_report *report,
                      int64_t **values)
{
  int64_t *row = xcalloc ((report->row_count + 1) * COLUMNS, sizeof *row);
  *values = row;
  row[FIRST_HOSTS] = report->hosts;
  row[FIRST_LEASES_SHARE] = report->leases_share;
  row[FIRST_IS_COORDINATOR] = report->is_coordinator;
  for (size_t i = 0; i < report->row_count; i++)
    {
      row += COLUMNS;
      row[ROW_WORKSPACE] = (int64_t)report->rows[i].workspace;
      row[ROW_REQUESTED] = report->rows[i].requested;
      row[ROW_TOKENS] = report->rows[i].tokens;
      row[ROW_TERM_MS] = report->rows[i].term_ms;
      row[ROW_NEXT_TOKEN_MS] = report->rows[i].next_token_ms;
    }
  return (struct peer_message){
    .type = type,
    .report = { .epoch = report->echo,
                .sequence = report->stamp,
                .columns = COLUMNS,
                .values = *values,
                .value_count = (report->row_count + 1) * COLUMNS }
  };
}

/* Other hosts may send any value; clamp it to the range of a field. */
static uint32_t
clamp_to_uint32 (int64_t value)
{
  if (value < 0)
    return 0;
  return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

bool
quota_report_read (const struct peer_message *message,
                   struct quota_report *report)
{
  const struct peer_report *from = &message->report;
  if (from->columns != COLUMNS || from->value_count < COLUMNS
      || from->value_count % COLUMNS != 0
      || from->value_count / COLUMNS > QUOTA_ROWS_MAX + 1)
    return false;
  const int64_t *row = from->values;
  report->echo = from->epoch;
  report->stamp = from->sequence;
  report->hosts = clamp_to_uint32 (row[FIRST_HOSTS]);
  report->leases_share = row[FIRST_LEASES_SHARE] != 0;
  report->is_coordinator = row[FIRST_IS_COORDINATOR] != 0;
  report->row_count = from->value_count / COLUMNS - 1;
  for (size_t i = 0; i < report->row_count; i++)
    {
      row += COLUMNS;
      report->rows[i] = (struct quota_row){
        .workspace = (uint64_t)row[ROW_WORKSPACE],
        .requested = clamp_to_uint32 (row[ROW_REQUESTED]),
        .tokens = clamp_to_uint32 (row[ROW_TOKENS]),
        .term_ms = clamp_to_uint32 (row[ROW_TERM_MS]),
        .next_token_ms = clamp_to_uint32 (row[ROW_NEXT_TOKEN_MS]),
      };
    }
  return true;
}
