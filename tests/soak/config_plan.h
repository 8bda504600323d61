/** @file
 * What disturbs a fleet whose configuration changes all the time, generated
 * from a seed.
 */
#ifndef TESTS_SOAK_CONFIG_PLAN_H
#define TESTS_SOAK_CONFIG_PLAN_H

#include <cstdint>
#include <string>
#include <vector>

enum class ConfigFaultKind
{
  suspend,          /**< SIGSTOP and SIGCONT */
  kill,             /**< SIGKILL, started again at the end */
  terminate,        /**< SIGTERM, started again at the end */
  reload,           /**< SIGHUP */
  silence_from,     /**< others receive nothing from the host */
  silence_to,       /**< the host receives nothing from others */
  silence_peers,    /**< both */
  silence_platform, /**< between the host and the platform */
  refuse_platform,  /**< the same; connections are reset */
  cut_off,          /**< from others and the platform */
  store_fault,      /**< of the platform for all hosts */
  compact,          /**< the platform drops its history */
  count,
  /** The platform is away and comes back from an older copy; only in plans
   * with restores. */
  restore = count,
};

struct ConfigFaultEvent
{
  ConfigFaultKind kind;
  int host;
  int variant; /**< selects the fault of the store, or the age of its copy */
  int64_t from_ms;
  int64_t to_ms;
};

struct ConfigPlan
{
  int hosts;
  int change_interval_ms;
  std::vector<ConfigFaultEvent> events; /**< in order of their start */
};

/** Events within DURATION_MS, for up to HOSTS_MAX hosts.  They overlap; at one
 * host, at most one event at a time concerns its process, and one its paths.
 */
ConfigPlan config_plan (uint64_t seed, int hosts_max, int64_t duration_ms);

/** The same with restores of the platform among the events. */
ConfigPlan config_plan_with_restores (uint64_t seed, int hosts_max,
                                      int64_t duration_ms);

std::string config_plan_text (const ConfigPlan &plan);

#endif
