/** @file
 * Hosts on the platform whose configuration has routes that move between
 * services and are added and removed, callers that use each host all the time,
 * and what disturbs them.
 */
#ifndef TESTS_SOAK_CONFIG_FLEET_H
#define TESTS_SOAK_CONFIG_FLEET_H

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform/tests/platform_fleet.h"
#include "tests/harness/host_network.h"
#include "tests/soak/config_judge.h"

struct ConfigFleetOptions
{
  int hosts = 6;
  int zones = 3;
  int callers_per_host = 2;
  /** Age of what a read shows that may be old. */
  int stale_lag_ms = 1500;
};

class KeptConnection;

class ConfigFleet
{
public:
  explicit ConfigFleet (const ConfigFleetOptions &options);
  ~ConfigFleet ();

  /** Start the hosts and the callers; false on a timeout. */
  bool start ();
  /** Write the next configuration. */
  void change ();

  /* What the rule excuses, until a while after its end. */
  /** IS_EXCUSED: as if the rule's judge knew of it. */
  void suspend (int host, bool is_excused = true);
  void resume (int host);
  void kill (int host);
  void terminate (int host);
  void start_again (int host);
  void reload (int host);
  void silence_platform (int host, bool is_silent);
  void refuse_platform (int host, bool is_refused);
  /** A fault of the platform's store for all hosts. */
  void fail_store (StoreFault fault);
  void compact_store ();
  /** Keep a copy of the store, to be called all the time. */
  void keep_copy ();
  /** Bring the store back from a copy about AGE_MS old, and end its fault.
   * @param is_written_again  the operator writes the newest version before
   * hosts reach the store, otherwise only the next one */
  void restore_store (int64_t age_ms, bool is_written_again);

  /* What it doesn't excuse. */
  void silence_peers (int host, bool is_silent);
  void silence_from (int host, bool is_silent);
  void silence_to (int host, bool is_silent);

  /** Stop the callers and judge all that they sent. */
  ConfigVerdict finish ();
  /** Times in which the simulated network stood still, for a failure's
   * message. */
  std::string network_gaps ();
  /** The last lines of all hosts about settings and faults. */
  std::string logs ();
  int hosts () const;
  /** The hosts that say of themselves that they are leading relays. */
  std::vector<int> leading_hosts ();
  int64_t now_ms () const;

private:
  /** Requests one after the other on a connection that is kept. */
  void call_host (int host, int caller);
  /** Requests at fixed times, each on a connection of its own. */
  void call_host_at_intervals (int host);
  void send_one (KeptConnection *connection, int host, const std::string &id,
                 const std::string &path);
  void record (ConfigRequest request);
  void begin_disturbance (int host);
  void end_disturbance (int host);
  void write_version ();
  void configure_version (int number, const ConfigVersion &version);

  ConfigFleetOptions options_;
  PlatformFleet fleet_;
  HostNetwork network_;
  std::vector<ConfigVersion> versions_;
  /** Copies of the store and when they were taken. */
  std::deque<std::pair<int64_t, FakeStore::Copy>> copies_;
  std::vector<ConfigDisturbance> disturbances_;
  std::vector<std::unique_ptr<std::atomic<int>>> lifetimes_;
  std::mutex mutex_; /**< of requests_ */
  std::vector<ConfigRequest> requests_;
  std::atomic<bool> stopping_{ false };
  std::vector<std::thread> callers_;
};

#endif
