#include <gtest/gtest.h>

#include "node/ejection/tests/ejection_fleet.h"

namespace
{
constexpr int long_ms = 20000;
constexpr uint32_t overcommitted = 1250; // permille of the slots

struct SlotSharesTask : testing::Test
{
  fleet f;
  void
  SetUp () override
  {
    ASSERT_TRUE (f.until (long_ms, [&] { return f.owner () >= 0; }));
    ASSERT_TRUE (f.until (long_ms, [&] { return all_have (); }));
    f.run (500);
  }
  bool
  all_have ()
  {
    for (auto &h : f.hosts)
      if (h.slots.permille == 0)
        return false;
    return true;
  }
  // What the hosts together may send at once to a target.
  uint32_t
  together (uint32_t slots)
  {
    uint32_t sum = 0;
    for (auto &h : f.hosts)
      sum += slot_share_of (&h.slots, fleet::target_key ("t0"), slots);
    return sum;
  }
  uint32_t
  permille_sum ()
  {
    uint32_t sum = 0;
    for (auto &h : f.hosts)
      sum += h.slots.permille;
    return sum;
  }
};

// Callers of a busy host would queue while slots lie idle at the others: the
// wedding season books through one host alone.
TEST_F (SlotSharesTask, SharesFollowDemand)
{
  f.hosts[1].demand = 30;
  f.hosts[2].demand = 10;
  f.run (500);
  EXPECT_GT (f.hosts[1].slots.permille, 2 * f.hosts[2].slots.permille);
  EXPECT_GT (f.hosts[2].slots.permille, f.hosts[0].slots.permille);
  EXPECT_GT (f.hosts[0].slots.permille, 0U);
  f.hosts[1].demand = 0;
  f.run (500);
  EXPECT_GT (f.hosts[2].slots.permille, 2 * f.hosts[1].slots.permille);
}

// Targets would get three times what they can do: each host believes that it
// has all of their slots.
TEST_F (SlotSharesTask, TogetherTheyStayWithinTheSlots)
{
  struct rng rng;
  rng_seed (&rng, 31);
  for (int round = 0; round < 40; round++)
    {
      for (auto &h : f.hosts)
        h.demand = (uint32_t)rng_below (&rng, 60);
      f.run (500);
      ASSERT_LE (permille_sum (), overcommitted) << "seed 31, round " << round;
      ASSERT_GE (permille_sum (), overcommitted - 10);
      for (const uint32_t slots : { 1U, 4U, 10U, 64U })
        {
          const uint32_t given = (slots * overcommitted + 999) / 1000;
          ASSERT_LE (together (slots), given + host_count);
          ASSERT_GE (together (slots), slots);
        }
    }
}

// The slots of a host that hears no owner would be given out twice: to the
// hosts that do hear one, and by what that host still holds.
TEST_F (SlotSharesTask, AShareLapsesWhenTheOwnerIsSilent)
{
  f.hosts[2].demand = 50;
  f.run (500);
  ASSERT_GT (f.hosts[2].slots.permille, 1000U);
  f.cut[0][2] = true;
  EXPECT_TRUE (f.until (1000, [&] { return f.hosts[2].slots.permille == 0; }));
  EXPECT_GT (f.hosts[1].slots.permille, 0U);
  f.cut[0][2] = false;
  EXPECT_TRUE (f.until (2000, [&] { return all_have (); }));
}

// The first host that a new owner hears would get all slots, while the others
// still use theirs.
TEST_F (SlotSharesTask, HostsNotYetHeardKeepTheirPart)
{
  f.cut[1][0] = f.cut[2][0] = true;
  f.hosts[0].demand = 20;
  f.run (1500);
  EXPECT_EQ (f.service (0)->poller_count, 3U);
  EXPECT_LT (f.hosts[0].slots.permille, overcommitted / 2);
  EXPECT_GT (f.hosts[0].slots.permille, overcommitted / 4);
}

// Requests would wait for slots with all targets slow: nothing ends, so there
// is no evidence to send, and the demand goes nowhere.
TEST_F (SlotSharesTask, DemandIsToldWhenNothingEnds)
{
  const auto quiet = [&] (int turns) {
    for (int i = 0; i < turns; i++)
      f.turn ();
  };
  quiet (20);
  const uint32_t before = f.hosts[2].slots.permille;
  f.hosts[2].demand = 40;
  quiet (9); // two reports' time; unasked it would report after 250 ms
  EXPECT_GT (f.hosts[2].slots.permille, 2 * before);
}

// Control would cost more than the work: steady demand must not move shares.
TEST_F (SlotSharesTask, SteadyDemandIsQuiet)
{
  for (auto &h : f.hosts)
    h.demand = 33;
  f.run (1000);
  const int news = f.hosts[1].slot_news;
  f.run (5000);
  EXPECT_EQ (f.hosts[1].slot_news, news);
}

// A host would go back to shares of a division that is over: an answer to an
// older poll comes late.
TEST_F (SlotSharesTask, ALateAnswerChangesNothing)
{
  const uint32_t before = f.hosts[1].slots.permille;
  ejection_notice news = {};
  news.kind = EJECTION_DECISION;
  news.service = service_name;
  news.epoch = floor_owner_epoch (f.service (0)->owner);
  news.enforce_ms = 900;
  news.incarnation = f.hosts[1].task->options.incarnation;
  news.poll_ms = f.service (1)->answered_poll_ms - 1;
  news.share = { 0, 999 };
  ejection_service_receive_notice (f.service (1), "host-0", &news);
  f.turn ();
  EXPECT_EQ (f.hosts[1].slots.permille, before);
  news.poll_ms = fleet_now_ms + 60000; // would hold for a minute
  ejection_service_receive_notice (f.service (1), "host-0", &news);
  f.turn ();
  EXPECT_EQ (f.hosts[1].slots.permille, before);
}

// Every host in one dc would find out for itself, request by request, that
// the cable from there to a target is bad; those elsewhere must keep using it.
TEST_F (SlotSharesTask, APathFaultIsAvoidedWhereItIsSeen)
{
  f.run (3000); // the detector learns what is normal
  f.hosts[1].bad_from_here = { "t3" };
  ASSERT_TRUE (
      f.until (long_ms, [&] { return f.hosts[1].avoided.count ("t3") > 0; }));
  f.run (500);
  EXPECT_EQ (f.hosts[1].avoided.size (), 1U);
  EXPECT_TRUE (f.hosts[0].avoided.empty ());
  EXPECT_TRUE (f.hosts[2].avoided.empty ());
  EXPECT_TRUE (f.none_out ("t3"));
  f.cut[0][1] = true; // lapses like all that an owner tells
  EXPECT_TRUE (f.until (1000, [&] { return f.hosts[1].avoided.empty (); }));
}
}
