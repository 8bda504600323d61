/** @file
 * Whether a target can be reached directly from this host, or only through
 * other hosts.
 *
 * A network fault may cut the paths from all hosts of a service's set to a
 * target that hosts outside the set can still reach.  Attempts there would
 * never arrive, and the target would stay idle however much the others are
 * overloaded.  So once attempts can't be sent, they go through another host.
 * From time to time one is sent directly, to find out whether the path works
 * again.
 */
#ifndef POLICY_CHOICE_PATH_STATE_H
#define POLICY_CHOICE_PATH_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

/** All zero means that nothing is known.  Times are milliseconds of a
 * monotonic clock, modulo 2^32. */
struct path_state
{
  uint32_t tested_ms; /**< when a direct attempt was last tried or failed */
  uint32_t failed_ms; /**< the last indirect attempt that failed */
  bool is_cut;        /**< the last direct attempt couldn't be sent */
  uint8_t failures;   /**< consecutive indirect attempts that failed */
};

/** Whether the next attempt has to go through another host.  If not, it counts
 * as a test of the direct path. */
bool path_state_choose_indirect (struct path_state *state, int64_t now_ms);

/** A direct attempt has ended. */
void path_state_note_direct (struct path_state *state, int64_t now_ms,
                             enum attempt_end end);

/** An attempt through another host has ended. */
void path_state_note_indirect (struct path_state *state, int64_t now_ms,
                               enum attempt_end end);

#endif
