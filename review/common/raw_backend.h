/** @file
 * Stand-in of a back end that writes its answers byte by byte, so that it can
 * be a faulty one: PROTOCOL.md, "An extra response may arrive late, at the
 * point where the next response is expected.  The ID identifies it."
 */
#ifndef REVIEW_COMMON_RAW_BACKEND_H
#define REVIEW_COMMON_RAW_BACKEND_H

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;

class RawBackend
{
public:
  /** What happened to a request that arrived. */
  struct Event
  {
    Clock::time_point at;
    std::string attempt;
    std::string backend;
    std::string what; /**< "runs", "sheds", "repeats" */
  };

  struct Options
  {
    std::string address;
    std::string id;
    int slots = 3;
    int queue = 2; /**< requests that wait for a slot */
    int work_ms = 300;
    unsigned seed = 1;
  };

  explicit RawBackend (const Options &options);
  ~RawBackend ();
  RawBackend (const RawBackend &) = delete;
  RawBackend &operator= (const RawBackend &) = delete;

  /** Send SHARE of the answers from now on a second time. */
  void garble (double share);

  std::vector<Event> events ();
  /** Number of answers, and of those that were sent twice. */
  int answers ();
  int repeats ();

  const Options options;

private:
  void accept_all ();
  void serve (int fd);
  /** Reads one request into HEAD.  False: the connection ended. */
  bool read_request (int fd, std::string &buffer, std::string &head);
  /** Waits for a slot.  False: the request is shed. */
  bool take_slot ();
  void free_slot ();
  void note (const std::string &attempt, const std::string &what);
  bool is_repeated ();

  int listener_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::set<int> connections_;
  int busy_ = 0;
  int queued_ = 0;
  double garble_ = 0;
  int answers_ = 0;
  int repeats_ = 0;
  std::mt19937 random_;
  std::vector<Event> events_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

#endif
