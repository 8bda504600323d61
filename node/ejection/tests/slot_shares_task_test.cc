#include <gtest/gtest.h>

#include "node/ejection/tests/ejection_fleet.h"

namespace
{
constexpr int timeout_ms = 20000;
constexpr uint32_t overcommitted_permille = 1250; // permille of the slots

struct SlotSharesTask : testing::Test
{
  fleet f;
  void
  SetUp () override
  {
    ASSERT_TRUE (f.run_until (timeout_ms, [&] { return f.owner () >= 0; }));
    ASSERT_TRUE (f.run_until (timeout_ms, [&] { return all_have_shares (); }));
    f.run (500);
  }
  bool
  all_have_shares ()
  {
    for (auto &h : f.hosts)
      if (h.share.permille == 0)
        return false;
    return true;
  }
  // The slots of a target that the hosts may use together.
  uint32_t
  total_slots (uint32_t slots)
  {
    uint32_t sum = 0;
    for (auto &h : f.hosts)
      sum += slot_share_of (&h.share, f.target_keys.at ("t0"), slots);
    return sum;
  }
  uint32_t
  permille_sum ()
  {
    uint32_t sum = 0;
    for (auto &h : f.hosts)
      sum += h.share.permille;
    return sum;
  }
};

// Most requests arrive at one host.  With fixed shares they would queue there
// while the slots of the other hosts are idle.
TEST_F (SlotSharesTask, SharesFollowDemand)
{
  f.hosts[1].demand = 30;
  f.hosts[2].demand = 10;
  f.run (500);
  EXPECT_GT (f.hosts[1].share.permille, 2 * f.hosts[2].share.permille);
  EXPECT_GT (f.hosts[2].share.permille, f.hosts[0].share.permille);
  EXPECT_GT (f.hosts[0].share.permille, 0U);
  f.hosts[1].demand = 0;
  f.run (500);
  EXPECT_GT (f.hosts[2].share.permille, 2 * f.hosts[1].share.permille);
}

// If each of the three hosts assumed that it has all slots, targets would get
// three times the requests that they can serve.
TEST_F (SlotSharesTask, SharesStayWithinTheSlots)
{
  struct rng rng;
  rng_seed (&rng, 31);
  for (int round = 0; round < 40; round++)
    {
      for (auto &h : f.hosts)
        h.demand = (uint32_t)rng_below (&rng, 60);
      f.run (500);
      ASSERT_LE (permille_sum (), overcommitted_permille)
          << "seed 31, round " << round;
      ASSERT_GE (permille_sum (), overcommitted_permille - 10);
      for (const uint32_t slots : { 1U, 4U, 10U, 64U })
        {
          const uint32_t given = (slots * overcommitted_permille + 999) / 1000;
          ASSERT_LE (total_slots (slots), given + host_count);
          ASSERT_GE (total_slots (slots), slots);
        }
    }
}

// A host that receives from no owner must give up its share.  Otherwise its
// slots would be used twice: by this host, and by those to which the owner
// grants them.
TEST_F (SlotSharesTask, ShareExpiresWhenTheOwnerIsSilent)
{
  f.hosts[2].demand = 50;
  f.run (500);
  ASSERT_GT (f.hosts[2].share.permille, 1000U);
  f.link_down[0][2] = true;
  EXPECT_TRUE (
      f.run_until (1000, [&] { return f.hosts[2].share.permille == 0; }));
  EXPECT_GT (f.hosts[1].share.permille, 0U);
  f.link_down[0][2] = false;
  EXPECT_TRUE (f.run_until (2000, [&] { return all_have_shares (); }));
}

// An owner receives from one host only, and must not grant it all slots while
// the others still use theirs.
TEST_F (SlotSharesTask, HostsThatHaveNotPolledKeepTheirShare)
{
  f.link_down[1][0] = f.link_down[2][0] = true;
  f.hosts[0].demand = 20;
  f.run (1500);
  EXPECT_EQ (f.service (0)->poller_count, 3U);
  EXPECT_LT (f.hosts[0].share.permille, overcommitted_permille / 2);
  EXPECT_GT (f.hosts[0].share.permille, overcommitted_permille / 4);
}

// While all targets are slow no request ends, so there are no outcomes to
// report.  The demand must be reported anyway, or requests would wait for
// slots.
TEST_F (SlotSharesTask, DemandIsReportedWhenNoRequestEnds)
{
  const auto run_idle = [&] (int steps) {
    for (int i = 0; i < steps; i++)
      f.step ();
  };
  run_idle (20);
  const uint32_t before = f.hosts[2].share.permille;
  f.hosts[2].demand = 40;
  run_idle (
      9); // two report intervals; with the same demand it would be 250 ms
  EXPECT_GT (f.hosts[2].share.permille, 2 * before);
}

// Steady demand must not change the shares, or the messages about them would
// cost more than the requests.
TEST_F (SlotSharesTask, SteadyDemandKeepsShares)
{
  for (auto &h : f.hosts)
    h.demand = 33;
  f.run (1000);
  const int posts = f.hosts[1].share_posts;
  f.run (5000);
  EXPECT_EQ (f.hosts[1].share_posts, posts);
}

// A late answer to an older poll must not restore an outdated share.
TEST_F (SlotSharesTask, LateAnswerIsIgnored)
{
  const uint32_t before = f.hosts[1].share.permille;
  ejection_notice notice = {};
  notice.kind = EJECTION_DECISION;
  notice.service = service_name;
  notice.epoch = floor_owner_epoch (f.service (0)->owner);
  notice.enforce_ms = 900;
  notice.incarnation = f.hosts[1].task->options.incarnation;
  notice.poll_ms = f.service (1)->answered_poll_ms - 1;
  notice.share = { 0, 999 };
  ejection_service_receive_notice (f.service (1), "host-0", &notice);
  f.step ();
  EXPECT_EQ (f.hosts[1].share.permille, before);
  notice.poll_ms = fleet_now_ms + 60000; // would be valid for a minute
  ejection_service_receive_notice (f.service (1), "host-0", &notice);
  f.step ();
  EXPECT_EQ (f.hosts[1].share.permille, before);
}

// The path from one dc to a target is faulty.  Without the owner's notice,
// each host there would have to detect that by its own requests.  Hosts
// elsewhere must keep using the target.
TEST_F (SlotSharesTask, PathFaultIsAvoidedWhereItOccurs)
{
  f.run (3000); // the detector learns the baseline
  f.hosts[1].failing_from_here = { "t3" };
  ASSERT_TRUE (f.run_until (
      timeout_ms, [&] { return f.hosts[1].avoided.count ("t3") > 0; }));
  f.run (500);
  EXPECT_EQ (f.hosts[1].avoided.size (), 1U);
  EXPECT_TRUE (f.hosts[0].avoided.empty ());
  EXPECT_TRUE (f.hosts[2].avoided.empty ());
  EXPECT_TRUE (f.ejected_nowhere ("t3"));
  f.link_down[0][1] = true; // expires like all decisions of an owner
  EXPECT_TRUE (
      f.run_until (1000, [&] { return f.hosts[1].avoided.empty (); }));
}
}
