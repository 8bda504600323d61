/** @file
 * The faults of one soak run and their times, generated from a seed.
 */
#ifndef TESTS_SOAK_SOAK_PLAN_H
#define TESTS_SOAK_SOAK_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

enum class SoakKind
{
  host_kill,   /**< SIGKILL, restarted at the end */
  host_term,   /**< SIGTERM, restarted at the end, after its exit */
  host_freeze, /**< SIGSTOP and SIGCONT */
  host_hup,    /**< SIGHUP */
  target_kill,
  target_freeze,
  target_fault, /**< a fault of the stand-in; see target_faults.h */
  path_cut,     /**< one-way link failure between hosts and a target */
  path_delay,
  path_reset,
  peer_cut, /**< one-way link failure between a host and the others */
  peer_delay,
  peer_reset,
  platform_down,
  platform_slow,
  platform_lost, /**< writes take effect, their responses are lost */
  platform_cut,  /**< one-way link failure between hosts and the platform */
  settings,      /**< an operator changes the service */
  count,         /**< of the kinds that soak_plan() draws */
  /** Several signals in a row, the last of which may be a second SIGTERM;
   * restarted at the end. */
  host_signals,
  targets_cut, /**< a host is cut from all targets */
};

struct SoakEvent
{
  int from; /**< step of its start */
  int to;   /**< step of its end, later than FROM */
  SoakKind kind;
  int which;   /**< number of the host or target, from 1 */
  int variant; /**< selects the direction or the target's fault */
};

const char *soak_kind_name (SoakKind kind);

/** Events in order of their start.  They may overlap, but no two of them
 * signal or kill the same process at the same time. */
std::vector<SoakEvent> soak_plan (uint64_t seed, int steps, int hosts,
                                  int targets);

/** Add to PLAN series of signals, restarts and changes of the settings that
 * overlap with its events, except those that affect the same process. */
void soak_add_series (std::vector<SoakEvent> &plan, uint64_t seed, int steps,
                      int hosts);

/** Add to PLAN hosts that are cut from all targets, one or two at a time, in
 * overlapping times. */
void soak_add_cuts (std::vector<SoakEvent> &plan, uint64_t seed, int steps,
                    int hosts);

/** One line per event, for a failure's message. */
std::string soak_plan_text (const std::vector<SoakEvent> &plan);

#endif
