/** @file
 * Whether this host can connect to targets at all.
 *
 * A host that is cut from all targets would take the fault of its own path for
 * faults of the targets, one after the other.  So on the first signs it probes
 * a target, and if that fails, several at once, of all services: only if none
 * accepts a connection the host is cut.  While it is, it goes on probing.
 */
#ifndef POLICY_CHOICE_REACH_STATE_H
#define POLICY_CHOICE_REACH_STATE_H

#include <stdbool.h>
#include <stdint.h>

/** All zero at the start.  Times are milliseconds of a monotonic clock. */
struct reach_state
{
  bool is_cut;
  bool is_wide;         /**< the round in progress probes several targets */
  bool is_reached;      /**< a probe of the round has connected */
  uint8_t pending;      /**< probes in flight; 0: no round in progress */
  uint8_t good_rounds;  /**< in succession, while cut */
  uint64_t round;       /**< the rounds begun so far */
  int64_t round_end_ms; /**< when the last one ended */
  int64_t contact_ms;   /**< when a target last connected or answered */
};

enum reach_change
{
  REACH_UNCHANGED,
  REACH_LOST,
  REACH_RESTORED
};

/** The result of a probe. */
struct reach_step
{
  uint32_t probes; /**< to start now */
  bool is_round_end;
  enum reach_change change;
};

/** A target has answered. */
void reach_state_note_contact (struct reach_state *state, int64_t now_ms);

/** How long no target has connected or answered, in milliseconds. */
int64_t reach_state_silence_ms (const struct reach_state *state,
                                int64_t now_ms);

/** Begin a round if one is due.  IS_SUSPICIOUS: attempts fail or hang.
 * @return the number of probes to start; 0: none is due */
uint32_t reach_state_begin (struct reach_state *state, int64_t now_ms,
                            bool is_suspicious);

/** Begin a round now, unless one is in progress.
 * @return the number of probes to start */
uint32_t reach_state_begin_now (struct reach_state *state);

/** The round in progress can't go on, since there are no targets any more. */
enum reach_change reach_state_cancel_round (struct reach_state *state,
                                            int64_t now_ms);

/** A probe of the round in progress has ended. */
struct reach_step reach_state_note_probe (struct reach_state *state,
                                          int64_t now_ms, bool is_connected);

#endif
