/** @file
 * The states of a host and what hosts tell one another of them.
 */
#ifndef POLICY_FLEET_MEMBER_UPDATE_H
#define POLICY_FLEET_MEMBER_UPDATE_H

#include <stdint.h>

/** Numbers are part of the peer protocol; the worse, the higher. */
enum member_state
{
  MEMBER_LIVE = 0,
  MEMBER_SUSPECT = 1, /**< silent here; others are asked */
  MEMBER_ONE_WAY = 2, /**< heard, but doesn't answer: a one-way cut */
  MEMBER_DEAD = 3,    /**< silent here and for those asked */
  MEMBER_LEAVING = 4, /**< said that it leaves; final for its incarnation */
};

/** "live", "suspect", "one-way", "dead" or "leaving", as operators read it. */
const char *member_state_name (enum member_state state);

/** What is said of one host.  Of two verdicts that with the higher
 * incarnation counts, then the higher counter, then the worse state. */
struct member_update
{
  uint64_t key;
  uint64_t incarnation;
  uint32_t counter;
  enum member_state state;
};

#endif
