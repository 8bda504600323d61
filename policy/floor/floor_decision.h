/** @file
 * What the owner of a service's ejections tells each host.
 */
#ifndef POLICY_FLOOR_FLOOR_DECISION_H
#define POLICY_FLOOR_FLOOR_DECISION_H

#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_spec.h"

/** The targets out of work, for ENFORCE_MS from the moment at which the host
 * sent the poll that this answers.  Names are borrowed. */
struct floor_decision
{
  uint64_t epoch;
  uint64_t sequence; /**< grows with each change within the epoch */
  uint32_t enforce_ms;
  const char (*targets)[FLOOR_NAME_SIZE];
  size_t count;
};

#endif
