/** @file
 * Measurements of fleets of separate processes: processor time, bytes, memory
 * and platform calls of control while idle, the time until a settings change
 * is in force, and requests lost or run twice while all hosts are restarted
 * under load.
 */
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int dcs = 3;
constexpr int targets = 3;
constexpr int settle_ms = 3000;
constexpr int settle_change_ms = 1000;
/* Time to write the ejection records of many new services. */
constexpr int settle_services_ms = 6000;
/* The duration of a watch call, so that each watch is counted once. */
constexpr int measure_ms = 20000;
constexpr int changes = 10;
constexpr int rolling_hosts = 6;
constexpr int callers = 4;
constexpr size_t requests_per_restart = 200;

/** The size of each service other than "holds". */
struct ServiceShape
{
  int targets;
  int routes;
};

constexpr ServiceShape small_shape = { 3, 2 };

/** Totals of the resources used by a fleet, at one time. */
struct Usage
{
  Clock::time_point at;
  double cpu_us = 0;
  double bytes_in = 0;
  double bytes_out = 0;
  double rss_kb = 0;
  double reads = 0;
  double writes = 0;
  double watches = 0;
};

[[noreturn]] void
fail (const std::string &why)
{
  std::cerr << "fleet_bench: " << why << "\n";
  exit (EXIT_FAILURE);
}

void
wait_ms (int time_ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (time_ms));
}

double
ms_since (Clock::time_point start)
{
  return std::chrono::duration<double, std::milli> (Clock::now () - start)
      .count ();
}

/* Processor time of all threads.  schedstat counts nanoseconds, stat only
   hundredths of a second. */
double
cpu_us_of (pid_t pid)
{
  double total_ns = 0;
  const std::string folder = "/proc/" + std::to_string (pid) + "/task";
  for (const auto &task : std::filesystem::directory_iterator (folder))
    {
      double used_ns = 0;
      std::ifstream (task.path () / "schedstat") >> used_ns;
      total_ns += used_ns;
    }
  return total_ns / 1000;
}

double
rss_kb_of (pid_t pid)
{
  std::ifstream in ("/proc/" + std::to_string (pid) + "/status");
  for (std::string line; getline (in, line);)
    if (line.rfind ("VmRSS:", 0) == 0)
      return std::stod (line.substr (sizeof "VmRSS:" - 1));
  return 0;
}

/* The sum of the series of a metric whose lines start with PREFIX. */
double
metric (const std::string &metrics, const std::string &prefix)
{
  std::istringstream in (metrics);
  double sum = 0;
  for (std::string line; getline (in, line);)
    if (line.rfind (prefix, 0) == 0)
      sum += std::stod (line.substr (line.rfind (' ')));
  return sum;
}

void
add_host (Fleet &fleet, int number, Usage &usage)
{
  const pid_t pid = fleet.hosts[static_cast<size_t> (number - 1)]->pid ();
  const std::string metrics
      = http_get (fleet.operator_url (number, "/metrics")).body;
  const std::string bytes = "jaystair_peer_bytes_total{direction=";
  usage.cpu_us += cpu_us_of (pid);
  usage.rss_kb += rss_kb_of (pid);
  usage.bytes_in += metric (metrics, bytes + "\"in\"");
  usage.bytes_out += metric (metrics, bytes + "\"out\"");
}

Usage
read_usage (Fleet &fleet)
{
  Usage usage;
  const std::string calls
      = http_get (fleet.platform_url ("/control/calls")).body;
  usage.at = Clock::now ();
  usage.reads = std::stod ("0" + json_at (calls, "reads"));
  usage.writes = std::stod ("0" + json_at (calls, "writes"));
  usage.watches = std::stod ("0" + json_at (calls, "watches"));
  for (size_t i = 0; i < fleet.hosts.size (); i++)
    add_host (fleet, static_cast<int> (i) + 1, usage);
  return usage;
}

/* Measures a fleet from construction to finish(). */
class Measurement
{
public:
  Measurement (Fleet &fleet, int services)
      : fleet_ (fleet), services_ (services), before_ (read_usage (fleet))
  {
  }

  void
  finish ()
  {
    const Usage after = read_usage (fleet_);
    const double seconds
        = std::chrono::duration<double> (after.at - before_.at).count ();
    const double hosts = static_cast<double> (fleet_.hosts.size ());
    const double host_seconds = seconds * hosts;
    const double reads = after.reads - before_.reads;
    const double writes = after.writes - before_.writes;
    const double calls = reads + writes + after.watches - before_.watches;
    print ("control_cpu_us_per_s_per_host",
           (after.cpu_us - before_.cpu_us) / host_seconds, "us/s");
    print ("control_bytes_in_per_s_per_host",
           (after.bytes_in - before_.bytes_in) / host_seconds, "B/s");
    print ("control_bytes_per_s_per_host",
           (after.bytes_out - before_.bytes_out) / host_seconds, "B/s");
    print ("control_rss_kb", after.rss_kb / hosts, "kB");
    print ("platform_reads_per_s", reads / seconds, "1/s");
    print ("platform_writes_per_s", writes / seconds, "1/s");
    print ("platform_calls_per_s", calls / seconds, "1/s");
    print ("platform_calls_per_s_per_host", calls / host_seconds, "1/s");
    measure_changes ((after.bytes_out - before_.bytes_out) / seconds);
  }

private:
  void
  print (const std::string &name, double value, const char *unit)
  {
    printf ("figure %s_%zu_hosts_%d_services %.2f %s\n", name.c_str (),
            fleet_.hosts.size (), services_, value, unit);
    fflush (stdout);
  }

  /* Subtracts the traffic of the idle fleet, IDLE_BYTES_PER_S. */
  void
  measure_changes (double idle_bytes_per_s)
  {
    const Usage before = read_usage (fleet_);
    double worst_ms = 0;
    for (int i = 0; i < changes; i++)
      worst_ms = std::max (worst_ms, change_ms (i % 2 == 0 ? 5 : 6));
    wait_ms (settle_change_ms);
    const Usage after = read_usage (fleet_);
    const double seconds
        = std::chrono::duration<double> (after.at - before.at).count ();
    const double bytes
        = after.bytes_out - before.bytes_out - idle_bytes_per_s * seconds;
    print ("settings_in_force_ms_worst", worst_ms, "ms");
    print ("settings_bytes_per_change_per_host",
           bytes / changes / static_cast<double> (fleet_.hosts.size ()), "B");
  }

  /* The time from the write until every host logs that the version is in
     force. */
  double
  change_ms (int slots)
  {
    std::string spec = fleet_.service_json ();
    const std::string old = "\"slots\":4";
    spec.replace (spec.find (old), old.size (),
                  "\"slots\":" + std::to_string (slots));
    const std::string url = fleet_.platform_url ("/objects/service/holds");
    HttpRequest put;
    put.method = "PUT";
    put.url = url;
    put.body = spec;
    put.headers
        = { "If-Match: \"" + json_at (http_get (url).body, "version") + "\"" };
    const auto start = Clock::now ();
    const std::string version = json_at (http (put).body, "version");
    for (const auto &host : fleet_.hosts)
      if (!host->wait_line ({ "service-in-force", "\"holds\"",
                              "\"version\":" + version + "}" }))
        fail ("version " + version + " isn't in force everywhere in time\n"
              + host->tail (5));
    return ms_since (start);
  }

  Fleet &fleet_;
  int services_;
  Usage before_;
};

std::string
service_name (int number)
{
  return "service-" + std::to_string (number);
}

/* Each target has its own address.  Only the first ones respond; none gets
   requests. */
std::string
target_text (const Fleet &fleet, const std::string &service, int number)
{
  const int port = 9100 + number / targets;
  const std::string url = fleet.target_url (1 + number % targets, "");
  const size_t start = strlen ("http://");
  return "{\"name\":\"" + service + "-" + std::to_string (number)
         + "\",\"address\":\""
         + url.substr (start, url.rfind (':') + 1 - start)
         + std::to_string (port) + "\",\"dc\":\"north-a\",\"slots\":4}";
}

std::string
route_text (const std::string &service, int number)
{
  return "{\"path_prefix\":\"/" + service + "/workspace-"
         + std::to_string (number) + "\",\"methods\":[\"GET\"]}";
}

std::string
service_text (const Fleet &fleet, int number, const ServiceShape &shape)
{
  const std::string name = service_name (number);
  std::string text
      = "{\"name\":\"" + name + "\",\"floor_capacity\":4,\"targets\":[";
  for (int target = 0; target < shape.targets; target++)
    text += (target > 0 ? "," : "") + target_text (fleet, name, target);
  text += "],\"routes\":[";
  for (int route = 0; route < shape.routes; route++)
    text += (route > 0 ? "," : "") + route_text (name, route);
  return text + "]}";
}

void
put_services (Fleet &fleet, int from, int to, const ServiceShape &shape)
{
  const auto start = Clock::now ();
  std::string version;
  for (int number = from; number < to; number++)
    {
      HttpRequest put;
      put.method = "PUT";
      put.url
          = fleet.platform_url ("/objects/service/" + service_name (number));
      put.body = service_text (fleet, number, shape);
      put.headers = { "If-None-Match: *" };
      version = json_at (http (put).body, "version");
    }
  for (const auto &host : fleet.hosts)
    if (!host->wait_line ({ "service-in-force", "\"version\":" + version }))
      fail ("services aren't in force on all hosts in time\n"
            + host->tail (5));
  printf ("# %d services written and in force on %zu hosts after %.0f ms\n",
          to - from, fleet.hosts.size (), ms_since (start));
}

FleetOptions
fleet_options (int hosts)
{
  FleetOptions options;
  options.hosts = hosts;
  options.targets = targets;
  options.dcs = dcs;
  options.set_hosts_per_dc = 2;
  return options;
}

using Fleets = std::vector<std::unique_ptr<Fleet>>;

Fleets
start_fleets (const std::vector<int> &sizes)
{
  Fleets fleets;
  for (const int hosts : sizes)
    {
      fleets.push_back (std::make_unique<Fleet> (fleet_options (hosts)));
      const auto start = Clock::now ();
      if (!fleets.back ()->start ())
        fail ("a fleet of " + std::to_string (hosts) + " hosts didn't start");
      printf ("# %d hosts serve after %.0f ms\n", hosts, ms_since (start));
    }
  return fleets;
}

/* Measures fleets of all sizes at the same time; idle, they use a tenth of one
   core. */
void
measure_sizes ()
{
  const Fleets fleets = start_fleets ({ 6, 12, 24, 36 });
  std::vector<Measurement> measurements;
  wait_ms (settle_ms);
  for (const auto &fleet : fleets)
    measurements.emplace_back (*fleet, 1);
  wait_ms (measure_ms);
  for (Measurement &measurement : measurements)
    measurement.finish ();
}

/* Increases the number of services tenfold in each step. */
void
measure_services (int hosts, int first, int last, const ServiceShape &shape)
{
  const Fleets fleets = start_fleets ({ hosts });
  Fleet &fleet = *fleets.front ();
  int from = 1;
  for (int services = first; services <= last; services *= 10)
    {
      put_services (fleet, from, services, shape);
      from = services;
      wait_ms (settle_services_ms);
      Measurement measurement (fleet, services);
      wait_ms (measure_ms);
      measurement.finish ();
    }
}

/* A request is lost if it got no complete response of a target. */
void
print_rolling (Fleet &fleet, Load &load)
{
  const std::map<std::string, int> runs = fleet.all_runs ();
  size_t run_twice = 0;
  for (const auto &run : runs)
    run_twice += run.second > 1;
  printf ("figure rolling_requests %zu requests\n", load.count ());
  printf ("figure rolling_requests_lost %zu requests\n",
          load.count () - load.count_outcome (RequestOutcome::ran));
  printf ("figure rolling_requests_doubled %zu requests\n", run_twice);
  printf ("# %s\n%s", load.summary ().c_str (), load.check ().c_str ());
}

void
measure_rolling ()
{
  Fleet fleet (fleet_options (rolling_hosts));
  if (!fleet.start ())
    fail ("the fleet didn't start");
  Load load (fleet, callers);
  const auto start = Clock::now ();
  load.wait_for_requests (requests_per_restart);
  for (int number = 1; number <= rolling_hosts; number++)
    {
      Process &host = *fleet.hosts[static_cast<size_t> (number - 1)];
      host.signal (SIGTERM);
      const int code = host.wait ();
      if (code != 0)
        fail ("host " + std::to_string (number) + " exited with code "
              + std::to_string (code) + "\n" + host.tail (5));
      fleet.start_host (number);
      if (!fleet.wait_serving (number))
        fail ("host " + std::to_string (number)
              + " doesn't serve after its restart");
      load.wait_for_requests (requests_per_restart);
    }
  load.stop ();
  printf ("figure rolling_ms_per_host %.0f ms\n",
          ms_since (start) / rolling_hosts);
  print_rolling (fleet, load);
}

/* Arguments: HOSTS SERVICES [TARGETS ROUTES]. */
void
measure_one (int argc, char **argv)
{
  const int services = std::max (2, atoi (argv[2]));
  const ServiceShape shape
      = argc < 5 ? small_shape
                 : ServiceShape{ atoi (argv[3]), atoi (argv[4]) };
  measure_services (atoi (argv[1]), services, services, shape);
}

} // namespace

int
main (int argc, char **argv)
{
  if (argc >= 3)
    {
      measure_one (argc, argv);
      return EXIT_SUCCESS;
    }
  measure_sizes ();
  measure_services (12, 10, 1000, small_shape);
  measure_rolling ();
  return EXIT_SUCCESS;
}
