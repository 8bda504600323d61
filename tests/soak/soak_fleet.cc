#include "tests/soak/soak_fleet.h"

#include <csignal>
#include <cstring>

namespace
{

constexpr int relay_port = 9200;
constexpr int paths_from = 20;
constexpr int peers_from = 120;
constexpr int platform_last = 3;
constexpr long control_ms = 2000;
constexpr int delay_ms = 120;
/* Floors that the fleet of the soak can keep; see SoakWorld(). */
constexpr int least_floor = 2;
constexpr int most_floor = 6;

const char *const wrong_answers[]
    = { "fail=40",  "hang=20", "cut=30",       "close=30",
        "early=30", "shed=50", "delay_ms=300", "close_reused=1" };
const char *const right_answers = "fail=0&hang=0&cut=0&close=0&early=0&shed=0"
                                  "&delay_ms=0&close_reused=0";

std::string
without_scheme (const std::string &url)
{
  return url.substr (strlen ("http://"));
}

void
post (const std::string &url)
{
  HttpRequest request;
  request.method = "POST";
  request.url = url;
  request.timeout_ms = control_ms;
  http (request);
}

} // namespace

SoakFleet::SoakFleet (int hosts, int targets, int dcs)
    : lifetimes_ (static_cast<size_t> (hosts), 1), floor_ (least_floor)
{
  FleetOptions options;
  options.hosts = hosts;
  options.targets = targets;
  options.dcs = dcs;
  options.set_hosts_per_dc = 2;
  options.floor = floor_;
  options.times = short_times;
  options.retry = "\"share\": 0.1, \"reserve\": 10";
  for (int n = 1; n <= targets; n++)
    options.address_overrides["target-" + std::to_string (n)]
        = between_.at (paths_from + n, relay_port);
  for (int n = 1; n <= hosts; n++)
    options.address_overrides["host-" + std::to_string (n) + ".peer"]
        = between_.at (peers_from + n, relay_port);
  options.address_overrides["platform"]
      = between_.at (platform_last, relay_port);
  fleet_ = std::make_unique<Fleet> (options);
  for (int n = 1; n <= targets; n++)
    paths_.push_back (
        std::make_unique<Relay> (between_.at (paths_from + n, relay_port),
                                 without_scheme (fleet_->target_url (n, ""))));
  for (int n = 1; n <= hosts; n++)
    peers_.push_back (std::make_unique<Relay> (
        between_.at (peers_from + n, relay_port), fleet_->peer_address (n)));
  platform_
      = std::make_unique<Relay> (between_.at (platform_last, relay_port),
                                 without_scheme (fleet_->platform_url ("")));
}

bool
SoakFleet::start ()
{
  return fleet_->start ();
}

int
SoakFleet::lifetime (int number)
{
  std::lock_guard<std::mutex> lock (mutex_);
  return lifetimes_[static_cast<size_t> (number - 1)];
}

void
SoakFleet::stop_host (int number, int signal)
{
  Process &host = *fleet_->hosts[static_cast<size_t> (number - 1)];
  if (host.running ())
    host.signal (signal);
}

/* A process that is not yet the program ends at the signal, and no program can
   keep it from that: a host counts as one from its first line on. */
void
SoakFleet::reload_host (int number)
{
  if (fleet_->hosts[static_cast<size_t> (number - 1)]->line_count () > 0)
    stop_host (number, SIGHUP);
}

void
SoakFleet::restart_host (int number)
{
  fleet_->hosts[static_cast<size_t> (number - 1)]->wait ();
  {
    std::lock_guard<std::mutex> lock (mutex_);
    lifetimes_[static_cast<size_t> (number - 1)]++;
  }
  fleet_->start_host (number);
}

void
SoakFleet::set_faults (int target, const std::string &query)
{
  post (fleet_->target_url (target, "/control/set?" + query));
}

void
SoakFleet::set_platform (const std::string &query)
{
  post (fleet_->platform_url ("/control?" + query));
}

void
SoakFleet::change_settings ()
{
  const std::string member = "\"floor_capacity\":";
  std::string service = fleet_->service_json ();
  const size_t at = service.find (member) + member.size ();
  floor_ = floor_ == most_floor ? least_floor : floor_ + 1;
  service.replace (at, service.find (',', at) - at, std::to_string (floor_));
  fleet_->declare (service);
}

void
SoakFleet::begin (const SoakEvent &event)
{
  const size_t at = static_cast<size_t> (event.which - 1);
  const bool is_odd = event.variant % 2 != 0;
  switch (event.kind)
    {
    case SoakKind::host_kill:
      return stop_host (event.which, SIGKILL);
    case SoakKind::host_term:
      return stop_host (event.which, SIGTERM);
    case SoakKind::host_freeze:
      return stop_host (event.which, SIGSTOP);
    case SoakKind::host_hup:
      return reload_host (event.which);
    case SoakKind::target_kill:
      return fleet_->targets[at]->signal (SIGKILL);
    case SoakKind::target_freeze:
      return fleet_->targets[at]->signal (SIGSTOP);
    case SoakKind::target_fault:
      return set_faults (event.which, wrong_answers[event.variant]);
    case SoakKind::path_cut:
      (is_odd ? paths_[at]->drop_forward : paths_[at]->drop_backward) = true;
      return;
    case SoakKind::path_delay:
      paths_[at]->delay_ms = delay_ms;
      return;
    case SoakKind::path_reset:
      return paths_[at]->reset ();
    case SoakKind::peer_cut:
      (is_odd ? peers_[at]->drop_forward : peers_[at]->drop_backward) = true;
      return;
    case SoakKind::peer_delay:
      peers_[at]->delay_ms = delay_ms;
      return;
    case SoakKind::peer_reset:
      return peers_[at]->reset ();
    case SoakKind::platform_down:
      return set_platform ("down=1");
    case SoakKind::platform_slow:
      return set_platform ("slow_ms=200");
    case SoakKind::platform_lost:
      return set_platform ("lose_answers=3");
    case SoakKind::platform_cut:
      (is_odd ? platform_->drop_forward : platform_->drop_backward) = true;
      return;
    case SoakKind::settings:
      return change_settings ();
    case SoakKind::count:
      return;
    }
}

void
SoakFleet::end (const SoakEvent &event)
{
  const size_t at = static_cast<size_t> (event.which - 1);
  switch (event.kind)
    {
    case SoakKind::host_kill:
    case SoakKind::host_term:
      return restart_host (event.which);
    case SoakKind::host_freeze:
      return stop_host (event.which, SIGCONT);
    case SoakKind::target_kill:
      fleet_->start_target (event.which);
      fleet_->targets[at]->wait_line ({ "listening" });
      return;
    case SoakKind::target_freeze:
      return fleet_->targets[at]->signal (SIGCONT);
    case SoakKind::target_fault:
      return set_faults (event.which, right_answers);
    case SoakKind::path_cut:
      paths_[at]->drop_forward = false;
      paths_[at]->drop_backward = false;
      return paths_[at]->reset ();
    case SoakKind::path_delay:
      paths_[at]->delay_ms = 0;
      return;
    case SoakKind::peer_cut:
      peers_[at]->drop_forward = false;
      peers_[at]->drop_backward = false;
      return peers_[at]->reset ();
    case SoakKind::peer_delay:
      peers_[at]->delay_ms = 0;
      return;
    case SoakKind::platform_down:
      return set_platform ("down=0");
    case SoakKind::platform_slow:
      return set_platform ("slow_ms=0");
    case SoakKind::platform_lost:
      return set_platform ("lose_answers=0");
    case SoakKind::platform_cut:
      platform_->drop_forward = false;
      platform_->drop_backward = false;
      return platform_->reset ();
    case SoakKind::host_hup:
    case SoakKind::path_reset:
    case SoakKind::peer_reset:
    case SoakKind::settings:
    case SoakKind::count:
      return;
    }
}

bool
SoakFleet::wait_recovered ()
{
  for (int number = 1; number <= hosts (); number++)
    if (!fleet_->wait_serving (number))
      return false;
  return true;
}
