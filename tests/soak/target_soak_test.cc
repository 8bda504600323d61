/** Targets that are added, leave and are removed while the store comes back
 * from older copies: none gets requests later than `Drain` after its leaving
 * was confirmed. */
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <iostream>
#include <random>
#include <thread>

#include <poll.h>

#include "platform/tests/platform_fleet.h"

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int host_count = 6, targets_min = 3, targets_max = 80;
constexpr milliseconds run_time{ 25000 }, end_time{ 5000 }, tick{ 50 };
/** The users' bounds `Drain` and `StabilityWindow`. */
constexpr milliseconds drain{ 2000 }, stability{ 3000 };
/** What a restore lost is written again within this time. */
constexpr int written_again_ms = 2000;
constexpr int copy_age_max_ms = 4000, away_max_ms = 1000;
constexpr int caller_interval_ms = 5;

/** A back end as it knows itself. */
struct Target
{
  FakeServer *server = nullptr;
  bool is_leaving = false;
  bool is_removed = false;
  Clock::time_point left{}; /**< confirmed by the store */
};

/** Something to be done later. */
struct Task
{
  Clock::time_point at;
  size_t target;
};

class TargetSoak : protected PlatformFleet
{
public:
  explicit TargetSoak (uint64_t seed) : random_ (seed)
  {
  }

  ~TargetSoak ()
  {
    stop_callers ();
  }

  void
  run ()
  {
    for (int i = 0; i < targets_min; i++)
      add_target ();
    configure (1);
    for (int host = 1; host <= host_count; host++)
      start_host (host);
    for (int host = 1; host <= host_count; host++)
      ASSERT_TRUE (wait_ready (host));
    for (int host = 1; host <= host_count; host++)
      callers_.emplace_back ([=] { call_host (host); });
    const auto end = Clock::now () + run_time;
    while (Clock::now () < end)
      {
        const auto next = Clock::now () + tick;
        step ();
        wait_until ([&] { return Clock::now () >= next; });
      }
    const auto last = Clock::now () + end_time;
    while (Clock::now () < last)
      {
        const auto next = Clock::now () + tick;
        write_again ();
        wait_until ([&] { return Clock::now () >= next; });
      }
    stop_callers ();
    judge ();
  }

private:
  int
  below (int limit)
  {
    return static_cast<int> (random_ () % static_cast<uint64_t> (limit));
  }

  void
  add_target ()
  {
    const std::string id = "i-" + std::to_string (targets_.size ());
    targets_.emplace_back ();
    targets_.back ().server = &add_server ("reads", id);
  }

  /* A target that may leave; targets_.size () if there are too few. */
  size_t
  pick_active ()
  {
    std::vector<size_t> active;
    for (size_t i = 0; i < targets_.size (); i++)
      if (!targets_[i].is_leaving && !targets_[i].is_removed)
        active.push_back (i);
    return active.size () <= targets_min
               ? targets_.size ()
               : active[static_cast<size_t> (
                   below (static_cast<int> (active.size ())))];
  }

  void
  write (const Target &target)
  {
    if (target.is_removed)
      store->remove ("servers", target.server->id);
    else
      register_server (*target.server, "reads",
                       target.is_leaving ? "draining" : "ready");
  }

  void
  leave (Target &target, bool is_announced)
  {
    if (target.is_leaving || target.is_removed)
      return;
    target.is_leaving = is_announced;
    target.is_removed = !is_announced;
    write (target);
    target.left = Clock::now ();
  }

  void
  remove_one_that_left ()
  {
    for (Target &target : targets_)
      if (target.is_leaving && !target.is_removed
          && Clock::now () > target.left + drain)
        {
          target.is_removed = true;
          write (target);
          return;
        }
  }

  void
  restore ()
  {
    const auto begin = Clock::now ();
    const auto age = milliseconds (below (copy_age_max_ms));
    const auto away = Clock::now () + milliseconds (200 + below (away_max_ms));
    store->fail (below (2) == 0 ? StoreFault::reset : StoreFault::silent);
    wait_until ([&] { return Clock::now () >= away; });
    while (copies_.size () > 1 && copies_.back ().first > Clock::now () - age)
      copies_.pop_back ();
    store->restore (copies_.back ().second);
    store->fail (StoreFault::none);
    restores_++;
    unstable_.emplace_back (begin, Clock::now () + stability);
    tasks_.clear ();
    for (size_t i = 0; i < targets_.size (); i++)
      tasks_.push_back (
          { Clock::now () + milliseconds (below (written_again_ms)), i });
  }

  void
  write_again ()
  {
    for (size_t i = 0; i < tasks_.size (); i++)
      if (tasks_[i].at <= Clock::now ())
        {
          write (targets_[tasks_[i].target]);
          tasks_.erase (tasks_.begin () + static_cast<long> (i--));
        }
  }

  void
  step ()
  {
    if (copies_.empty ()
        || Clock::now () - copies_.back ().first > milliseconds (200))
      copies_.emplace_back (Clock::now (), store->copy ());
    write_again ();
    const int what = below (60);
    const size_t active = pick_active ();
    if (what < 8 && targets_.size () < targets_max)
      add_target ();
    else if (what < 13 && active < targets_.size ())
      leave (targets_[active], true);
    else if (what < 15 && active < targets_.size ())
      leave (targets_[active], false);
    else if (what < 18)
      remove_one_that_left ();
    else if (what < 19)
      restore ();
  }

  void
  call_host (int host)
  {
    for (int count = 0; !stopping_; count++)
      {
        HttpRequest request;
        request.url = url (host, caller_port, "/read/x");
        request.headers = request_fields ("h" + std::to_string (host) + "-"
                                          + std::to_string (count));
        if (http (request).status == 200)
          served_++;
        else
          not_served_++;
        poll (nullptr, 0, caller_interval_ms);
      }
  }

  void
  stop_callers ()
  {
    stopping_ = true;
    for (std::thread &caller : callers_)
      caller.join ();
    callers_.clear ();
  }

  /* Requests that hosts sent although the store had long confirmed the
     leaving.  While the store is unstable, only hosts that know of the leaving
     are bound. */
  int
  late_arrivals (const Target &target)
  {
    int late = 0;
    for (const auto &at : target.server->arrivals ())
      late += at > target.left + drain
                      && std::none_of (unstable_.begin (), unstable_.end (),
                                       [&] (const auto &one) {
                                         return one.first <= at
                                                && at <= one.second;
                                       })
                  ? 1
                  : 0;
    return late;
  }

  static bool
  reverts_leaving (Process &host, const std::string &id)
  {
    bool is_known = false;
    for (const std::string &line :
         host.lines ({ " target-registered ", "target=" + id + " " }))
      {
        if (is_known && line.find ("state=active") != std::string::npos)
          return true;
        is_known
            = is_known || line.find ("state=drained") != std::string::npos;
      }
    return false;
  }

  void
  judge ()
  {
    int left = 0;
    for (const Target &target : targets_)
      {
        if (!target.is_leaving && !target.is_removed)
          continue;
        left++;
        EXPECT_EQ (late_arrivals (target), 0)
            << target.server->id << "\n"
            << lines_about (target.server->id);
        for (const auto &host : hosts)
          EXPECT_FALSE (reverts_leaving (*host, target.server->id))
              << lines_about (target.server->id);
      }
    std::cout << targets_.size () << " targets, " << left << " left, "
              << restores_ << " restores, " << served_ << " requests served, "
              << not_served_ << " not" << std::endl;
    EXPECT_GT (served_, 0);
    EXPECT_GT (restores_, 0);
  }

  std::string
  lines_about (const std::string &id)
  {
    std::string text;
    for (size_t i = 0; i < hosts.size (); i++)
      {
        text += "host " + std::to_string (i + 1) + "\n";
        for (const std::string &line : hosts[i]->lines ({ " " }))
          if (line.find ("target=" + id + " ") != std::string::npos
              || line.find ("store-restored") != std::string::npos)
            text += line + "\n";
      }
    return text;
  }

  std::mt19937_64 random_;
  std::vector<Target> targets_;
  std::deque<std::pair<Clock::time_point, FakeStore::Copy>> copies_;
  std::vector<Task> tasks_;
  /** When the store was away, or had been less than `stability` before. */
  std::vector<std::pair<Clock::time_point, Clock::time_point>> unstable_;
  int restores_ = 0;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> served_{ 0 }, not_served_{ 0 };
};

void
run_seed (uint64_t seed)
{
  SCOPED_TRACE ("seed " + std::to_string (seed));
  std::cout << "seed " << seed << ": ";
  TargetSoak soak (seed);
  soak.run ();
}

TEST (TargetSoakTest, FirstSeed)
{
  run_seed (1);
}

/* Runs COUNT seeds from FROM as the environment has FROM:COUNT. */
TEST (TargetSoakManual, SeedsFromEnvironment)
{
  const char *seeds = getenv ("JAYSTAIR_TARGET_SOAK");
  if (seeds == nullptr)
    GTEST_SKIP () << "set JAYSTAIR_TARGET_SOAK=FROM:COUNT to run others";
  char *rest = nullptr;
  const uint64_t from = strtoull (seeds, &rest, 10);
  const uint64_t count = *rest == ':' ? strtoull (rest + 1, &rest, 10) : 1;
  for (uint64_t seed = from; seed < from + count; seed++)
    run_seed (seed);
}

} // namespace
