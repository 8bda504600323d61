/** @file
 * Polls the version of the service that is in force on every host.  During one
 * process lifetime of a host it must never decrease.
 */
#ifndef TESTS_SOAK_VERSION_MONITOR_H
#define TESTS_SOAK_VERSION_MONITOR_H

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "tests/soak/soak_fleet.h"

class VersionMonitor
{
public:
  explicit VersionMonitor (SoakFleet &fleet);
  ~VersionMonitor ();

  /** Stop polling.
   * @return "" or a description of each decrease */
  std::string stop ();
  /** The version in force on host NUMBER; 0 if it doesn't respond. */
  long version (int number);

private:
  void run ();
  /** Wait for the next round.
   * @return true if stop() was called */
  bool wait_stop ();

  SoakFleet &fleet_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::string violations_;
  std::thread thread_;
};

#endif
