#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "policy/detection/tests/fake_pool.h"
}

namespace
{

constexpr int64_t second_us = 1000000;

/* A pool, its fleet, and the ejections that resulted from the decisions of the
   owner. */
class Simulation
{
public:
  fake_pool pool;
  fake_fleet fleet;
  detection_detector_options options{};
  std::vector<uint32_t> ejected; /* targets, in order */
  std::vector<int64_t> ejected_us;
  std::vector<int64_t> returned_us;
  std::map<uint32_t, uint64_t> requests; /* since the fault began */
  bool upstream = false;
  std::set<uint64_t> path_dcs;
  std::set<uint64_t> path_hosts;
  bool probes_ok = true;

  explicit Simulation (uint64_t seed)
  {
    fake_pool_init (&pool, seed);
    options.has_repeatable_routes = true;
    fleet = {};
  }
  ~Simulation ()
  {
    fake_fleet_clear (&fleet);
  }

  void
  run_until (int64_t until_us)
  {
    if (fleet.detector == nullptr)
      fake_fleet_init (&fleet, &pool, &options);
    while (pool.now_us < until_us)
      {
        fake_outcome o = fake_pool_next (&pool);
        if (o.now_us >= pool.fault.start_us)
          requests[o.target]++;
        detection_decisions decisions;
        if (fake_fleet_feed (&fleet, &o, &decisions))
          carry_out (decisions);
      }
  }

  detection_explanation
  explain (uint32_t target)
  {
    detection_explanation e{};
    EXPECT_TRUE (detection_detector_explain (fleet.detector, pool.now_us,
                                             fleet.keys[target], &e));
    return e;
  }

private:
  void
  carry_out (const detection_decisions &decisions)
  {
    upstream |= decisions.upstream_fault;
    for (size_t i = 0; i < decisions.path_count; i++)
      {
        path_dcs.insert (decisions.paths[i].dc_key);
        path_hosts.insert (decisions.paths[i].host_key);
      }
    for (size_t i = 0; i < decisions.share_count; i++)
      pool.shares[fake_fleet_target (&fleet, decisions.shares[i].target_key)]
          = decisions.shares[i].share_permille;
    for (size_t i = 0; i < decisions.probe_count; i++)
      detection_detector_probe_result (fleet.detector, pool.now_us,
                                       decisions.probe[i], probes_ok);
    for (size_t i = 0; i < decisions.reinstate_count; i++)
      {
        detection_detector_reinstated (fleet.detector, pool.now_us,
                                       decisions.reinstate[i]);
        returned_us.push_back (pool.now_us);
      }
    for (size_t i = 0; i < decisions.eject_count; i++)
      eject (decisions.eject[i].target_key);
    for (uint32_t i = 0; i < pool.targets; i++)
      {
        detection_explanation e = explain (i);
        if (e.state == DETECTION_EJECTED || e.state == DETECTION_PROBING)
          pool.shares[i] = 0;
        if (e.state == DETECTION_IN_SERVICE)
          pool.shares[i] = 1000;
      }
  }

  void
  eject (uint64_t key)
  {
    detection_detector_ejected (fleet.detector, pool.now_us, key);
    ejected.push_back (fake_fleet_target (&fleet, key));
    ejected_us.push_back (pool.now_us);
  }
};

/* One target of ten starts to fail two requests in five after a healthy
   minute, while its health endpoint still reports healthy. */
TEST (Detector, EjectsAFailingTargetWithAHealthyEndpoint)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Simulation sim (seed);
      sim.pool.fault.targets = 1;
      sim.pool.fault.failures = 0.4;
      sim.pool.fault.start_us = 60 * second_us;
      sim.run_until (60 * second_us);
      ASSERT_TRUE (sim.ejected.empty ()) << "seed " << seed;
      for (int i = 1; i <= 50; i++)
        {
          detection_detector_hint (sim.fleet.detector, sim.pool.now_us,
                                   sim.fleet.keys[0], DETECTION_HINT_HEALTHY);
          sim.run_until (60 * second_us + i * second_us / 10);
        }
      ASSERT_FALSE (sim.ejected.empty ()) << "seed " << seed;
      EXPECT_EQ (sim.ejected[0], 0u) << "seed " << seed;
      EXPECT_EQ (sim.ejected.size (), 1u) << "seed " << seed;
    }
}

/* The health endpoint of a healthy target is broken: hints alone must neither
   eject a target nor readmit one. */
TEST (Detector, HintsAloneNeitherEjectNorReadmit)
{
  Simulation sim (3);
  sim.run_until (30 * second_us);
  for (int i = 0; i < 600; i++)
    {
      detection_detector_hint (sim.fleet.detector, sim.pool.now_us,
                               sim.fleet.keys[2], DETECTION_HINT_UNHEALTHY);
      sim.run_until ((30 + i / 10) * second_us);
    }
  EXPECT_TRUE (sim.ejected.empty ());
  EXPECT_EQ (sim.explain (2).verdict, DETECTION_SUSPECT);

  detection_detector_ejected (sim.fleet.detector, sim.pool.now_us,
                              sim.fleet.keys[2]);
  sim.pool.shares[2] = 0;
  int64_t start_us = sim.pool.now_us;
  for (int i = 0; i < 9; i++)
    {
      detection_detector_hint (sim.fleet.detector, sim.pool.now_us,
                               sim.fleet.keys[2], DETECTION_HINT_HEALTHY);
      sim.run_until (start_us + i * second_us);
      EXPECT_EQ (sim.explain (2).state, DETECTION_EJECTED);
    }
}

/* A router between one dc and a target drops the traffic; all other dcs reach
   the target.  Ejecting it would take capacity from the two other dcs. */
TEST (Detector, PathFaultOfOneDcEjectsNothing)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    for (double failures : { 1.0, 0.5 })
      {
        Simulation sim (seed);
        sim.pool.fault.targets = 1;
        sim.pool.fault.dc = 1;
        sim.pool.fault.failures = failures;
        sim.pool.fault.start_us = 60 * second_us;
        sim.run_until (180 * second_us);
        EXPECT_TRUE (sim.ejected.empty ()) << "seed " << seed;
        EXPECT_EQ (sim.path_dcs, std::set<uint64_t>{ fake_dc_key (1) })
            << "seed " << seed;
        EXPECT_EQ (sim.explain (0).verdict, DETECTION_PATH_FAULT)
            << "seed " << seed;
        EXPECT_EQ (sim.explain (0).path_dc_key, fake_dc_key (1));
      }
}

/* One host has a faulty network link and observes all targets as failing,
   though all are healthy. */
TEST (Detector, PathFaultOfOneHostEjectsNothing)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Simulation sim (seed);
      sim.pool.fault.targets = 10;
      sim.pool.fault.host = 5;
      sim.pool.fault.failures = 1;
      sim.pool.fault.start_us = 60 * second_us;
      sim.run_until (180 * second_us);
      EXPECT_TRUE (sim.ejected.empty ()) << "seed " << seed;
      EXPECT_FALSE (sim.path_hosts.empty ()) << "seed " << seed;
    }
}

/* The path to one dc is already faulty when the target fails for all: the path
   fault must not hide that. */
TEST (Detector, EjectsATargetThatFailsDuringAPathFault)
{
  Simulation sim (7);
  sim.pool.fault.targets = 1;
  sim.pool.fault.dc = 1;
  sim.pool.fault.failures = 1;
  sim.pool.fault.start_us = 60 * second_us;
  sim.run_until (90 * second_us);
  ASSERT_TRUE (sim.ejected.empty ());
  sim.pool.fault.dc = FAKE_ALL;
  sim.run_until (100 * second_us);
  EXPECT_EQ (sim.ejected, std::vector<uint32_t>{ 0 });
}

/* An upstream of all targets stalls, and every request is ten times slower.
   Ejecting would make it worse, and afterwards no target may be ejected for
   the common fault. */
TEST (Detector, AllTargetsSlowAtOnceEjectsNone)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    for (double failures : { 0.0, 0.4, 1.0 })
      {
        Simulation sim (seed);
        sim.pool.fault.targets = 10;
        sim.pool.fault.slow_factor = 10;
        sim.pool.fault.failures = failures;
        sim.pool.fault.start_us = 60 * second_us;
        sim.pool.fault.end_us = 90 * second_us;
        sim.run_until (150 * second_us);
        EXPECT_TRUE (sim.ejected.empty ())
            << "seed " << seed << " failures " << failures;
        EXPECT_TRUE (sim.upstream) << "seed " << seed;
      }
}

/* Three of ten targets fail at once.  They are a minority, so they and no
   others are ejected. */
TEST (Detector, EjectsSeveralFailingTargetsAndNoOther)
{
  Simulation sim (11);
  sim.pool.fault.targets = 3;
  sim.pool.fault.failures = 0.5;
  sim.pool.fault.start_us = 60 * second_us;
  sim.run_until (70 * second_us);
  std::set<uint32_t> gone (sim.ejected.begin (), sim.ejected.end ());
  EXPECT_EQ (gone, (std::set<uint32_t>{ 0, 1, 2 }));
}

/* A service normally fails 3 % of its requests.  A test against an assumed 1 %
   ejects a healthy target every few minutes; with the learned baseline there
   is none in an hour. */
TEST (Detector, ABaselineOfThreePercentIsLearned)
{
  for (bool faster : { false, true })
    {
      Simulation sim (13);
      sim.options.prefer_faster_detection = faster;
      sim.pool.background = 0.03;
      sim.run_until (1200 * second_us);
      EXPECT_TRUE (sim.ejected.empty ()) << faster;
      EXPECT_NEAR (sim.explain (0).baseline_failures, 0.035, 0.012);
    }
}

/* A new owner starts without evidence while one target fails all requests and
   the normal share of failures is 3 %.  It must eject nothing until it has
   learned that share, and then only the failing target. */
TEST (Detector, ANewOwnerLearnsBeforeItEjects)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Simulation sim (seed);
      sim.pool.background = 0.03;
      sim.pool.fault.targets = 1;
      sim.pool.fault.failures = 1;
      sim.run_until (second_us / 2);
      EXPECT_TRUE (sim.ejected.empty ()) << "seed " << seed;
      EXPECT_EQ (sim.explain (4).verdict, DETECTION_LEARNING);
      sim.run_until (10 * second_us);
      EXPECT_EQ (sim.ejected, std::vector<uint32_t>{ 0 }) << "seed " << seed;
    }
}

/* A target that alternates between healthy and failing, ten seconds each,
   would be ejected and readmitted each time: the time between ejections must
   grow. */
TEST (Detector, FlappingIsEjectedForLongerEachTime)
{
  for (int64_t period_s : { 2, 20 })
    {
      Simulation sim (17);
      sim.pool.fault.targets = 1;
      sim.pool.fault.failures = 1;
      sim.pool.fault.period_us = period_s * second_us;
      sim.pool.fault.start_us = 60 * second_us;
      sim.run_until (1260 * second_us);
      ASSERT_FALSE (sim.ejected.empty ());
      EXPECT_LE (sim.ejected.size (), 6u) << period_s;
      EXPECT_GE (sim.explain (0).flaps, 4u) << period_s;
      EXPECT_EQ (std::set<uint32_t> (sim.ejected.begin (), sim.ejected.end ()),
                 std::set<uint32_t>{ 0 });
    }
}

/* A recovered target returns through real requests and stays in service. */
TEST (Detector, ARecoveredTargetReturnsAndStays)
{
  for (bool repeatable : { true, false })
    {
      Simulation sim (19);
      sim.options.has_repeatable_routes = repeatable;
      sim.pool.fault.targets = 1;
      sim.pool.fault.failures = 1;
      sim.pool.fault.start_us = 60 * second_us;
      sim.pool.fault.end_us = 65 * second_us;
      sim.run_until (400 * second_us);
      EXPECT_EQ (sim.ejected, std::vector<uint32_t>{ 0 });
      EXPECT_EQ (sim.returned_us.size (), 1u);
      EXPECT_EQ (sim.explain (0).state, DETECTION_IN_SERVICE);
      sim.run_until (800 * second_us);
      EXPECT_EQ (sim.explain (0).flaps, 0u);
    }
}

/* Without repeatable routes each trial request risks an unrepeatable request:
   as long as probes fail, there must be none. */
TEST (Detector, UnrepeatableServiceNeedsProbesBeforeATrial)
{
  Simulation sim (23);
  sim.options.has_repeatable_routes = false;
  sim.probes_ok = false;
  sim.pool.fault.targets = 1;
  sim.pool.fault.failures = 1;
  sim.pool.fault.start_us = 60 * second_us;
  sim.run_until (70 * second_us);
  ASSERT_EQ (sim.ejected.size (), 1u);
  uint64_t before = sim.requests[0];
  sim.run_until (200 * second_us);
  EXPECT_EQ (sim.requests[0], before);
  EXPECT_EQ (sim.explain (0).state, DETECTION_PROBING);
}

/* A new target is slow while its caches fill; ejecting it for that would keep
   it cold. */
TEST (Detector, AColdTargetIsNotEjectedForBeingSlow)
{
  Simulation sim (29);
  sim.run_until (60 * second_us);
  std::vector<uint64_t> rest (sim.fleet.keys + 1, sim.fleet.keys + 10);
  detection_detector_set_targets (sim.fleet.detector, sim.pool.now_us,
                                  rest.data (), rest.size ());
  detection_detector_set_targets (sim.fleet.detector, sim.pool.now_us,
                                  sim.fleet.keys, 10);
  sim.pool.fault.targets = 1;
  sim.pool.fault.slow_factor = 10;
  sim.pool.fault.end_us = 68 * second_us;
  sim.run_until (120 * second_us);
  EXPECT_TRUE (sim.ejected.empty ());
}

/* The explanation of an ejection names the reason, the score and the next
   step. */
TEST (Detector, ExplainsAnEjection)
{
  Simulation sim (31);
  sim.pool.fault.targets = 1;
  sim.pool.fault.slow_factor = 10;
  sim.pool.fault.start_us = 60 * second_us;
  sim.run_until (65 * second_us);
  ASSERT_EQ (sim.ejected, std::vector<uint32_t>{ 0 });
  detection_explanation e = sim.explain (0);
  EXPECT_EQ (e.state, DETECTION_EJECTED);
  EXPECT_EQ (e.reason, DETECTION_REASON_SLOW);
  EXPECT_GE (e.score, e.threshold);
  EXPECT_EQ (e.dc_count, 3u);
  EXPECT_GT (e.next_us, sim.pool.now_us);
  char text[512];
  detection_explanation_format (&e, sim.pool.now_us, text, sizeof text);
  EXPECT_NE (std::string (text).find ("may be tried again in"),
             std::string::npos)
      << text;
}

}
