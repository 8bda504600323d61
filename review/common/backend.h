/** @file
 * Stand-in of a back end as PROTOCOL.md describes it: a new lifetime with an
 * id, slots, work that takes time, a record of what it ran.
 */
#ifndef REVIEW_COMMON_BACKEND_H
#define REVIEW_COMMON_BACKEND_H

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include <microhttpd.h>

using Clock = std::chrono::steady_clock;

class Backend
{
public:
  /** A request that arrived and wasn't rejected. */
  struct Run
  {
    std::string attempt;
    std::string host; /**< the address that it came from */
    Clock::time_point arrived;
    bool answered = false;
  };

  Backend (const std::string &address, const std::string &id, int slots,
           int work_ms);
  ~Backend ();
  Backend (const Backend &) = delete;
  Backend &operator= (const Backend &) = delete;

  /** End as a process does that exits: connections close, what it works at
   * has no answer, nothing listens. */
  void exit_now ();

  std::vector<Run> runs ();

  const std::string address;
  const std::string id;
  const int slots;

  MHD_Result answer (MHD_Connection *connection, const std::string &path);

private:
  const int work_ms_;
  std::atomic<bool> exited_{ false };
  std::mutex mutex_;
  int busy_ = 0;
  std::vector<Run> runs_;
  MHD_Daemon *daemon_ = nullptr;
};

#endif
