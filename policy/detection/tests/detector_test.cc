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

/* A pool, its fleet, and the ejections that the owner's advice led to. */
class Scene
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

  explicit Scene (uint64_t seed)
  {
    fake_pool_init (&pool, seed);
    options.has_repeatable_routes = true;
    fleet = {};
  }
  ~Scene ()
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

/* A user waits on calendar pages that fail two times in five.  One target of
   ten went gray after a good minute; its health endpoint still says yes. */
TEST (Detector, EjectsAGrayTargetThoughItsHealthEndpointIsFine)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Scene scene (seed);
      scene.pool.fault.targets = 1;
      scene.pool.fault.failures = 0.4;
      scene.pool.fault.start_us = 60 * second_us;
      scene.run_until (60 * second_us);
      ASSERT_TRUE (scene.ejected.empty ()) << "seed " << seed;
      for (int i = 1; i <= 50; i++)
        {
          detection_detector_hint (scene.fleet.detector, scene.pool.now_us,
                                   scene.fleet.keys[0],
                                   DETECTION_HINT_HEALTHY);
          scene.run_until (60 * second_us + i * second_us / 10);
        }
      ASSERT_FALSE (scene.ejected.empty ()) << "seed " << seed;
      EXPECT_EQ (scene.ejected[0], 0u) << "seed " << seed;
      EXPECT_EQ (scene.ejected.size (), 1u) << "seed " << seed;
    }
}

/* Operators see a good target go because its health endpoint broke: hints
   alone must neither eject a target nor bring one back. */
TEST (Detector, HintsAloneNeitherEjectNorReadmit)
{
  Scene scene (3);
  scene.run_until (30 * second_us);
  for (int i = 0; i < 600; i++)
    {
      detection_detector_hint (scene.fleet.detector, scene.pool.now_us,
                               scene.fleet.keys[2], DETECTION_HINT_UNHEALTHY);
      scene.run_until ((30 + i / 10) * second_us);
    }
  EXPECT_TRUE (scene.ejected.empty ());
  EXPECT_EQ (scene.explain (2).verdict, DETECTION_SUSPECT);

  detection_detector_ejected (scene.fleet.detector, scene.pool.now_us,
                              scene.fleet.keys[2]);
  scene.pool.shares[2] = 0;
  int64_t start_us = scene.pool.now_us;
  for (int i = 0; i < 9; i++)
    {
      detection_detector_hint (scene.fleet.detector, scene.pool.now_us,
                               scene.fleet.keys[2], DETECTION_HINT_HEALTHY);
      scene.run_until (start_us + i * second_us);
      EXPECT_EQ (scene.explain (2).state, DETECTION_EJECTED);
    }
}

/* Callers in one dc get errors from a target that all others reach well: a
   router between that dc and the target drops it.  Ejecting it would take
   capacity from the two good dcs. */
TEST (Detector, OneDcBlindIsAPathFaultAndEjectsNothing)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    for (double failures : { 1.0, 0.5 })
      {
        Scene scene (seed);
        scene.pool.fault.targets = 1;
        scene.pool.fault.dc = 1;
        scene.pool.fault.failures = failures;
        scene.pool.fault.start_us = 60 * second_us;
        scene.run_until (180 * second_us);
        EXPECT_TRUE (scene.ejected.empty ()) << "seed " << seed;
        EXPECT_EQ (scene.path_dcs, std::set<uint64_t>{ fake_dc_key (1) })
            << "seed " << seed;
        EXPECT_EQ (scene.explain (0).verdict, DETECTION_PATH_FAULT)
            << "seed " << seed;
        EXPECT_EQ (scene.explain (0).path_dc_key, fake_dc_key (1));
      }
}

/* One entry host has a broken cable: every target looks dead from there.
   Nothing is wrong with the targets. */
TEST (Detector, OneBlindHostEjectsNothing)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Scene scene (seed);
      scene.pool.fault.targets = 10;
      scene.pool.fault.host = 5;
      scene.pool.fault.failures = 1;
      scene.pool.fault.start_us = 60 * second_us;
      scene.run_until (180 * second_us);
      EXPECT_TRUE (scene.ejected.empty ()) << "seed " << seed;
      EXPECT_FALSE (scene.path_hosts.empty ()) << "seed " << seed;
    }
}

/* The path to one dc is bad already when the target itself goes bad for all:
   the path fault must not hide that. */
TEST (Detector, EjectsATargetThatGoesBadBehindAPathFault)
{
  Scene scene (7);
  scene.pool.fault.targets = 1;
  scene.pool.fault.dc = 1;
  scene.pool.fault.failures = 1;
  scene.pool.fault.start_us = 60 * second_us;
  scene.run_until (90 * second_us);
  ASSERT_TRUE (scene.ejected.empty ());
  scene.pool.fault.dc = FAKE_ALL;
  scene.run_until (100 * second_us);
  EXPECT_EQ (scene.ejected, std::vector<uint32_t>{ 0 });
}

/* The database behind all targets stalls: every page is ten times slower.
   Ejecting would make it worse.  Afterwards nothing may be ejected for what
   was common to all. */
TEST (Detector, AllTargetsSlowAtOnceEjectsNone)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    for (double failures : { 0.0, 0.4, 1.0 })
      {
        Scene scene (seed);
        scene.pool.fault.targets = 10;
        scene.pool.fault.slow_factor = 10;
        scene.pool.fault.failures = failures;
        scene.pool.fault.start_us = 60 * second_us;
        scene.pool.fault.end_us = 90 * second_us;
        scene.run_until (150 * second_us);
        EXPECT_TRUE (scene.ejected.empty ())
            << "seed " << seed << " failures " << failures;
        EXPECT_TRUE (scene.upstream) << "seed " << seed;
      }
}

/* Three of ten targets fail at once: less than most, so they go, and only
   they do. */
TEST (Detector, SeveralBadTargetsGoAndNoOther)
{
  Scene scene (11);
  scene.pool.fault.targets = 3;
  scene.pool.fault.failures = 0.5;
  scene.pool.fault.start_us = 60 * second_us;
  scene.run_until (70 * second_us);
  std::set<uint32_t> gone (scene.ejected.begin (), scene.ejected.end ());
  EXPECT_EQ (gone, (std::set<uint32_t>{ 0, 1, 2 }));
}

/* Three in a hundred requests of a service fail in normal times.  A test
   against an assumed one in a hundred ejects a good target every few
   minutes; the learned baseline none in an hour. */
TEST (Detector, ABaselineOfThreePercentIsLearned)
{
  for (bool faster : { false, true })
    {
      Scene scene (13);
      scene.options.prefer_faster_detection = faster;
      scene.pool.background = 0.03;
      scene.run_until (1200 * second_us);
      EXPECT_TRUE (scene.ejected.empty ()) << faster;
      EXPECT_NEAR (scene.explain (0).baseline_failures, 0.035, 0.012);
    }
}

/* A new owner starts with nothing while one target fails all requests and
   the service's own share is 3 %: before it has learned that, it ejects
   nothing, then only the bad one. */
TEST (Detector, ANewOwnerLearnsBeforeItEjects)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Scene scene (seed);
      scene.pool.background = 0.03;
      scene.pool.fault.targets = 1;
      scene.pool.fault.failures = 1;
      scene.run_until (second_us / 2);
      EXPECT_TRUE (scene.ejected.empty ()) << "seed " << seed;
      EXPECT_EQ (scene.explain (4).verdict, DETECTION_LEARNING);
      scene.run_until (10 * second_us);
      EXPECT_EQ (scene.ejected, std::vector<uint32_t>{ 0 }) << "seed " << seed;
    }
}

/* A target that is good and bad in turns, ten seconds each, would be ejected
   and let back each time: the time between must grow. */
TEST (Detector, FlappingIsEjectedForLongerEachTime)
{
  for (int64_t period_s : { 2, 20 })
    {
      Scene scene (17);
      scene.pool.fault.targets = 1;
      scene.pool.fault.failures = 1;
      scene.pool.fault.period_us = period_s * second_us;
      scene.pool.fault.start_us = 60 * second_us;
      scene.run_until (1260 * second_us);
      ASSERT_FALSE (scene.ejected.empty ());
      EXPECT_LE (scene.ejected.size (), 6u) << period_s;
      EXPECT_GE (scene.explain (0).flaps, 4u) << period_s;
      EXPECT_EQ (
          std::set<uint32_t> (scene.ejected.begin (), scene.ejected.end ()),
          std::set<uint32_t>{ 0 });
    }
}

/* A mended target comes back by itself, by real requests, and stays. */
TEST (Detector, AMendedTargetReturnsAndStays)
{
  for (bool repeatable : { true, false })
    {
      Scene scene (19);
      scene.options.has_repeatable_routes = repeatable;
      scene.pool.fault.targets = 1;
      scene.pool.fault.failures = 1;
      scene.pool.fault.start_us = 60 * second_us;
      scene.pool.fault.end_us = 65 * second_us;
      scene.run_until (400 * second_us);
      EXPECT_EQ (scene.ejected, std::vector<uint32_t>{ 0 });
      EXPECT_EQ (scene.returned_us.size (), 1u);
      EXPECT_EQ (scene.explain (0).state, DETECTION_IN_SERVICE);
      scene.run_until (800 * second_us);
      EXPECT_EQ (scene.explain (0).flaps, 0u);
    }
}

/* Without repeatable routes each trial request risks a caller's payment: as
   long as probes fail, there must be none. */
TEST (Detector, UnrepeatableServiceNeedsProbesBeforeATrial)
{
  Scene scene (23);
  scene.options.has_repeatable_routes = false;
  scene.probes_ok = false;
  scene.pool.fault.targets = 1;
  scene.pool.fault.failures = 1;
  scene.pool.fault.start_us = 60 * second_us;
  scene.run_until (70 * second_us);
  ASSERT_EQ (scene.ejected.size (), 1u);
  uint64_t before = scene.requests[0];
  scene.run_until (200 * second_us);
  EXPECT_EQ (scene.requests[0], before);
  EXPECT_EQ (scene.explain (0).state, DETECTION_PROBING);
}

/* A target added in high season is slow while its caches fill; ejecting it
   for that would keep it cold. */
TEST (Detector, AColdTargetIsNotEjectedForBeingSlow)
{
  Scene scene (29);
  scene.run_until (60 * second_us);
  std::vector<uint64_t> rest (scene.fleet.keys + 1, scene.fleet.keys + 10);
  detection_detector_set_targets (scene.fleet.detector, scene.pool.now_us,
                                  rest.data (), rest.size ());
  detection_detector_set_targets (scene.fleet.detector, scene.pool.now_us,
                                  scene.fleet.keys, 10);
  scene.pool.fault.targets = 1;
  scene.pool.fault.slow_factor = 10;
  scene.pool.fault.end_us = 68 * second_us;
  scene.run_until (120 * second_us);
  EXPECT_TRUE (scene.ejected.empty ());
}

/* A person asks why a target is out. */
TEST (Detector, ExplainsAnEjection)
{
  Scene scene (31);
  scene.pool.fault.targets = 1;
  scene.pool.fault.slow_factor = 10;
  scene.pool.fault.start_us = 60 * second_us;
  scene.run_until (65 * second_us);
  ASSERT_EQ (scene.ejected, std::vector<uint32_t>{ 0 });
  detection_explanation e = scene.explain (0);
  EXPECT_EQ (e.state, DETECTION_EJECTED);
  EXPECT_EQ (e.reason, DETECTION_REASON_SLOW);
  EXPECT_GE (e.score, e.threshold);
  EXPECT_EQ (e.dc_count, 3u);
  EXPECT_GT (e.next_us, scene.pool.now_us);
  char text[512];
  detection_explanation_format (&e, scene.pool.now_us, text, sizeof text);
  EXPECT_NE (std::string (text).find ("may be tried again in"),
             std::string::npos)
      << text;
}

}
