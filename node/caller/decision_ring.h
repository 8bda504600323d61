/** @file
 * The latest routing decisions of a host, for operators.
 */
#ifndef NODE_CALLER_DECISION_RING_H
#define NODE_CALLER_DECISION_RING_H

#include <stdint.h>

#include <json-c/json.h>

#include "wire/service_spec.h"

enum
{
  DECISION_RING_SIZE = 256,
  DECISION_REASON_SIZE = 32
};

struct decision
{
  int64_t time_ms; /**< since boot */
  uint64_t request_id;
  uint32_t attempt;
  char service[SERVICE_NAME_SIZE];
  char route[SERVICE_NAME_SIZE];  /**< path prefix, truncated */
  char target[SERVICE_NAME_SIZE]; /**< "-": none */
  char verdict[DECISION_REASON_SIZE];
  char reason[DECISION_REASON_SIZE];
};

struct decision_ring
{
  struct decision decisions[DECISION_RING_SIZE];
  uint64_t total_count; /**< of all decisions added so far */
};

/** Replace the oldest entry by a cleared one. */
struct decision *decision_ring_add (struct decision_ring *ring);

/** Rows for operators, latest first. */
struct json_object *decision_ring_rows (const struct decision_ring *ring);

#endif
