/** Routes that move, come and go under faults that overlap: each request is
 * handled by a configuration that may be in force. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "tests/soak/config_fleet.h"
#include "tests/soak/config_plan.h"

namespace
{

constexpr int hosts_max = 8;
constexpr int64_t faults_ms = 20000, calm_ms = 5000;
constexpr int64_t copy_age_step_ms = 80;
constexpr size_t lines_shown = 20;

/** One run: executes a plan while the configuration changes. */
class ConfigSoak
{
public:
  explicit ConfigSoak (const ConfigPlan &plan)
      : plan_ (plan), plan_text_ (config_plan_text (plan_)),
        fleet_ ({ plan_.hosts, 3, 2, 1500 })
  {
    for (size_t i = 0; i < plan_.events.size (); i++)
      {
        actions_.push_back ({ plan_.events[i].from_ms, true, i });
        actions_.push_back ({ plan_.events[i].to_ms, false, i });
      }
    std::stable_sort (actions_.begin (), actions_.end (),
                      [] (const Action &a, const Action &b) {
                        return a.at_ms != b.at_ms ? a.at_ms < b.at_ms
                                                  : !a.is_begin && b.is_begin;
                      });
  }

  void
  run ()
  {
    ASSERT_TRUE (fleet_.start ()) << fleet_.logs ();
    run_until (calm_ms);
    start_ms_ = fleet_.now_ms ();
    run_until (faults_ms);
    run_until (faults_ms + calm_ms);
    const ConfigVerdict verdict = fleet_.finish ();
    std::cout << plan_.hosts << " hosts, " << plan_.events.size ()
              << " events, " << verdict.checked << " requests checked, "
              << verdict.excused << " excused, " << verdict.wrong.size ()
              << " wrong" << std::endl;
    EXPECT_GT (verdict.checked - verdict.excused, 0);
    std::string text;
    for (size_t i = 0; i < std::min (lines_shown, verdict.wrong.size ()); i++)
      text += verdict.wrong[i] + "\n";
    EXPECT_EQ (verdict.wrong.size (), 0U)
        << text << fleet_.network_gaps () << plan_text_ << "faults begin at "
        << start_ms_ << "\n"
        << write_logs ();
  }

private:
  /** The begin or the end of an event. */
  struct Action
  {
    int64_t at_ms;
    bool is_begin;
    size_t event;
  };

  /* Changes the configuration and executes events until UNTIL_MS after the
     start. */
  void
  run_until (int64_t until_ms)
  {
    const int64_t end_ms
        = (start_ms_ > 0 ? start_ms_ : fleet_.now_ms ()) + until_ms;
    int64_t change_ms = fleet_.now_ms ();
    while (fleet_.now_ms () < end_ms)
      {
        if (fleet_.now_ms () >= change_ms)
          {
            fleet_.change ();
            change_ms = fleet_.now_ms () + plan_.change_interval_ms;
          }
        fleet_.keep_copy ();
        if (start_ms_ > 0)
          execute_due (fleet_.now_ms () - start_ms_);
        const int64_t next_ms = fleet_.now_ms () + tick_ms;
        wait_until ([&] { return fleet_.now_ms () >= next_ms; });
      }
  }

  /* Begins and ends events in the order of their times, also when an earlier
     one has taken long. */
  void
  execute_due (int64_t now_ms)
  {
    for (; next_ < actions_.size () && actions_[next_].at_ms <= now_ms;
         next_++)
      {
        const Action &action = actions_[next_];
        if (action.is_begin)
          begin (plan_.events[action.event]);
        else
          end (plan_.events[action.event]);
      }
  }

  void
  begin (const ConfigFaultEvent &event)
  {
    static const StoreFault faults[]
        = { StoreFault::busy, StoreFault::many, StoreFault::reset,
            StoreFault::silent, StoreFault::slow };
    switch (event.kind)
      {
      case ConfigFaultKind::suspend:
        fleet_.suspend (event.host);
        break;
      case ConfigFaultKind::kill:
        fleet_.kill (event.host);
        break;
      case ConfigFaultKind::terminate:
        fleet_.terminate (event.host);
        break;
      case ConfigFaultKind::reload:
        fleet_.reload (event.host);
        break;
      case ConfigFaultKind::store_fault:
        fleet_.fail_store (faults[event.variant % 5]);
        break;
      case ConfigFaultKind::compact:
        fleet_.compact_store ();
        break;
      case ConfigFaultKind::restore:
        fleet_.fail_store (faults[event.variant % 4]);
        break;
      default:
        set_paths (event, true);
      }
  }

  void
  end (const ConfigFaultEvent &event)
  {
    switch (event.kind)
      {
      case ConfigFaultKind::suspend:
        fleet_.resume (event.host);
        break;
      case ConfigFaultKind::kill:
      case ConfigFaultKind::terminate:
        fleet_.start_again (event.host);
        break;
      case ConfigFaultKind::store_fault:
        fleet_.fail_store (StoreFault::none);
        break;
      case ConfigFaultKind::restore:
        fleet_.restore_store (event.variant * copy_age_step_ms,
                              event.variant % 2 == 0);
        break;
      case ConfigFaultKind::reload:
      case ConfigFaultKind::compact:
        break;
      default:
        set_paths (event, false);
      }
  }

  void
  set_paths (const ConfigFaultEvent &event, bool is_faulty)
  {
    const ConfigFaultKind kind = event.kind;
    if (kind == ConfigFaultKind::silence_from)
      fleet_.silence_from (event.host, is_faulty);
    if (kind == ConfigFaultKind::silence_to)
      fleet_.silence_to (event.host, is_faulty);
    if (kind == ConfigFaultKind::silence_peers
        || kind == ConfigFaultKind::cut_off)
      fleet_.silence_peers (event.host, is_faulty);
    if (kind == ConfigFaultKind::silence_platform
        || kind == ConfigFaultKind::cut_off)
      fleet_.silence_platform (event.host, is_faulty);
    if (kind == ConfigFaultKind::refuse_platform)
      fleet_.refuse_platform (event.host, is_faulty);
  }

  /* Keeps the logs of a failed run in the folder that the environment names.
   */
  std::string
  write_logs ()
  {
    const char *folder = getenv ("JAYSTAIR_CONFIG_SOAK_LOGS");
    if (folder == nullptr)
      return "";
    const std::string path = std::string (folder) + "/"
                             + std::to_string (fleet_.now_ms ()) + ".log";
    std::ofstream (path) << fleet_.logs ();
    return path;
  }

  static constexpr int64_t tick_ms = 50;
  ConfigPlan plan_;
  std::string plan_text_;
  ConfigFleet fleet_;
  int64_t start_ms_ = 0;
  std::vector<Action> actions_;
  size_t next_ = 0;
};

void
run_seed (uint64_t seed, int most = hosts_max, bool has_restores = false)
{
  SCOPED_TRACE ("seed " + std::to_string (seed));
  std::cout << "seed " << seed << ": ";
  ConfigSoak soak (has_restores
                       ? config_plan_with_restores (seed, most, faults_ms)
                       : config_plan (seed, most, faults_ms));
  soak.run ();
}

/* Two fixed seeds in each CI run. */
TEST (ConfigSoakTest, FirstSeed)
{
  run_seed (1);
}

TEST (ConfigSoakTest, SecondSeed)
{
  run_seed (2);
}

/* Guards against configurations that a restore of the store takes out of
   force or keeps from taking effect, beside the other faults. */
TEST (ConfigSoakTest, RestoredStore)
{
  run_seed (3, hosts_max, true);
}

/* Runs COUNT seeds from FROM with up to MOST hosts as the environment variable
   NAME has FROM:COUNT:MOST. */
void
run_seeds_of (const char *name, bool has_restores)
{
  const char *seeds = getenv (name);
  if (seeds == nullptr)
    GTEST_SKIP () << "set " << name << "=FROM:COUNT:MOST to run others";
  char *rest = nullptr;
  const uint64_t from = strtoull (seeds, &rest, 10);
  const uint64_t count = *rest == ':' ? strtoull (rest + 1, &rest, 10) : 1;
  const int most = *rest == ':' ? atoi (rest + 1) : hosts_max;
  for (uint64_t seed = from; seed < from + count; seed++)
    run_seed (seed, most, has_restores);
}

TEST (ConfigSoakManual, SeedsFromEnvironment)
{
  run_seeds_of ("JAYSTAIR_CONFIG_SOAK", false);
}

TEST (ConfigSoakManual, SeedsWithRestoresFromEnvironment)
{
  run_seeds_of ("JAYSTAIR_CONFIG_SOAK_RESTORES", true);
}

} // namespace
