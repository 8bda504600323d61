/** @file
 * Asks every host again and again which version of the service it has in
 * force: within one lifetime it must never go back.
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
  explicit VersionMonitor (SoakFleet &world);
  ~VersionMonitor ();

  /** Stop asking; what went back, "" if nothing did. */
  std::string stop ();
  /** The version that host NUMBER has in force now; 0: it doesn't say. */
  long version (int number);

private:
  void run ();
  /** Wait for the stop until the next round is due; was there one? */
  bool wait_stop ();

  SoakFleet &world_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::string violations_;
  std::thread thread_;
};

#endif
