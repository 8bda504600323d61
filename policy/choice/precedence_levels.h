/** @file
 * The precedence numbers that the requests of a service have, and how often
 * requests of each are served.
 *
 * A service whose requests all have the same number is served as without
 * precedence.  A number whose requests are served much less often than others
 * counts as starved, and its requests go first until that has changed.
 */
#ifndef POLICY_CHOICE_PRECEDENCE_LEVELS_H
#define POLICY_CHOICE_PRECEDENCE_LEVELS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /** Numbers from the last one on are counted together. */
  PRECEDENCE_LEVELS = 16,
};

struct precedence_level
{
  bool seen;
  int64_t seen_us; /**< last arrival of a request of this number */
  double sent;     /**< first attempts of the last seconds */
  double refused;  /**< requests refused before their first attempt */
};

struct precedence_levels
{
  struct precedence_level levels[PRECEDENCE_LEVELS];
  int64_t decayed_us;
};

/** A new request of PRECEDENCE arrived. */
void precedence_levels_note_arrival (struct precedence_levels *levels,
                                     int64_t now_us, uint32_t precedence);

/** A new request of PRECEDENCE was sent to a target, or refused. */
void precedence_levels_note_end (struct precedence_levels *levels,
                                 int64_t now_us, uint32_t precedence,
                                 bool sent);

/** Do requests of several numbers arrive? */
bool precedence_levels_has_several (const struct precedence_levels *levels,
                                    int64_t now_us);

/** How many lower numbers than PRECEDENCE the requests have. */
uint32_t precedence_levels_below (const struct precedence_levels *levels,
                                  int64_t now_us, uint32_t precedence);

/** The next lower number than PRECEDENCE that requests have; PRECEDENCE if
 * there is none. */
uint32_t precedence_levels_next_lower (const struct precedence_levels *levels,
                                       int64_t now_us, uint32_t precedence);

/** The lowest number that requests have, or PRECEDENCE. */
uint32_t precedence_levels_lowest (const struct precedence_levels *levels,
                                   int64_t now_us, uint32_t precedence);

/** Are requests of PRECEDENCE served much less often than all? */
bool precedence_levels_is_starved (const struct precedence_levels *levels,
                                   int64_t now_us, uint32_t precedence);

#endif
