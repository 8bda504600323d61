/** @file
 * The decision that the owner of a service's ejections sends to each host.
 */
#ifndef POLICY_FLOOR_FLOOR_DECISION_H
#define POLICY_FLOOR_FLOOR_DECISION_H

#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_spec.h"

/** The ejected targets, enforced for ENFORCE_MS from the moment at which the
 * host sent the poll that this answers.  Names are borrowed. */
struct floor_decision
{
  uint64_t epoch;
  uint64_t sequence; /**< increases with each change within the epoch */
  uint32_t enforce_ms;
  const char (*targets)[FLOOR_NAME_SIZE];
  size_t count;
};

#endif
