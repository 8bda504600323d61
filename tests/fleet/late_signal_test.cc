/** A host that reads SIGTERM late, and how the requests that it still has
 * end. */
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <vector>

#include "tests/harness/fleet.h"

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/* Shares of the time to leave, as callers are promised: requests sent in its
   first half may be broken off in its last sixth. */
constexpr milliseconds grace{ 6000 };
constexpr milliseconds last_taken = grace / 2, give_up = grace * 5 / 6;
/* When requests are sent, and their interval. */
constexpr milliseconds first_sent{ 1000 }, last_sent{ 3700 }, interval{ 50 };
constexpr int slots = 60;
const std::vector<int> work_ms{ 2200, 2800, 3500 };

/** What a caller saw of a request; times since SIGTERM was sent. */
struct Sent
{
  milliseconds at, end;
  HttpResponse response;
};

bool
was_refused (const HttpResponse &response)
{
  return response.complete && response.status == 503
         && response.header ("jaystair-outcome") == "not-run"
         && !response.header ("retry-after").empty ();
}

std::string
text_of (const Sent &sent)
{
  return "sent after " + std::to_string (sent.at.count ())
         + " ms, ended after " + std::to_string (sent.end.count ())
         + " ms: " + std::to_string (sent.response.status) + " "
         + sent.response.error + " " + sent.response.body;
}

class LateSignal : public testing::Test
{
protected:
  void
  start ()
  {
    FleetOptions options;
    options.hosts = 1;
    options.targets = static_cast<int> (work_ms.size ());
    options.slots = slots;
    options.times = "\"shutdown_ms\":" + std::to_string (grace.count ());
    const char *program = getenv ("JAYSTAIR_LEAVING_PROGRAM");
    if (program != nullptr)
      options.programs[1] = program;
    fleet = std::make_unique<Fleet> (options);
    ASSERT_TRUE (fleet->start ());
    for (size_t i = 0; i < work_ms.size (); i++)
      set_work (i, work_ms[i]);
  }

  void
  set_work (size_t target, int ms)
  {
    ASSERT_TRUE (fleet->post_control (
        fleet->target_url (static_cast<int> (target) + 1,
                           "/control/set?delay_ms=" + std::to_string (ms))));
  }

  milliseconds
  since_signal () const
  {
    return std::chrono::duration_cast<milliseconds> (Clock::now ()
                                                     - signalled);
  }

  /** Send SIGTERM to the host, which stands still for PAUSE_MS then. */
  void
  signal_paused (int pause_ms)
  {
    Process &host = *fleet->hosts[0];
    siginfo_t info;
    host.signal (SIGSTOP);
    ASSERT_EQ (waitid (P_PID, static_cast<id_t> (host.pid ()), &info,
                       WSTOPPED | WNOWAIT),
               0);
    signalled = Clock::now ();
    host.signal (SIGTERM);
    std::this_thread::sleep_for (milliseconds (pause_ms));
    host.signal (SIGCONT);
  }

  void
  send (Sent *sent, const std::string &id)
  {
    HttpRequest request;
    request.method = "POST";
    request.url = fleet->caller_url (1, "/holds");
    request.headers = { "X-Request-Id: " + id };
    sent->at = since_signal ();
    sent->response = http (request);
    sent->end = since_signal ();
  }

  /** Send requests before and after half of the time to leave. */
  std::vector<Sent>
  send_all ()
  {
    const auto count
        = static_cast<size_t> ((last_sent - first_sent) / interval);
    std::vector<Sent> all (count);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < count; i++)
      {
        std::this_thread::sleep_until (signalled + first_sent
                                       + interval * static_cast<int> (i));
        threads.emplace_back (
            [this, &all, i] { send (&all[i], "r" + std::to_string (i)); });
      }
    for (std::thread &thread : threads)
      thread.join ();
    return all;
  }

  std::unique_ptr<Fleet> fleet;
  Clock::time_point signalled;
};

class PausedAtSignal : public LateSignal,
                       public testing::WithParamInterface<int>
{
};

/* Guards against a host that counts its time to leave from when it read the
   signal, and breaks off requests that were sent in the second half of it. */
TEST_P (PausedAtSignal, RequestsAreServedOrRefused)
{
  start ();
  signal_paused (GetParam ());
  int broken_off = 0;
  for (const Sent &sent : send_all ())
    {
      if (sent.response.status == 200 && sent.response.complete)
        continue;
      if (was_refused (sent.response))
        continue;
      EXPECT_TRUE (sent.response.complete) << text_of (sent);
      EXPECT_LE (sent.at, last_taken) << text_of (sent);
      EXPECT_GE (sent.end, give_up) << text_of (sent);
      broken_off++;
    }
  EXPECT_GT (broken_off, 0);
  EXPECT_EQ (fleet->hosts[0]->wait (), 0);
  EXPECT_LT (since_signal (), grace);
  if (HasFailure ())
    std::cerr << fleet->logs ();
}

/* Guards against answers that came while the host stood still, and are thrown
   away when it gives up. */
TEST_F (LateSignal, AnswerThatCameBeforeGivingUpIsPassedOn)
{
  start ();
  for (size_t i = 0; i < work_ms.size (); i++)
    set_work (i, work_ms[0]);
  signal_paused (0);
  /* The first one keeps the host from ending. */
  const std::vector<int> sent_ms{ 1000, 2650, 2700, 2750, 2800, 2850 };
  std::vector<Sent> all (sent_ms.size ());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < all.size (); i++)
    {
      std::this_thread::sleep_until (signalled + milliseconds (sent_ms[i]));
      threads.emplace_back (
          [this, &all, i] { send (&all[i], "r" + std::to_string (i)); });
    }
  std::this_thread::sleep_until (signalled + milliseconds (4700));
  fleet->hosts[0]->signal (SIGSTOP);
  std::this_thread::sleep_until (signalled + milliseconds (5400));
  fleet->hosts[0]->signal (SIGCONT);
  for (std::thread &thread : threads)
    thread.join ();
  for (const Sent &sent : all)
    EXPECT_EQ (sent.response.status, 200) << text_of (sent);
}

INSTANTIATE_TEST_SUITE_P (Pause, PausedAtSignal,
                          testing::Values (0, 100, 350, 600),
                          testing::PrintToStringParamName ());

} // namespace
