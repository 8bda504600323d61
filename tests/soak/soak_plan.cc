#include "tests/soak/soak_plan.h"

#include <algorithm>
#include <random>

namespace
{

constexpr int events_per_step_max = 2;
constexpr int event_steps_max = 8;
constexpr int series_interval_steps = 2;
constexpr int series_steps_max = 4;
constexpr int cut_interval_steps = 3;
constexpr int cut_steps_max = 5;

bool
affects_host (SoakKind kind)
{
  return kind <= SoakKind::host_hup || kind == SoakKind::host_signals;
}

bool
affects_target (SoakKind kind)
{
  return kind >= SoakKind::target_kill && kind <= SoakKind::target_fault;
}

bool
affects_peer_address (SoakKind kind)
{
  return kind >= SoakKind::peer_cut && kind <= SoakKind::peer_reset;
}

/* Does OTHER, an earlier event, last into EVENT and affect the same process,
   or apply the same kind of fault to the same target, address or platform? */
bool
conflicts_with (const SoakEvent &event, const SoakEvent &other)
{
  if (other.to <= event.from)
    return false;
  const bool same_process
      = event.which == other.which
        && ((affects_host (event.kind) && affects_host (other.kind))
            || (affects_target (event.kind) && affects_target (other.kind)));
  return same_process
         || (event.kind == other.kind && event.which == other.which);
}

} // namespace

const char *
soak_kind_name (SoakKind kind)
{
  static const char *const names[] = { "host_kill",
                                       "host_term",
                                       "host_freeze",
                                       "host_hup",
                                       "target_kill",
                                       "target_freeze",
                                       "target_fault",
                                       "path_cut",
                                       "path_delay",
                                       "path_reset",
                                       "peer_cut",
                                       "peer_delay",
                                       "peer_reset",
                                       "platform_down",
                                       "platform_slow",
                                       "platform_lost",
                                       "platform_cut",
                                       "settings",
                                       "",
                                       "host_signals",
                                       "targets_cut" };
  return names[static_cast<int> (kind)];
}

std::vector<SoakEvent>
soak_plan (uint64_t seed, int steps, int hosts, int targets)
{
  std::mt19937_64 random (seed);
  const auto below = [&] (int limit) {
    return static_cast<int> (random () % static_cast<uint64_t> (limit));
  };
  std::vector<SoakEvent> plan;
  for (int step = 0; step < steps; step++)
    for (int n = below (events_per_step_max + 1); n > 0; n--)
      {
        SoakEvent event{};
        event.kind = static_cast<SoakKind> (
            below (static_cast<int> (SoakKind::count)));
        const bool concerns_host
            = affects_host (event.kind) || affects_peer_address (event.kind);
        event.from = step;
        event.to = std::min (steps, step + 1 + below (event_steps_max));
        event.which = 1 + below (concerns_host ? hosts : targets);
        event.variant = below (8);
        const bool is_free
            = std::none_of (plan.begin (), plan.end (), [&] (const auto &e) {
                return conflicts_with (event, e);
              });
        if (is_free)
          plan.push_back (event);
      }
  return plan;
}

void
soak_add_series (std::vector<SoakEvent> &plan, uint64_t seed, int steps,
                 int hosts)
{
  std::mt19937_64 random (seed);
  const auto below = [&] (int limit) {
    return static_cast<int> (random () % static_cast<uint64_t> (limit));
  };
  for (int step = 0; step < steps; step += series_interval_steps)
    {
      const int end = std::min (steps, step + 1 + below (series_steps_max));
      const SoakEvent signals{ step, end, SoakKind::host_signals,
                               1 + below (hosts), below (8) };
      if (std::none_of (plan.begin (), plan.end (), [&] (const auto &e) {
            return conflicts_with (signals, e) || conflicts_with (e, signals);
          }))
        plan.push_back (signals);
      plan.push_back ({ step, end, SoakKind::settings, 1, 0 });
      plan.push_back ({ end, end + 1, SoakKind::settings, 1, 0 });
    }
}

void
soak_add_cuts (std::vector<SoakEvent> &plan, uint64_t seed, int steps,
               int hosts)
{
  std::mt19937_64 random (seed);
  const auto below = [&] (int limit) {
    return static_cast<int> (random () % static_cast<uint64_t> (limit));
  };
  for (int step = 0; step < steps; step += cut_interval_steps)
    for (int n = 1 + below (2); n > 0; n--)
      {
        const SoakEvent cut{
          step, std::min (steps, step + 1 + below (cut_steps_max)),
          SoakKind::targets_cut, 1 + below (hosts), below (3)
        };
        if (std::none_of (plan.begin (), plan.end (), [&] (const auto &e) {
              return conflicts_with (cut, e);
            }))
          plan.push_back (cut);
      }
}

std::string
soak_plan_text (const std::vector<SoakEvent> &plan)
{
  std::string text;
  for (const SoakEvent &event : plan)
    text += std::to_string (event.from) + "-" + std::to_string (event.to) + " "
            + soak_kind_name (event.kind) + " " + std::to_string (event.which)
            + " variant " + std::to_string (event.variant) + "\n";
  return text;
}
