// The store cuts off the watches that wait, twice within a third of a second,
// and then a back end leaves whose entry is removed without `draining` before.
// No request may reach it later than `Drain` after that.
//
// Usage: case ROOT FOLDER RECORD TROUBLE
#include "../common-2/fleet.h"

namespace
{

constexpr int hosts = 3;
constexpr int backends = 2;
constexpr int callers = 30;
constexpr int work_ms = 50;
constexpr int pause_us = 50000;
constexpr int deadline_ms = 4000;
constexpr int warm_up_s = 6;
constexpr int cuts = 2;
constexpr int cut_interval_us = 300000;
constexpr int removal_after_us = 30000;
constexpr int drain_ms = 2000;
constexpr int exit_after_ms = 2300;
constexpr int rest_s = 2;

} // namespace

int
main (int argc, char **argv)
{
  if (argc != 5)
    return 2;
  const std::string root = argv[1], folder = argv[2];
  const bool has_trouble = std::string (argv[4]) != "0";
  Record record (argv[3]);
  std::vector<std::unique_ptr<Backend>> servers;
  Fleet fleet (root, folder, record);
  const char *const zones[hosts] = { "lakes-a", "lakes-b", "lakes-c" };
  for (const char *zone : zones)
    fleet.add_host (zone);
  fleet.store.put ("config", "main",
                   config_text (1,
                                route_text ("r-1", "/release/", "unsafe",
                                            "escrowpay", "4000ms"),
                                { "escrowpay" }));
  for (int i = 0; i < backends; i++)
    {
      servers.push_back (
          std::make_unique<Backend> (record, "i-" + std::to_string (i + 1),
                                     "escrowpay", zones[i], work_ms));
      fleet.store.put ("servers", servers.back ()->id,
                       servers.back ()->entry ("ready"));
    }
  for (Host &host : fleet.hosts)
    fleet.start (host);
  if (!fleet.wait_ready (15000))
    return 2;

  std::atomic<bool> is_over{ false };
  std::atomic<int> requests{ 0 };
  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; i++)
    threads.emplace_back ([&, i] {
      const Host &host = fleet.hosts[static_cast<size_t> (i % hosts)];
      while (!is_over)
        {
          const std::string id = "release-" + std::to_string (++requests);
          const Outcome outcome = ask (host.front, "POST", "/release/funds",
                                       id, deadline_ms, "amount=1");
          record.line ("caller got status %d to %s from %s", outcome.status,
                       id.c_str (), host.name.c_str ());
          {
            const std::lock_guard<std::mutex> lock (mutex);
            statuses[id] = outcome.status;
          }
          usleep (pause_us);
        }
    });
  sleep (warm_up_s);

  for (int i = 0; i < cuts && has_trouble; i++)
    {
      record.line ("the store cuts off %d watches",
                   fleet.store.cut_watches ());
      if (i + 1 < cuts)
        usleep (cut_interval_us);
    }
  usleep (removal_after_us);
  Backend &leaving = *servers[0];
  const int64_t removed_ms = now_ms ();
  fleet.store.remove ("servers", leaving.id);
  record.line ("the store has removed the entry of %s", leaving.id.c_str ());
  usleep (exit_after_ms * 1000);
  leaving.end ();
  record.line ("%s has exited", leaving.id.c_str ());
  sleep (rest_s);
  is_over = true;
  for (std::thread &thread : threads)
    thread.join ();

  int late = 0, lost = 0;
  for (const Backend::Run &run : leaving.runs ())
    {
      const int64_t after_ms = run.arrived_ms - removed_ms;
      if (after_ms <= drain_ms)
        continue;
      late++;
      lost += statuses[run.id] != 200;
      record.line (
          "BROKEN: %s reached %s %lld ms after its entry was removed; "
          "its caller got status %d",
          run.id.c_str (), leaving.id.c_str (),
          static_cast<long long> (after_ms), statuses[run.id]);
    }
  for (const Host &host : fleet.hosts)
    for (const char *word :
         { "platform-failed kind=target", "removal-held", "target-gone" })
      fleet.quote_log (host, word, 2);
  record.line ("%d requests, %d reached the back end later than Drain, %d of "
               "these weren't answered with success",
               requests.load (), late, lost);
  printf ("requests %d, later than Drain %d, of these without success %d\n",
          requests.load (), late, lost);
  return late > 0 ? 1 : 0;
}
