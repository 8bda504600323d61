#include "tests/soak/soak_fleet.h"

#include <csignal>
#include <cstring>

namespace
{

constexpr int relay_port = 9200;
constexpr int target_relay_port = 9300;
constexpr int target_relay_last_byte_base = 20;
constexpr int peer_relay_last_byte_base = 120;
constexpr int platform_relay_last_byte = 3;
constexpr long control_timeout_ms = 2000;
constexpr int delay_ms = 120;
/* The range of floors that the fleet of SoakFleet() can keep. */
constexpr int floor_min = 2;
constexpr int floor_max = 6;

const char *const fault_queries[]
    = { "fail=40",  "hang=20", "cut=30",       "close=30",
        "early=30", "shed=50", "delay_ms=300", "close_reused=1" };
const std::vector<std::vector<int>> signal_series
    = { { SIGHUP, SIGHUP, SIGTERM, SIGHUP },
        { SIGTERM, SIGHUP, SIGTERM },
        { SIGSTOP, SIGTERM, SIGCONT, SIGHUP },
        { SIGHUP, SIGSTOP, SIGHUP, SIGCONT, SIGTERM } };

const char *const no_faults_query
    = "fail=0&hang=0&cut=0&close=0&early=0&shed=0"
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
  request.timeout_ms = control_timeout_ms;
  http (request);
}

} // namespace

SoakFleet::SoakFleet (int hosts, int targets, int dcs)
    : start_counts_ (static_cast<size_t> (hosts), 1), floor_ (floor_min)
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
        = relay_addresses_.at (target_relay_last_byte_base + n,
                               target_relay_port);
  options.relay_targets = true;
  for (int n = 1; n <= hosts; n++)
    options.address_overrides["host-" + std::to_string (n) + ".peer"]
        = relay_addresses_.at (peer_relay_last_byte_base + n, relay_port);
  options.address_overrides["platform"]
      = relay_addresses_.at (platform_relay_last_byte, relay_port);
  fleet_ = std::make_unique<Fleet> (options);
  for (int n = 1; n <= targets; n++)
    target_relays_.push_back (std::make_unique<Relay> (
        fleet_->known_target_address (n), fleet_->target_address (n)));
  for (int host = 1; host <= hosts; host++)
    for (int n = 1; n <= targets; n++)
      network_.add_target (host, n, fleet_->target_relay (host, n),
                           fleet_->known_target_address (n));
  for (int n = 1; n <= hosts; n++)
    peer_relays_.push_back (std::make_unique<Relay> (
        relay_addresses_.at (peer_relay_last_byte_base + n, relay_port),
        fleet_->peer_address (n)));
  platform_relay_ = std::make_unique<Relay> (
      relay_addresses_.at (platform_relay_last_byte, relay_port),
      without_scheme (fleet_->platform_url ("")));
}

bool
SoakFleet::start ()
{
  return fleet_->start ();
}

int
SoakFleet::start_count (int number)
{
  std::lock_guard<std::mutex> lock (mutex_);
  return start_counts_[static_cast<size_t> (number - 1)];
}

void
SoakFleet::signal_host (int number, int signal)
{
  Process &host = *fleet_->hosts[static_cast<size_t> (number - 1)];
  if (host.running ())
    host.signal (signal);
}

/* SIGHUP ends a process that hasn't installed its handler yet, which the host
   can't prevent, so it is sent only after the host's first line. */
void
SoakFleet::reload_host (int number)
{
  if (fleet_->hosts[static_cast<size_t> (number - 1)]->line_count () > 0)
    signal_host (number, SIGHUP);
}

/* A host that is still starting gets only the signal that ends it; see
   reload_host(). */
void
SoakFleet::signal_host_in_series (int number, int variant)
{
  Process &host = *fleet_->hosts[static_cast<size_t> (number - 1)];
  const auto &series
      = signal_series[static_cast<size_t> (variant) % signal_series.size ()];
  for (const int signal : series)
    if (signal == SIGTERM || host.line_count () > 0)
      signal_host (number, signal);
}

void
SoakFleet::restart_host (int number)
{
  fleet_->hosts[static_cast<size_t> (number - 1)]->wait ();
  {
    std::lock_guard<std::mutex> lock (mutex_);
    start_counts_[static_cast<size_t> (number - 1)]++;
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
  const size_t index = service.find (member) + member.size ();
  floor_ = floor_ == floor_max ? floor_min : floor_ + 1;
  service.replace (index, service.find (',', index) - index,
                   std::to_string (floor_));
  fleet_->declare (service);
}

void
SoakFleet::cut_from_targets (int host, int variant)
{
  static const HostNetwork::Cut forms[]
      = { HostNetwork::Cut::hang, HostNetwork::Cut::reset,
          HostNetwork::Cut::refuse_new };
  for (int n = 1; n <= static_cast<int> (target_relays_.size ()); n++)
    network_.cut (host, n, forms[variant]);
}

void
SoakFleet::restore_targets (int host)
{
  for (int n = 1; n <= static_cast<int> (target_relays_.size ()); n++)
    network_.restore (host, n);
}

void
SoakFleet::begin (const SoakEvent &event)
{
  const size_t index = static_cast<size_t> (event.which - 1);
  const bool is_odd = event.variant % 2 != 0;
  switch (event.kind)
    {
    case SoakKind::host_kill:
      return signal_host (event.which, SIGKILL);
    case SoakKind::host_term:
      return signal_host (event.which, SIGTERM);
    case SoakKind::host_freeze:
      return signal_host (event.which, SIGSTOP);
    case SoakKind::host_hup:
      return reload_host (event.which);
    case SoakKind::target_kill:
      return fleet_->targets[index]->signal (SIGKILL);
    case SoakKind::target_freeze:
      return fleet_->targets[index]->signal (SIGSTOP);
    case SoakKind::target_fault:
      return set_faults (event.which, fault_queries[event.variant]);
    case SoakKind::path_cut:
      (is_odd ? target_relays_[index]->drop_forward
              : target_relays_[index]->drop_backward)
          = true;
      return;
    case SoakKind::path_delay:
      target_relays_[index]->delay_ms = delay_ms;
      return;
    case SoakKind::path_reset:
      return target_relays_[index]->reset ();
    case SoakKind::peer_cut:
      (is_odd ? peer_relays_[index]->drop_forward
              : peer_relays_[index]->drop_backward)
          = true;
      return;
    case SoakKind::peer_delay:
      peer_relays_[index]->delay_ms = delay_ms;
      return;
    case SoakKind::peer_reset:
      return peer_relays_[index]->reset ();
    case SoakKind::platform_down:
      return set_platform ("down=1");
    case SoakKind::platform_slow:
      return set_platform ("slow_ms=200");
    case SoakKind::platform_lost:
      return set_platform ("lose_answers=3");
    case SoakKind::platform_cut:
      (is_odd ? platform_relay_->drop_forward : platform_relay_->drop_backward)
          = true;
      return;
    case SoakKind::settings:
      return change_settings ();
    case SoakKind::host_signals:
      return signal_host_in_series (event.which, event.variant);
    case SoakKind::targets_cut:
      return cut_from_targets (event.which, event.variant);
    case SoakKind::count:
      return;
    }
}

void
SoakFleet::end (const SoakEvent &event)
{
  const size_t index = static_cast<size_t> (event.which - 1);
  switch (event.kind)
    {
    case SoakKind::host_kill:
    case SoakKind::host_term:
    case SoakKind::host_signals:
      return restart_host (event.which);
    case SoakKind::host_freeze:
      return signal_host (event.which, SIGCONT);
    case SoakKind::target_kill:
      fleet_->start_target (event.which);
      fleet_->targets[index]->wait_line ({ "listening" });
      return;
    case SoakKind::target_freeze:
      return fleet_->targets[index]->signal (SIGCONT);
    case SoakKind::target_fault:
      return set_faults (event.which, no_faults_query);
    case SoakKind::path_cut:
      target_relays_[index]->drop_forward = false;
      target_relays_[index]->drop_backward = false;
      return target_relays_[index]->reset ();
    case SoakKind::path_delay:
      target_relays_[index]->delay_ms = 0;
      return;
    case SoakKind::peer_cut:
      peer_relays_[index]->drop_forward = false;
      peer_relays_[index]->drop_backward = false;
      return peer_relays_[index]->reset ();
    case SoakKind::peer_delay:
      peer_relays_[index]->delay_ms = 0;
      return;
    case SoakKind::platform_down:
      return set_platform ("down=0");
    case SoakKind::platform_slow:
      return set_platform ("slow_ms=0");
    case SoakKind::platform_lost:
      return set_platform ("lose_answers=0");
    case SoakKind::platform_cut:
      platform_relay_->drop_forward = false;
      platform_relay_->drop_backward = false;
      return platform_relay_->reset ();
    case SoakKind::targets_cut:
      return restore_targets (event.which);
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
