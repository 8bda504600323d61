/* A back end leaves: its entry is removed from the store, and it goes on
   serving for some seconds, as the page says.  Half a second later all hosts
   are killed at the same moment and start again.  Each lists the entries in
   two pages, with reads that may be old.  The replica that answers the second
   page is three seconds behind the one that answered the first: the entry of
   the back end that leaves is still on it.  The hosts then watch from the
   revision of the first page, which is after the removal, and never hear of
   it.  They go on sending date holds to the back end, and those that it works
   at when it exits are lost. */
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/tests/platform_fleet.h"
#include "review/common/backend.h"
#include "review/common/store_front.h"

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int host_count = 3;
constexpr int reads_count = 52; /* back ends of another service */
constexpr int holds_count = 8;
constexpr int leaving = reads_count + 3;
constexpr int slots = 3;
constexpr int work_ms = 300;
constexpr int caller_count = 12;
constexpr int page = 50; /* as in the site file */
constexpr int replica_lag_ms = 3000;
constexpr seconds settle{ 5 }, calm{ 4 }, traffic_after{ 16 };
/* The bounds `Drain`, `StabilityWindow` and `Heartbeat` of the settings. */
constexpr milliseconds drain{ 2000 }, stability_window{ 3000 },
    heartbeat{ 1500 };
constexpr milliseconds kill_after{ 500 }, down{ 1000 };
/* It serves for `Drain` and then "at times many seconds". */
constexpr seconds serves_for{ 12 };

struct Answer
{
  std::string attempt;
  Clock::time_point sent;
  long status;
};

std::string
entry (const Backend &backend, const char *service, int sequence)
{
  return std::string ("{\"Service\":\"") + service + "\",\"Address\":\""
         + backend.address
         + "\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":"
         + std::to_string (slots)
         + ",\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":"
         + std::to_string (sequence) + "}";
}

} // namespace

int
main (int argc, char **argv)
{
  const bool trouble = argc < 2 || std::string (argv[1]) != "0";
  FILE *record = fopen (argc > 2 ? argv[2] : "record.txt", "w");
  PlatformFleet fleet;
  fleet.store->hide_era ();
  fleet.store->set_page_size (page);
  const std::string front_address = fleet.addresses.at (3, 8541);
  StoreFront front (*fleet.store, front_address);
  front.set_lag ([] (const std::string &, const std::string &after) {
    return after.empty () ? 0 : replica_lag_ms;
  });
  for (int host = 1; host <= host_count; host++)
    fleet.address_overrides["platform-" + std::to_string (host)]
        = front_address;
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < reads_count + holds_count; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%02d", i);
      backends.push_back (std::make_unique<Backend> (
          fleet.addresses.at (150 + i, 8080), id, slots, work_ms));
    }
  std::atomic<bool> has_left{ false };
  std::atomic<bool> stopping{ false };
  const auto check_in = [&] (int sequence) {
    for (int i = 0; i < reads_count + holds_count; i++)
      if (i != leaving || !has_left)
        fleet.store->put ("servers", backends[i]->id,
                          entry (*backends[i],
                                 i < reads_count ? "reads" : "holds",
                                 sequence));
  };
  check_in (1);
  std::thread check_ins ([&] {
    for (int sequence = 2; !stopping; sequence++)
      {
        std::this_thread::sleep_for (heartbeat);
        check_in (sequence);
      }
  });
  fleet.configure (1);
  for (int host = 1; host <= host_count; host++)
    fleet.start_host (host);
  bool ready = true;
  for (int host = 1; host <= host_count; host++)
    ready = ready && fleet.wait_ready (host);
  std::this_thread::sleep_for (settle);

  std::mutex mutex;
  std::vector<Answer> answers;
  std::atomic<int> sent{ 0 };
  const Clock::time_point begin = Clock::now ();
  std::vector<std::thread> callers;
  for (int caller = 0; caller < caller_count; caller++)
    callers.emplace_back ([&] {
      while (!stopping)
        {
          const int number = ++sent;
          const Clock::time_point at = Clock::now ();
          const HttpResponse response
              = fleet.send_request (1 + number % host_count, "/hold/beach",
                                    "POST", "hold-" + std::to_string (number));
          {
            const std::lock_guard<std::mutex> lock (mutex);
            answers.push_back (
                { "hold-" + std::to_string (number), at, response.status });
          }
          if (response.status != 200)
            std::this_thread::sleep_for (milliseconds (100));
        }
    });
  std::this_thread::sleep_for (calm);
  Backend &gone = *backends[leaving];
  /* Removed by the thread that writes no entries: none is written after. */
  has_left = true;
  std::this_thread::sleep_for (milliseconds (50));
  fleet.store->remove ("servers", gone.id);
  const Clock::time_point removed = Clock::now ();
  Clock::time_point back = removed;
  if (trouble)
    {
      std::this_thread::sleep_until (removed + kill_after);
      for (const auto &host : fleet.hosts)
        host->signal (SIGKILL);
      for (const auto &host : fleet.hosts)
        host->wait ();
      std::this_thread::sleep_for (down);
      for (int host = 1; host <= host_count; host++)
        fleet.start_host (host);
      back = Clock::now ();
    }
  std::this_thread::sleep_until (removed + serves_for);
  gone.exit_now ();
  std::this_thread::sleep_until (removed + traffic_after);
  stopping = true;
  for (std::thread &caller : callers)
    caller.join ();
  check_ins.join ();
  bool running = true;
  for (const auto &host : fleet.hosts)
    running = running && host->running ();

  const Clock::time_point in_touch
      = trouble ? back + stability_window : removed;
  const Clock::time_point bound = std::max (removed + drain, in_touch);
  const auto seconds_of = [&] (Clock::time_point at) {
    return std::chrono::duration<double> (at - begin).count ();
  };
  std::map<std::string, const Answer *> by_attempt;
  std::map<long, int> statuses;
  for (const Answer &answer : answers)
    {
      by_attempt[answer.attempt] = &answer;
      statuses[answer.status]++;
    }
  int before = 0;
  int late = 0;
  int lost = 0;
  fprintf (record, "%9.3f s  the entry of %s is removed\n",
           seconds_of (removed), gone.id.c_str ());
  if (trouble)
    fprintf (record, "%9.3f s  all hosts have started again\n",
             seconds_of (back));
  for (const Backend::Run &run : gone.runs ())
    {
      const auto found = by_attempt.find (run.attempt);
      const Answer *answer
          = found == by_attempt.end () ? nullptr : found->second;
      const bool is_late = run.arrived > bound && answer != nullptr
                           && answer->sent > in_touch;
      before += run.arrived < removed ? 1 : 0;
      late += is_late ? 1 : 0;
      lost += is_late && !run.answered ? 1 : 0;
      fprintf (record, "%9.3f s  %s reaches %s from %s%s; answered %ld%s\n",
               seconds_of (run.arrived), run.attempt.c_str (),
               gone.id.c_str (), run.host.c_str (), is_late ? "  DRAIN" : "",
               answer == nullptr ? 0 : answer->status,
               run.answered ? "" : ", it exits meanwhile");
    }
  fprintf (record, "all requests that were sent, and their answers:\n");
  for (const Answer &answer : answers)
    fprintf (record, "%9.3f s  %s is sent; answered %ld\n",
             seconds_of (answer.sent), answer.attempt.c_str (), answer.status);
  fprintf (record, "all runs:\n");
  for (const auto &backend : backends)
    for (const Backend::Run &run : backend->runs ())
      fprintf (record, "%9.3f s  %s runs %s%s\n", seconds_of (run.arrived),
               backend->id.c_str (), run.attempt.c_str (),
               run.answered ? "" : ", without an answer");
  for (FILE *out : { record, stdout })
    {
      for (const auto &[status, count] : statuses)
        fprintf (out, "answered %ld: %d\n", status, count);
      fprintf (out,
               "%d holds reached %s before it left\n"
               "DRAIN: %d holds reached it later than Drain after its removal "
               "was confirmed, by hosts in touch\n"
               "%d of these were lost when it exited\n",
               before, gone.id.c_str (), late, lost);
    }
  fclose (record);
  if (!ready || !running || before == 0)
    return 2;
  return late > 0 ? 1 : 0;
}
