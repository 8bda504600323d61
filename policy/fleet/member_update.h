/** @file
 * States of a host and the updates that hosts exchange about them.
 */
#ifndef POLICY_FLEET_MEMBER_UPDATE_H
#define POLICY_FLEET_MEMBER_UPDATE_H

#include <stdint.h>

/** The values are part of the peer protocol.  A worse state has a higher
 * value. */
enum member_state
{
  MEMBER_LIVE = 0,
  MEMBER_SUSPECT = 1, /**< no answer to this host; others are asked */
  MEMBER_ONE_WAY = 2, /**< its heartbeats arrive, but it doesn't answer: a
                         failure in one direction */
  MEMBER_DEAD = 3,    /**< no answer to this host or to those asked */
  MEMBER_LEAVING = 4, /**< leave announced; final for its incarnation */
};

/** Return "live", "suspect", "one-way", "dead" or "leaving", for operators. */
const char *member_state_name (enum member_state state);

/** Update about one host.  Of two updates, the one with the higher
 * incarnation takes precedence, then the higher counter, then the worse
 * state. */
struct member_update
{
  uint64_t key;
  uint64_t incarnation;
  uint32_t counter;
  enum member_state state;
};

#endif
