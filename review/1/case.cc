/* A back end that is full rejects a request, and its second copy of that
   answer comes late: where the answer to the next request on the connection is
   due.  That next request is a date hold, which the back end has begun to
   run.  The copy bears the id of the earlier request.  The host takes it for
   the answer "not run" to the hold and sends the hold to another back end,
   which runs it as well. */
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform/tests/platform_fleet.h"
#include "review/common/raw_backend.h"

namespace
{

constexpr int host_count = 6;
constexpr int backend_count = 20;
constexpr int slots = 2;
constexpr int queue = 1;
constexpr int caller_count = 40;
constexpr std::chrono::seconds settle{ 4 }, traffic{ 95 };
/* The largest dose of `garble` in the site file: 0.6 of the back ends spoil
   0.05 of their answers for 5.5 s.  It comes again half a second later, to
   other back ends. */
constexpr int garbled_count = 12;
constexpr double garbled_share = 0.05;
constexpr std::chrono::milliseconds spell{ 5500 }, gap{ 500 };

struct Answer
{
  std::string attempt;
  int host;
  long status;
  bool complete;
};

std::string
entry (const RawBackend &backend)
{
  return "{\"Service\":\"holds\",\"Address\":\"" + backend.options.address
         + "\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":"
         + std::to_string (slots)
         + ",\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":1}";
}

} // namespace

int
main (int argc, char **argv)
{
  const bool trouble = argc < 2 || std::string (argv[1]) != "0";
  FILE *record = fopen (argc > 2 ? argv[2] : "record.txt", "w");
  PlatformFleet fleet;
  fleet.store->hide_era ();
  std::vector<std::unique_ptr<RawBackend>> backends;
  for (int i = 0; i < backend_count; i++)
    {
      RawBackend::Options options;
      options.address = fleet.addresses.at (150 + i, 8080);
      options.id = "i-" + std::to_string (i);
      options.slots = slots;
      options.queue = queue;
      options.seed = static_cast<unsigned> (i) + 1;
      backends.push_back (std::make_unique<RawBackend> (options));
      fleet.store->put ("servers", options.id, entry (*backends.back ()));
    }
  fleet.configure_routes (1, { { "r-1", "/hold/", "unsafe", "holds" } },
                          { "holds" });
  for (int host = 1; host <= host_count; host++)
    fleet.start_host (host);
  for (int host = 1; host <= host_count; host++)
    if (!fleet.wait_ready (host))
      return 2;
  std::this_thread::sleep_for (settle);

  std::mutex mutex;
  std::vector<Answer> answers;
  std::atomic<int> sent{ 0 };
  const Clock::time_point begin = Clock::now ();
  std::vector<std::thread> callers;
  for (int caller = 0; caller < caller_count; caller++)
    callers.emplace_back ([&, caller] {
      while (Clock::now () < begin + traffic)
        {
          const std::string attempt = "hold-" + std::to_string (++sent);
          const int host = 1 + caller % host_count;
          const HttpResponse response
              = fleet.send_request (host, "/hold/beach", "POST", attempt);
          {
            const std::lock_guard<std::mutex> lock (mutex);
            answers.push_back (
                { attempt, host, response.status, response.complete });
          }
          const std::string after = response.header ("retry-after");
          if (response.status != 200)
            std::this_thread::sleep_for (std::chrono::milliseconds (
                after.empty ()
                    ? 100
                    : static_cast<int> (atof (after.c_str ()) * 1000)));
        }
    });
  std::mt19937 random (64);
  for (Clock::time_point at = begin; trouble && at + spell < begin + traffic;
       at += spell + gap)
    {
      std::this_thread::sleep_until (at);
      std::shuffle (backends.begin (), backends.end (), random);
      for (int i = 0; i < garbled_count; i++)
        backends[i]->garble (garbled_share);
      std::this_thread::sleep_until (at + spell);
      for (const auto &backend : backends)
        backend->garble (0);
    }
  for (std::thread &caller : callers)
    caller.join ();
  bool running = true;
  for (const auto &host : fleet.hosts)
    running = running && host->running ();

  std::vector<RawBackend::Event> events;
  int answer_count = 0;
  int repeat_count = 0;
  for (const auto &backend : backends)
    {
      for (const RawBackend::Event &event : backend->events ())
        events.push_back (event);
      answer_count += backend->answers ();
      repeat_count += backend->repeats ();
    }
  std::sort (events.begin (), events.end (),
             [] (const auto &a, const auto &b) { return a.at < b.at; });
  std::map<std::string, int> runs;
  int sheds = 0;
  for (const RawBackend::Event &event : events)
    {
      runs[event.attempt] += event.what == "runs" ? 1 : 0;
      sheds += event.what == "sheds" ? 1 : 0;
      fprintf (record, "%9.3f s  %s: %s %s\n",
               std::chrono::duration<double> (event.at - begin).count (),
               event.attempt.c_str (), event.backend.c_str (),
               event.what.c_str ());
    }
  std::map<long, int> statuses;
  int twice = 0;
  int refused = 0;
  for (const Answer &answer : answers)
    {
      const int count = runs[answer.attempt];
      const bool promised = answer.status == 408 || answer.status == 421
                            || answer.status == 429 || answer.status == 503;
      statuses[answer.status]++;
      twice += count > 1 ? 1 : 0;
      refused += promised && count > 0 ? 1 : 0;
      fprintf (record, "%s by host %d: answered %ld%s, ran %d times%s%s\n",
               answer.attempt.c_str (), answer.host, answer.status,
               answer.complete ? "" : " (incomplete)", count,
               count > 1 ? "  TWICE" : "",
               promised && count > 0 ? "  REFUSED" : "");
    }
  for (FILE *out : { record, stdout })
    {
      fprintf (out,
               "%zu holds, %d answers of back ends, %d of them rejections, %d "
               "sent a second time\n",
               answers.size (), answer_count, sheds, repeat_count);
      for (const auto &[status, count] : statuses)
        fprintf (out, "answered %ld: %d\n", status, count);
      fprintf (out, "TWICE: %d holds ran more than once\n", twice);
      fprintf (out, "REFUSED: %d holds ran though the answer was a promise\n",
               refused);
    }
  fclose (record);
  if (!running || answers.size () < 100 || sheds == 0)
    return 2;
  return twice > 0 || refused > 0 ? 1 : 0;
}
