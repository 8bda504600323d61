/** @file
 * What goes wrong in one run of the soak, and when, drawn from a seed.
 */
#ifndef TESTS_SOAK_SOAK_PLAN_H
#define TESTS_SOAK_SOAK_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

enum class SoakKind
{
  host_kill,   /**< SIGKILL, started again at the end */
  host_term,   /**< SIGTERM, started again once it is over */
  host_freeze, /**< SIGSTOP and SIGCONT */
  host_hup,
  target_kill,
  target_freeze,
  target_fault, /**< the stand-in answers wrongly; see target_faults.h */
  path_cut,     /**< one way between hosts and a target */
  path_delay,
  path_reset,
  peer_cut, /**< one way to a host from the others */
  peer_delay,
  peer_reset,
  platform_down,
  platform_slow,
  platform_lost, /**< writes take effect, their answers are lost */
  platform_cut,  /**< one way between hosts and the platform */
  settings,      /**< an operator changes the service */
  count
};

struct SoakEvent
{
  int from; /**< step at which it begins */
  int to;   /**< step at which it ends; later than FROM */
  SoakKind kind;
  int which;   /**< number of the host or target, from 1 */
  int variant; /**< which way, or which wrong answer */
};

const char *soak_kind_name (SoakKind kind);

/** Events in order of their beginning.  They overlap, but no two of them
 * signal or kill one process at a time. */
std::vector<SoakEvent> soak_plan (uint64_t seed, int steps, int hosts,
                                  int targets);

/** One line an event, for a failure's message. */
std::string soak_plan_text (const std::vector<SoakEvent> &plan);

#endif
