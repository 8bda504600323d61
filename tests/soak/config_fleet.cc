#include "tests/soak/config_fleet.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <limits>

#include "tests/harness/kept_connection.h"

namespace
{

constexpr int64_t copy_interval_ms = 250, copy_age_max_ms = 7000;
constexpr int services = 7;
constexpr int relay_last = 60; /* last byte of the relays' addresses */
constexpr int platform_relay_port = 9541, peer_relay_port = 9544;
constexpr int caller_interval_ms = 25;
constexpr int64_t not_ended = std::numeric_limits<int64_t>::max ();
constexpr int open_interval_ms = 50;
constexpr size_t requests_in_flight_max = 200;
constexpr int path_count = 4;
const char *const paths[path_count]
    = { "/move-1/", "/move-2/", "/extra-1/", "/extra-2/" };

std::string
service_name (int number)
{
  return "s-" + std::to_string (number % services);
}

std::string
instance_name (int number)
{
  return "i-" + std::to_string (number);
}

/* The routes of the version with this NUMBER: two move on to another service
   each time, or each second time; one comes and goes, one is there in every
   third version and leads elsewhere each time. */
std::map<std::string, std::string>
routes_of (int number)
{
  std::map<std::string, std::string> routes
      = { { paths[0], service_name (number) },
          { paths[1], service_name (number / 2 + 3) } };
  if (number % 2 == 0)
    routes[paths[2]] = service_name (number / 2);
  if (number % 3 == 0)
    routes[paths[3]] = service_name (number / 3 + 1);
  return routes;
}

} // namespace

ConfigFleet::ConfigFleet (const ConfigFleetOptions &options)
    : options_ (options)
{
  fleet_.zones = options.zones;
  fleet_.store->set_stale_lag (options.stale_lag_ms);
  const std::string store = fleet_.addresses.at (2, PlatformFleet::store_port);
  for (int host = 1; host <= options.hosts; host++)
    {
      const std::string number = std::to_string (host);
      const std::string peer
          = fleet_.addresses.at (relay_last + host, peer_relay_port);
      const std::string platform
          = fleet_.addresses.at (relay_last + host, platform_relay_port);
      network_.add_host (host, peer,
                         fleet_.host_address (host, PlatformFleet::peer_port));
      network_.add_platform (host, platform, store);
      fleet_.address_overrides["peer-" + number] = peer;
      fleet_.address_overrides["platform-" + number] = platform;
      lifetimes_.push_back (std::make_unique<std::atomic<int>> (1));
    }
}

ConfigFleet::~ConfigFleet ()
{
  stopping_ = true;
  for (auto &host : fleet_.hosts)
    if (host != nullptr && host->running ())
      host->signal (SIGKILL);
  for (std::thread &caller : callers_)
    caller.join ();
}

int
ConfigFleet::hosts () const
{
  return options_.hosts;
}

int64_t
ConfigFleet::now_ms () const
{
  using namespace std::chrono;
  return duration_cast<milliseconds> (steady_clock::now ().time_since_epoch ())
      .count ();
}

void
ConfigFleet::configure_version (int number, const ConfigVersion &version)
{
  std::vector<PlatformRoute> routes;
  std::vector<std::string> names;
  for (const auto &[path, service] : version.services)
    routes.push_back (
        { "r" + path.substr (1, path.size () - 2), path, "safe", service });
  for (int i = 0; i < services; i++)
    names.push_back (service_name (i));
  fleet_.configure_routes (number, routes, names);
}

void
ConfigFleet::write_version ()
{
  const int number = static_cast<int> (versions_.size ()) + 1;
  ConfigVersion version{ now_ms (), 0, routes_of (number) };
  configure_version (number, version);
  version.confirmed_ms = now_ms ();
  versions_.push_back (version);
}

bool
ConfigFleet::start ()
{
  for (int i = 0; i < services; i++)
    fleet_.add_server (service_name (i), instance_name (i));
  write_version ();
  for (int host = 1; host <= options_.hosts; host++)
    fleet_.start_host (host);
  for (int host = 1; host <= options_.hosts; host++)
    if (!fleet_.wait_ready (host))
      return false;
  for (int host = 1; host <= options_.hosts; host++)
    {
      disturbances_.push_back ({ host, 0, now_ms () });
      for (int caller = 0; caller < options_.callers_per_host; caller++)
        callers_.emplace_back ([=] { call_host (host, caller); });
      callers_.emplace_back ([=] { call_host_at_intervals (host); });
    }
  return true;
}

void
ConfigFleet::change ()
{
  write_version ();
}

void
ConfigFleet::send_one (KeptConnection *connection, int host,
                       const std::string &id, const std::string &path)
{
  ConfigRequest sent{};
  sent.id = id;
  sent.host = host;
  sent.path = path;
  sent.lifetime = *lifetimes_[static_cast<size_t> (host) - 1];
  HttpRequest request;
  request.url = path + "x";
  request.headers = PlatformFleet::request_fields (id);
  sent.sent_ms = now_ms ();
  const HttpResponse response = connection->send (request);
  sent.status = response.complete ? response.status : 0;
  sent.end_ms = now_ms ();
  record (sent);
}

void
ConfigFleet::call_host (int host, int caller)
{
  const std::string address
      = fleet_.host_address (host, PlatformFleet::caller_port);
  const std::string prefix
      = "h" + std::to_string (host) + "c" + std::to_string (caller) + "-";
  std::unique_ptr<KeptConnection> connection;
  for (int count = 0; !stopping_; count++)
    {
      if (connection == nullptr || !connection->is_open ())
        connection = std::make_unique<KeptConnection> (address);
      if (connection->is_open ())
        send_one (connection.get (), host, prefix + std::to_string (count),
                  paths[count % path_count]);
      poll (nullptr, 0, caller_interval_ms);
    }
}

void
ConfigFleet::call_host_at_intervals (int host)
{
  const std::string address
      = fleet_.host_address (host, PlatformFleet::caller_port);
  const std::string prefix = "h" + std::to_string (host) + "o-";
  std::vector<std::thread> requests;
  for (int count = 0; !stopping_; count++)
    {
      requests.emplace_back ([=] {
        KeptConnection connection (address);
        if (connection.is_open ())
          send_one (&connection, host, prefix + std::to_string (count),
                    paths[count % path_count]);
      });
      if (requests.size () > requests_in_flight_max)
        {
          requests.front ().join ();
          requests.erase (requests.begin ());
        }
      poll (nullptr, 0, open_interval_ms);
    }
  for (std::thread &request : requests)
    request.join ();
}

void
ConfigFleet::record (ConfigRequest request)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  requests_.push_back (std::move (request));
}

void
ConfigFleet::begin_disturbance (int host)
{
  disturbances_.push_back ({ host, now_ms (), not_ended });
}

void
ConfigFleet::end_disturbance (int host)
{
  for (ConfigDisturbance &one : disturbances_)
    if (one.host == host && one.to_ms == not_ended)
      {
        one.to_ms = now_ms ();
        return;
      }
}

void
ConfigFleet::suspend (int host, bool is_excused)
{
  if (is_excused)
    begin_disturbance (host);
  fleet_.hosts[static_cast<size_t> (host) - 1]->signal (SIGSTOP);
}

void
ConfigFleet::resume (int host)
{
  fleet_.hosts[static_cast<size_t> (host) - 1]->signal (SIGCONT);
  end_disturbance (host);
}

void
ConfigFleet::kill (int host)
{
  begin_disturbance (host);
  fleet_.hosts[static_cast<size_t> (host) - 1]->kill ();
}

void
ConfigFleet::terminate (int host)
{
  begin_disturbance (host);
  fleet_.hosts[static_cast<size_t> (host) - 1]->signal (SIGTERM);
}

void
ConfigFleet::start_again (int host)
{
  Process &process = *fleet_.hosts[static_cast<size_t> (host) - 1];
  if (process.running ())
    process.wait ();
  ++*lifetimes_[static_cast<size_t> (host) - 1];
  fleet_.start_host (host);
  end_disturbance (host);
}

void
ConfigFleet::reload (int host)
{
  fleet_.hosts[static_cast<size_t> (host) - 1]->signal (SIGHUP);
}

void
ConfigFleet::silence_platform (int host, bool is_silent)
{
  if (is_silent)
    begin_disturbance (host);
  network_.silence (host, HostNetwork::platform, is_silent);
  network_.silence (HostNetwork::platform, host, is_silent);
  if (!is_silent)
    end_disturbance (host);
}

void
ConfigFleet::refuse_platform (int host, bool is_refused)
{
  if (is_refused)
    begin_disturbance (host);
  network_.refuse (host, HostNetwork::platform, is_refused);
  if (!is_refused)
    end_disturbance (host);
}

void
ConfigFleet::fail_store (StoreFault fault)
{
  if (fault != StoreFault::none)
    begin_disturbance (0);
  fleet_.store->fail (fault);
  if (fault == StoreFault::none)
    end_disturbance (0);
}

void
ConfigFleet::compact_store ()
{
  fleet_.store->compact ();
  disturbances_.push_back ({ 0, now_ms (), now_ms (), true });
}

void
ConfigFleet::keep_copy ()
{
  const int64_t at_ms = now_ms ();
  if (!copies_.empty () && at_ms - copies_.back ().first < copy_interval_ms)
    return;
  copies_.emplace_back (at_ms, fleet_.store->copy ());
  if (at_ms - copies_.front ().first > copy_age_max_ms)
    copies_.pop_front ();
}

void
ConfigFleet::restore_store (int64_t age_ms, bool is_written_again)
{
  const int64_t at_ms = now_ms () - age_ms;
  while (copies_.size () > 1 && copies_.back ().first > at_ms)
    copies_.pop_back ();
  fleet_.store->restore (copies_.back ().second);
  if (is_written_again)
    configure_version (static_cast<int> (versions_.size ()),
                       versions_.back ());
  fail_store (StoreFault::none);
}

void
ConfigFleet::silence_peers (int host, bool is_silent)
{
  silence_from (host, is_silent);
  silence_to (host, is_silent);
}

void
ConfigFleet::silence_from (int host, bool is_silent)
{
  for (int other = 1; other <= options_.hosts; other++)
    network_.silence (host, other, is_silent);
}

void
ConfigFleet::silence_to (int host, bool is_silent)
{
  for (int other = 1; other <= options_.hosts; other++)
    network_.silence (other, host, is_silent);
}

std::vector<int>
ConfigFleet::leading_hosts ()
{
  std::vector<int> leading;
  for (int host = 1; host <= options_.hosts; host++)
    {
      bool is_leading = false;
      for (const std::string &line :
           fleet_.hosts[static_cast<size_t> (host) - 1]->lines_with (""))
        if (line.find (" control relay ") != std::string::npos)
          is_leading = line.find ("is_leading=1") != std::string::npos;
      if (is_leading)
        leading.push_back (host);
    }
  return leading;
}

ConfigVerdict
ConfigFleet::finish ()
{
  stopping_ = true;
  for (std::thread &caller : callers_)
    caller.join ();
  callers_.clear ();
  std::map<std::string, std::string> runs;
  for (size_t i = 0; i < fleet_.servers.size (); i++)
    for (const auto &[id, count] : fleet_.servers[i]->run_counts ())
      runs[id] = service_name (static_cast<int> (i));
  for (ConfigRequest &request : requests_)
    {
      const auto found = runs.find (request.id);
      if (found != runs.end ())
        request.ran_by = found->second;
    }
  return config_judge ({}, versions_, disturbances_, requests_);
}

std::string
ConfigFleet::network_gaps ()
{
  using namespace std::chrono;
  std::string text;
  for (const HostNetwork::Gap &gap : network_.gaps ())
    text += "network stood still from "
            + std::to_string (
                duration_cast<milliseconds> (gap.from.time_since_epoch ())
                    .count ())
            + " for "
            + std::to_string (
                duration_cast<milliseconds> (gap.to - gap.from).count ())
            + " ms\n";
  return text;
}

std::string
ConfigFleet::logs ()
{
  static const char *const events[]
      = { "setting-received", "config-in-force", "platform-", "paused",
          " relay ",          " stale ",         "serving",   "member" };
  std::string text;
  for (size_t i = 0; i < fleet_.hosts.size (); i++)
    {
      text += "host-" + std::to_string (i + 1) + "\n";
      for (const std::string &line : fleet_.hosts[i]->lines_with (""))
        if (std::any_of (std::begin (events), std::end (events),
                         [&] (const char *event) {
                           return line.find (event) != std::string::npos;
                         }))
          text += line;
    }
  return text;
}
