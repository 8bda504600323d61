#include "node/caller/decision_ring.h"

#include <string.h>

#include "base/clock.h"

struct decision *
decision_ring_add (struct decision_ring *ring)
{
  struct decision *decision
      = &ring->decisions[ring->count % DECISION_RING_SIZE];
  ring->count++;
  memset (decision, 0, sizeof *decision);
  return decision;
}

static void
add_text (struct json_object *row, const char *key, const char *text)
{
  json_object_object_add (row, key, json_object_new_string (text));
}

static void
add_number (struct json_object *row, const char *key, int64_t number)
{
  json_object_object_add (row, key, json_object_new_int64 (number));
}

static struct json_object *
decision_row (const struct decision *decision, int64_t now_ms)
{
  struct json_object *row = json_object_new_object ();
  add_number (row, "age_ms", now_ms - decision->at_ms);
  add_text (row, "service", decision->service);
  add_text (row, "route", decision->route);
  add_number (row, "request", (int64_t)decision->request_id);
  add_number (row, "attempt", decision->attempt);
  add_text (row, "verdict", decision->verdict);
  add_text (row, "target", decision->target);
  add_text (row, "why", decision->why);
  return row;
}

struct json_object *
decision_ring_rows (const struct decision_ring *ring)
{
  struct json_object *rows = json_object_new_array ();
  const int64_t now_ms = clock_now_ms ();
  const uint64_t kept
      = ring->count < DECISION_RING_SIZE ? ring->count : DECISION_RING_SIZE;
  for (uint64_t i = 1; i <= kept; i++)
    {
      const uint64_t place = (ring->count - i) % DECISION_RING_SIZE;
      json_object_array_add (rows,
                             decision_row (&ring->decisions[place], now_ms));
    }
  return rows;
}
