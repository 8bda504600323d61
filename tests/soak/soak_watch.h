/** @file
 * Asks every host again and again which version of the service it has in
 * force: within one lifetime it must never go back.
 */
#ifndef TESTS_SOAK_SOAK_WATCH_H
#define TESTS_SOAK_SOAK_WATCH_H

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "tests/soak/soak_world.h"

class SoakWatch
{
public:
  explicit SoakWatch (SoakWorld &world);
  ~SoakWatch ();

  /** Stop asking; what went back, "" if nothing did. */
  std::string stop ();
  /** The version that host NUMBER has in force now; 0: it doesn't say. */
  long version (int number);

private:
  void run ();
  /** Wait for the stop until the next round is due; was there one? */
  bool wait_stop ();

  SoakWorld &world_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::string broken_;
  std::thread thread_;
};

#endif
