// Types of the model test of the floor; see floor_simulation.h.
#ifndef POLICY_FLOOR_TESTS_FLOOR_SIMULATION_TYPES_H
#define POLICY_FLOOR_TESTS_FLOOR_SIMULATION_TYPES_H

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/floor/floor_owner.h"
#include "policy/floor/floor_view.h"
}

namespace
{
constexpr int hosts_count = 4;
constexpr int targets_count = 6;
constexpr uint32_t enforce_ms = 200;
constexpr uint32_t authority_ms = 1200;
constexpr int64_t poll_us = 60000;
constexpr int64_t settle_bound_us = (enforce_ms + authority_ms) * 1010 + 40000;

struct spec
{
  uint64_t version = 0;
  uint32_t floor_capacity = 0;
  bool paused = false;
  std::vector<floor_target> targets;
  int64_t end_us = INT64_MAX; // when it was replaced

  floor_spec
  view ()
  {
    return { version,         floor_capacity,  paused,
             targets.data (), targets.size (), false };
  }
  int64_t
  capacity_of (const std::string &name) const
  {
    for (const auto &t : targets)
      if (name == t.name)
        return t.active ? t.capacity : 0;
    return 0;
  }
};

struct host
{
  std::string name;
  double rate = 1;
  double offset_ms = 0;
  uint64_t incarnation = 0;
  int64_t suspended_until_us = 0;
  floor_owner *owner = nullptr;
  floor_view *view = nullptr;
  bool platform_out = false, platform_in = false; // one-way link failures
};

struct event
{
  int64_t at_us;
  uint64_t order;
  int at_host; // -1: the simulation
  uint64_t incarnation;
  std::function<void ()> run;
  bool
  operator<(const event &other) const
  {
    return at_us != other.at_us ? at_us > other.at_us : order > other.order;
  }
};

struct counters
{
  uint64_t events, ejected, takeovers, lost_writes, two_owners, at_floor,
      freed, outage_ejections;
};

std::string
target_name (int i)
{
  return "t" + std::to_string (i);
}
}

#endif
