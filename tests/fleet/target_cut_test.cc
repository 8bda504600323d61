/** Hosts that are cut from all targets, while callers, the platform and the
 * other hosts still reach them. */
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "tests/harness/fleet.h"
#include "tests/harness/host_network.h"

namespace
{

using Clock = std::chrono::steady_clock;
using Cut = HostNetwork::Cut;
using std::chrono::milliseconds;

constexpr int hosts = 8;
constexpr int dcs = 2;
constexpr int set_hosts_per_dc = 2;
constexpr int targets = 4;
constexpr long deadline_ms = 1500;
constexpr int callers_per_host = 6; /* that read, and as many that write */
constexpr milliseconds send_interval{ 720 };
constexpr milliseconds before_cut{ 1000 }, after_cut{ 3000 };
/* How long the fleet may take to adapt to a cut, and to its end. */
constexpr milliseconds stability_window{ 3000 };
constexpr milliseconds judged{ 3500 };

/** What a caller saw of one request. */
struct Sent
{
  int host;
  bool is_write;
  Clock::time_point at;
  long status; /**< 0: no complete response */
  std::string outcome;
  std::string reason;
  std::string id;
};

/** Requests served at the first attempt. */
struct Share
{
  int served = 0;
  int sent = 0;
  std::map<std::string, int> others; /**< statuses and reasons */

  void
  add (const Sent &one)
  {
    sent++;
    served += one.status == 200 ? 1 : 0;
    if (one.status != 200)
      others[std::to_string (one.status) + " " + one.reason]++;
  }
};

std::ostream &
operator<< (std::ostream &out, const Share &share)
{
  out << share.served << " of " << share.sent;
  for (const auto &other : share.others)
    out << ", " << other.first << ": " << other.second;
  return out;
}

/** Callers at each host that send one request after the other there, whatever
 * its answers. */
class Callers
{
public:
  /** With a PATH all requests are alike. */
  Callers (Fleet &fleet, std::string path = "")
      : fleet_ (fleet), path_ (std::move (path))
  {
    for (int host = 1; host <= hosts; host++)
      for (bool is_write : { false, true })
        for (int caller = 0; caller < callers_per_host; caller++)
          threads_.emplace_back ([=] { run (host, is_write, caller); });
  }

  ~Callers ()
  {
    stop ();
  }

  void
  stop ()
  {
    {
      const std::lock_guard<std::mutex> lock (mutex_);
      stopping_ = true;
    }
    stopped_.notify_all ();
    for (std::thread &thread : threads_)
      thread.join ();
    threads_.clear ();
  }

  /** Let the callers go on for SPAN. */
  void
  run_for (milliseconds span)
  {
    std::unique_lock<std::mutex> lock (mutex_);
    stopped_.wait_for (lock, span);
  }

  std::vector<Sent>
  sent ()
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    return sent_;
  }

private:
  void
  run (int host, bool is_write, int caller)
  {
    auto next = Clock::now () + caller * send_interval / callers_per_host;
    for (int number = caller;; number += callers_per_host)
      {
        {
          std::unique_lock<std::mutex> lock (mutex_);
          if (stopped_.wait_until (lock, next, [this] { return stopping_; }))
            return;
        }
        next = std::max (next, Clock::now ()) + send_interval;
        const Sent one = send (host, is_write, number);
        const std::lock_guard<std::mutex> lock (mutex_);
        sent_.push_back (one);
      }
  }

  Sent
  send (int host, bool is_write, int number) const
  {
    Sent one{ host, is_write, Clock::now (), 0, "", "", "" };
    one.id = (is_write ? "write-" : "read-") + std::to_string (host) + "-"
             + std::to_string (number);
    HttpRequest request;
    request.method = is_write ? "POST" : "GET";
    request.url = fleet_.caller_url (
        host, std::string (is_write ? "/holds/" : "/calendar/")
                  + (path_.empty () ? one.id : path_));
    request.headers
        = { "X-Request-Id: " + one.id,
            "Jaystair-Deadline-Ms: " + std::to_string (deadline_ms) };
    request.timeout_ms = deadline_ms;
    if (is_write)
      request.body = "date=2027-02-14";
    const HttpResponse response = http (request);
    one.status = response.complete ? response.status : 0;
    one.outcome = response.header ("jaystair-outcome");
    if (one.status != 200)
      one.reason = one.status == 0 ? response.error
                                   : json_at (response.body, "reason");
    return one;
  }

  Fleet &fleet_;
  const std::string path_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<Sent> sent_;
  std::vector<std::thread> threads_;
};

/** Which hosts are cut from all targets. */
enum class Who
{
  some_of_set,
  some_outside,
  in_and_out,
  data_centre
};

class TargetCut : public testing::Test
{
protected:
  TargetCut () : fleet (options ())
  {
  }

  static FleetOptions
  options ()
  {
    FleetOptions options;
    options.hosts = hosts;
    options.dcs = dcs;
    options.set_hosts_per_dc = set_hosts_per_dc;
    options.targets = targets;
    options.slots = 8;
    options.times = short_times;
    options.relay_targets = true;
    return options;
  }

  void
  SetUp () override
  {
    for (int host = 1; host <= hosts; host++)
      for (int target = 1; target <= targets; target++)
        network.add_target (host, target, fleet.target_relay (host, target),
                            fleet.target_address (target));
    ASSERT_TRUE (fleet.start ());
    ASSERT_TRUE (wait_until ([this] { return find_set (); })) << fleet.logs ();
    for (int target = 1; target <= targets; target++)
      ASSERT_TRUE (fleet.post_control (
          fleet.target_url (target, "/control/set?delay_ms=60")));
  }

  /* Whether all hosts agree on the set of the service, from their last line on
     it. */
  bool
  find_set ()
  {
    const std::string size
        = "\"hosts\":" + std::to_string (dcs * set_hosts_per_dc) + ",";
    set.clear ();
    for (int host = 1; host <= hosts; host++)
      {
        const auto lines = fleet.hosts[static_cast<size_t> (host - 1)]->lines (
            { "\"host-set\"" });
        if (lines.empty () || lines.back ().find (size) == std::string::npos)
          return false;
        if (lines.back ().find ("\"self\":1") != std::string::npos)
          set.insert (host);
      }
    return set.size () == static_cast<size_t> (dcs * set_hosts_per_dc);
  }

  std::set<int>
  choose (Who who)
  {
    std::set<int> inside;
    std::set<int> outside;
    for (int host = 1; host <= hosts; host++)
      (set.count (host) > 0 ? inside : outside).insert (host);
    std::set<int> chosen;
    if (who == Who::data_centre)
      for (int host = 1; host <= hosts; host++)
        if (fleet.dc_of (host) == fleet.dc_of (1))
          chosen.insert (host);
    if (who == Who::some_of_set || who == Who::in_and_out)
      chosen.insert (inside.begin (), std::next (inside.begin (), 2));
    if (who == Who::some_outside || who == Who::in_and_out)
      chosen.insert (outside.begin (), std::next (outside.begin (), 2));
    return chosen;
  }

  void
  set_cut (const std::set<int> &chosen, bool is_cut, Cut form)
  {
    std::vector<int> all;
    for (int target = 1; target <= targets; target++)
      all.push_back (target);
    for (int host : chosen)
      if (is_cut)
        network.cut_all (host, all, form);
      else
        for (int target : all)
          network.restore (host, target);
  }

  /* The bounds of the rule: served less than two thirds as often as at the
     others, and more than 10 + 1 in 50 of all fail there. */
  void
  expect_served (const std::vector<Sent> &sent, const std::set<int> &chosen,
                 Clock::time_point from, Clock::time_point to,
                 const std::string &when)
  {
    for (bool is_write : { false, true })
      {
        Share at_cut;
        Share at_others;
        for (const Sent &one : sent)
          if (one.is_write == is_write && one.at >= from && one.at < to)
            (chosen.count (one.host) > 0 ? at_cut : at_others).add (one);
        ASSERT_GT (at_cut.sent, 0);
        ASSERT_GT (at_others.served, 0) << at_others << "\n" << fleet.logs ();
        const double share = 1.0 * at_cut.served / at_cut.sent;
        const double other_share = 1.0 * at_others.served / at_others.sent;
        const int failed = at_cut.sent - at_cut.served;
        const int all = at_cut.sent + at_others.sent;
        const bool is_broken
            = share < other_share * 2 / 3 && failed > 10 + all / 50;
        std::ostringstream counts;
        counts << when << ", " << (is_write ? "writes" : "reads")
               << ": at cut hosts " << at_cut << "; at the others "
               << at_others;
        std::cout << counts.str () << "\n";
        EXPECT_FALSE (is_broken) << counts.str ();
        EXPECT_GE (other_share, 0.9) << counts.str ();
      }
  }

  /* Unrepeatable requests run once at most, and none that was refused as not
     run has run. */
  void
  expect_honest (const std::vector<Sent> &sent)
  {
    const std::map<std::string, int> runs = fleet.all_runs ();
    for (const Sent &one : sent)
      {
        const auto found = runs.find (one.id);
        const int count = found == runs.end () ? 0 : found->second;
        const bool is_refused = one.outcome == "not-run";
        EXPECT_TRUE (!one.is_write || count <= (is_refused ? 0 : 1))
            << one.id << " ran " << count << " times, " << one.status << " "
            << one.reason;
        EXPECT_TRUE (one.status != 200 || count >= 1) << one.id;
      }
  }

  void
  play (Cut form, Who who)
  {
    const std::set<int> chosen = choose (who);
    Callers callers (fleet);
    callers.run_for (before_cut);
    const auto cut_at = Clock::now ();
    set_cut (chosen, true, form);
    callers.run_for (stability_window + judged);
    const auto restored_at = Clock::now ();
    set_cut (chosen, false, form);
    callers.run_for (after_cut + milliseconds (1000));
    const auto end = Clock::now ();
    callers.stop ();
    const std::vector<Sent> sent = callers.sent ();
    expect_served (sent, chosen, cut_at + stability_window, restored_at,
                   "cut");
    expect_served (sent, chosen, restored_at + after_cut, end, "restored");
    expect_honest (sent);
  }

  Fleet fleet;
  HostNetwork network;
  std::set<int> set;
};

/* Guards against requests that wait for dead connections at hosts of the set.
 */
TEST_F (TargetCut, HangsForSomeOfSet)
{
  play (Cut::hang, Who::some_of_set);
}

/* Guards against requests that wait for dead connections outside the set. */
TEST_F (TargetCut, HangsForSomeOutside)
{
  play (Cut::hang, Who::some_outside);
}

/* Guards against requests that wait for dead connections in and out of the
   set. */
TEST_F (TargetCut, HangsInAndOut)
{
  play (Cut::hang, Who::in_and_out);
}

/* Guards against requests that wait for dead connections in a whole data
   centre. */
TEST_F (TargetCut, HangsForDataCentre)
{
  play (Cut::hang, Who::data_centre);
}

/* Guards against attempts used up on refused connections at hosts of the set.
 */
TEST_F (TargetCut, ResetForSomeOfSet)
{
  play (Cut::reset, Who::some_of_set);
}

/* Guards against attempts used up on refused connections outside the set. */
TEST_F (TargetCut, ResetForSomeOutside)
{
  play (Cut::reset, Who::some_outside);
}

/* Guards against attempts used up on refused connections in and out of the
   set. */
TEST_F (TargetCut, ResetInAndOut)
{
  play (Cut::reset, Who::in_and_out);
}

/* Guards against attempts used up on refused connections in a whole data
   centre. */
TEST_F (TargetCut, ResetForDataCentre)
{
  play (Cut::reset, Who::data_centre);
}

/* Guards against requests that fail once the open connections are busy, at
   hosts of the set. */
TEST_F (TargetCut, RefusesNewForSomeOfSet)
{
  play (Cut::refuse_new, Who::some_of_set);
}

/* Guards against requests that fail once the open connections are busy,
   outside the set. */
TEST_F (TargetCut, RefusesNewForSomeOutside)
{
  play (Cut::refuse_new, Who::some_outside);
}

/* Guards against requests that fail once the open connections are busy, in and
   out of the set. */
TEST_F (TargetCut, RefusesNewInAndOut)
{
  play (Cut::refuse_new, Who::in_and_out);
}

/* Guards against requests that fail once the open connections are busy, in a
   whole data centre. */
TEST_F (TargetCut, RefusesNewForDataCentre)
{
  play (Cut::refuse_new, Who::data_centre);
}

/* Guards against a cut host that takes refused connections for crashes of the
   targets, so that all hosts refuse requests that are alike. */
TEST_F (TargetCut, NoCrashIsReported)
{
  const std::set<int> chosen = choose (Who::in_and_out);
  Callers callers (fleet, "june");
  callers.run_for (before_cut);
  set_cut (chosen, true, Cut::reset);
  callers.run_for (stability_window);
  const auto from = Clock::now ();
  callers.run_for (judged);
  const auto to = Clock::now ();
  callers.stop ();
  Share at_others;
  for (const Sent &one : callers.sent ())
    if (chosen.count (one.host) == 0 && one.at >= from && one.at < to)
      at_others.add (one);
  EXPECT_GE (at_others.served, at_others.sent * 0.98) << at_others;
  for (const auto &host : fleet.hosts)
    EXPECT_EQ (host->count_lines ({ "\"target-crashed\"" }), 0u);
}

} // namespace
