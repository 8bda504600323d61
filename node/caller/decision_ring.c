#include "node/caller/decision_ring.h"

#include <string.h>

#include "base/clock.h"
#include "node/json_row.h"

struct decision *
decision_ring_add (struct decision_ring *ring)
{
  struct decision *decision
      = &ring->decisions[ring->total_count % DECISION_RING_SIZE];
  ring->total_count++;
  memset (decision, 0, sizeof *decision);
  return decision;
}

static struct json_object *
decision_row (const struct decision *decision, int64_t now_ms)
{
  struct json_object *row = json_object_new_object ();
  json_row_number (row, "age_ms", now_ms - decision->time_ms);
  json_row_text (row, "service", decision->service);
  json_row_text (row, "route", decision->route);
  json_row_number (row, "request", (int64_t)decision->request_id);
  json_row_number (row, "attempt", decision->attempt);
  json_row_text (row, "verdict", decision->verdict);
  json_row_text (row, "target", decision->target);
  json_row_text (row, "why", decision->reason);
  return row;
}

struct json_object *
decision_ring_rows (const struct decision_ring *ring)
{
  struct json_object *rows = json_object_new_array ();
  const int64_t now_ms = clock_now_ms ();
  const uint64_t entry_count = ring->total_count < DECISION_RING_SIZE
                                   ? ring->total_count
                                   : DECISION_RING_SIZE;
  for (uint64_t i = 1; i <= entry_count; i++)
    {
      const uint64_t index = (ring->total_count - i) % DECISION_RING_SIZE;
      json_object_array_add (rows,
                             decision_row (&ring->decisions[index], now_ms));
    }
  return rows;
}
