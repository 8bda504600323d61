/** @file
 * Which requests were handled by a configuration that a newer, confirmed one
 * had replaced, or by an older one than before.  It uses only what callers
 * sent, what targets ran and when the platform confirmed.
 *
 * All times are in milliseconds of one clock.
 */
#ifndef TESTS_SOAK_CONFIG_JUDGE_H
#define TESTS_SOAK_CONFIG_JUDGE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The users' bounds, all in milliseconds. */
struct ConfigBounds
{
  /** A version must be in force this long after its confirmation. */
  int64_t apply_ms = 2000;
  /** A process is bound by this only when nothing has disturbed it for this
   * long. */
  int64_t stability_ms = 3000;
  /** Longer by this while the platform is unstable. */
  int64_t stretch_ms = 5000;
  /** A process that has shown a version handles nothing by an older one that
   * is sent later than this. */
  int64_t revert_ms = 250;
};

/** A configuration in the order of their writing. */
struct ConfigVersion
{
  int64_t sent_ms;
  int64_t confirmed_ms;
  std::map<std::string, std::string> services; /**< by path; absent: none */
};

/** What disturbed a host, or all of them, as the rule excuses it. */
struct ConfigDisturbance
{
  int host; /**< 0: all */
  int64_t from_ms;
  int64_t to_ms; /**< INT64_MAX: it hasn't ended */
  /** The platform was unstable, but neither down nor slow: the bound is longer
   * instead. */
  bool only_stretches = false;
};

struct ConfigRequest
{
  std::string id;
  int host;
  int lifetime; /**< which start of the host's process it was sent to */
  std::string path;
  int64_t sent_ms;
  int64_t end_ms;
  long status;        /**< 0: no complete response */
  std::string ran_by; /**< service of the target that ran it; "": none */
};

struct ConfigVerdict
{
  int checked = 0; /**< requests whose handling shows a configuration */
  int excused = 0; /**< of these, sent while their host was disturbed */
  std::vector<std::string> wrong; /**< one line each */
};

ConfigVerdict config_judge (const ConfigBounds &bounds,
                            const std::vector<ConfigVersion> &versions,
                            const std::vector<ConfigDisturbance> &disturbances,
                            std::vector<ConfigRequest> requests);

#endif
