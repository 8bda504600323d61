#include "tests/soak/config_plan.h"

#include <algorithm>
#include <random>

namespace
{

constexpr int hosts_min = 5;
constexpr int64_t event_interval_ms = 500;
constexpr int64_t event_min_ms = 300, event_max_ms = 12000,
                  store_max_ms = 3000, away_max_ms = 1500;
/** One restore follows another after less or more than the seconds within
 * which hosts have settled. */
constexpr int64_t restore_interval_min_ms = 700,
                  restore_interval_max_ms = 7000;
constexpr int change_intervals_ms[] = { 300, 700, 1500 };

enum class Concerns
{
  process,
  paths,
  store,
};

Concerns
concerns (ConfigFaultKind kind)
{
  if (kind <= ConfigFaultKind::reload)
    return Concerns::process;
  return kind <= ConfigFaultKind::cut_off ? Concerns::paths : Concerns::store;
}

bool
conflicts_with (const ConfigFaultEvent &event, const ConfigFaultEvent &other)
{
  const Concerns what = concerns (event.kind);
  return what == concerns (other.kind)
         && (what == Concerns::store || event.host == other.host)
         && event.from_ms < other.to_ms && other.from_ms < event.to_ms;
}

const char *
kind_name (ConfigFaultKind kind)
{
  static const char *const names[]
      = { "suspend",         "kill",       "terminate",     "reload",
          "silence_from",    "silence_to", "silence_peers", "silence_platform",
          "refuse_platform", "cut_off",    "store_fault",   "compact",
          "restore" };
  return names[static_cast<int> (kind)];
}

} // namespace

ConfigPlan
config_plan (uint64_t seed, int hosts_max, int64_t duration_ms)
{
  std::mt19937_64 random (seed);
  const auto below = [&] (int64_t limit) {
    return static_cast<int64_t> (random () % static_cast<uint64_t> (limit));
  };
  ConfigPlan plan{};
  plan.hosts
      = hosts_min + static_cast<int> (below (hosts_max - hosts_min + 1));
  plan.change_interval_ms = change_intervals_ms[below (3)];
  const int64_t series = 1 + below (3);
  for (int64_t at_ms = 0; at_ms < duration_ms; at_ms += event_interval_ms)
    for (int64_t n = below (series + 1); n > 0; n--)
      {
        ConfigFaultEvent event{};
        event.kind = static_cast<ConfigFaultKind> (
            below (static_cast<int> (ConfigFaultKind::count)));
        event.host = 1 + static_cast<int> (below (plan.hosts));
        event.variant = static_cast<int> (below (64));
        event.from_ms = at_ms;
        const bool is_store = concerns (event.kind) == Concerns::store;
        const int64_t max_ms = is_store ? store_max_ms : event_max_ms;
        event.to_ms
            = std::min (duration_ms, at_ms + event_min_ms + below (max_ms));
        if (std::none_of (plan.events.begin (), plan.events.end (),
                          [&] (const ConfigFaultEvent &other) {
                            return conflicts_with (event, other);
                          }))
          plan.events.push_back (event);
      }
  return plan;
}

ConfigPlan
config_plan_with_restores (uint64_t seed, int hosts_max, int64_t duration_ms)
{
  ConfigPlan plan = config_plan (seed, hosts_max, duration_ms);
  std::mt19937_64 random (~seed);
  const auto below = [&] (int64_t limit) {
    return static_cast<int64_t> (random () % static_cast<uint64_t> (limit));
  };
  for (int64_t at_ms = below (restore_interval_max_ms); at_ms < duration_ms;
       at_ms += restore_interval_min_ms + below (restore_interval_max_ms))
    {
      ConfigFaultEvent event{};
      event.kind = ConfigFaultKind::restore;
      event.variant = static_cast<int> (below (64));
      event.from_ms = at_ms;
      event.to_ms
          = std::min (duration_ms, at_ms + event_min_ms + below (away_max_ms));
      plan.events.erase (
          std::remove_if (plan.events.begin (), plan.events.end (),
                          [&] (const ConfigFaultEvent &other) {
                            return conflicts_with (event, other);
                          }),
          plan.events.end ());
      plan.events.push_back (event);
      at_ms = event.to_ms;
    }
  std::stable_sort (
      plan.events.begin (), plan.events.end (),
      [] (const auto &a, const auto &b) { return a.from_ms < b.from_ms; });
  return plan;
}

std::string
config_plan_text (const ConfigPlan &plan)
{
  std::string text = std::to_string (plan.hosts) + " hosts, a change each "
                     + std::to_string (plan.change_interval_ms) + " ms\n";
  for (const ConfigFaultEvent &event : plan.events)
    text += std::to_string (event.from_ms) + "-" + std::to_string (event.to_ms)
            + " " + kind_name (event.kind) + " host-"
            + std::to_string (event.host) + " variant "
            + std::to_string (event.variant) + "\n";
  return text;
}
