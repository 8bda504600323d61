/** @file
 * The fleet of a soak run, with a relay in front of each target, each host's
 * peer address and the platform, and the execution of events.
 */
#ifndef TESTS_SOAK_SOAK_FLEET_H
#define TESTS_SOAK_SOAK_FLEET_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tests/harness/fleet.h"
#include "tests/harness/host_network.h"
#include "tests/harness/relay.h"
#include "tests/soak/soak_plan.h"

class SoakFleet
{
public:
  SoakFleet (int hosts, int targets, int dcs);

  bool start ();
  void begin (const SoakEvent &event);
  void end (const SoakEvent &event);
  /** Wait until every host serves again; false on a timeout. */
  bool wait_recovered ();

  Fleet &
  fleet ()
  {
    return *fleet_;
  }
  int
  hosts () const
  {
    return static_cast<int> (fleet_->hosts.size ());
  }
  /** The number of starts of host NUMBER. */
  int start_count (int number);

private:
  void signal_host (int number, int signal);
  void reload_host (int number);
  void signal_host_in_series (int number, int variant);
  void restart_host (int number);
  void set_faults (int target, const std::string &query);
  void set_platform (const std::string &query);
  void change_settings ();
  void cut_from_targets (int host, int variant);
  void restore_targets (int host);

  AddressBlock relay_addresses_;
  std::vector<std::unique_ptr<Relay>> target_relays_;
  std::vector<std::unique_ptr<Relay>> peer_relays_;
  std::unique_ptr<Relay> platform_relay_;
  std::unique_ptr<Fleet> fleet_;
  HostNetwork network_;
  std::mutex mutex_;
  std::vector<int> start_counts_;
  int floor_;
};

#endif
