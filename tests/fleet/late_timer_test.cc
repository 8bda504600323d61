/** Requests whose time ends while their host stands still. */
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "tests/harness/fleet.h"

namespace
{

using std::chrono::milliseconds;

constexpr int plays = 20;
constexpr milliseconds before_pause{ 100 }, pause{ 700 };
constexpr const char *work_ms = "300", *deadline_ms = "600";

/* Guards against an answer that came in time and is thrown away at the
   deadline, since the host wasn't scheduled to read it. */
TEST (LateTimer, AnswerThatCameBeforeTheDeadlineIsPassedOn)
{
  FleetOptions options;
  options.hosts = 1;
  Fleet fleet (options);
  ASSERT_TRUE (fleet.start ());
  for (int target = 1; target <= options.targets; target++)
    ASSERT_TRUE (fleet.post_control (fleet.target_url (
        target, std::string ("/control/set?delay_ms=") + work_ms)));
  for (int play = 0; play < plays; play++)
    {
      const bool is_read = play % 2 == 0;
      HttpRequest request;
      request.method = is_read ? "GET" : "POST";
      request.url = fleet.caller_url (1, is_read ? "/calendar" : "/holds");
      request.headers
          = { "X-Request-Id: r" + std::to_string (play),
              std::string ("Jaystair-Deadline-Ms: ") + deadline_ms };
      HttpResponse response;
      std::thread caller ([&] { response = http (request); });
      std::this_thread::sleep_for (before_pause);
      fleet.hosts[0]->signal (SIGSTOP);
      std::this_thread::sleep_for (pause);
      fleet.hosts[0]->signal (SIGCONT);
      caller.join ();
      EXPECT_EQ (response.status, 200) << request.method << response.body;
    }
}

} // namespace
