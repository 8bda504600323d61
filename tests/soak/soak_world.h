/** @file
 * The fleet of a soak, with a relay before each target, each host's peer
 * address and the platform, and what each event does to it.
 */
#ifndef TESTS_SOAK_SOAK_WORLD_H
#define TESTS_SOAK_SOAK_WORLD_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tests/harness/fleet.h"
#include "tests/harness/relay.h"
#include "tests/soak/soak_plan.h"

class SoakWorld
{
public:
  SoakWorld (int hosts, int targets, int dcs);

  bool start ();
  void begin (const SoakEvent &event);
  void end (const SoakEvent &event);
  /** Wait until every host serves again; false after a generous limit. */
  bool wait_healed ();

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
  /** How often host NUMBER has been started: its lifetime. */
  int lifetime (int number);

private:
  void stop_host (int number, int signal);
  void reload_host (int number);
  void restart_host (int number);
  void set_faults (int target, const std::string &query);
  void set_platform (const std::string &query);
  void change_settings ();

  AddressBlock between_;
  std::vector<std::unique_ptr<Relay>> paths_; /**< to targets */
  std::vector<std::unique_ptr<Relay>> peers_;
  std::unique_ptr<Relay> platform_;
  std::unique_ptr<Fleet> fleet_;
  std::mutex mutex_;
  std::vector<int> lifetimes_;
  int floor_;
};

#endif
