/** Gray targets: ejected under the floor, by one owner at a time. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t some = 200;
class Ejection : public testing::Test
{
protected:
  FleetOptions options;
  std::unique_ptr<Fleet> fleet;

  void
  start (int targets, int floor)
  {
    options.times = short_times;
    options.targets = targets;
    options.floor = floor;
    fleet = std::make_unique<Fleet> (options);
    ASSERT_TRUE (fleet->start ());
  }

  bool
  turn_gray (int target, const std::string &how = "fail=100")
  {
    return fleet->post_control (
        fleet->target_url (target, "/control/set?" + how));
  }

  /* The host's view: is the target out of work by ejection? */
  bool
  is_ejected (int host, int target)
  {
    const std::string rows = fleet->jaystair (
        host, { "--json", "show", "targets", "where",
                "target=target-" + std::to_string (target) });
    return rows.find ("\"ejected\": true") != std::string::npos
           || rows.find ("\"ejected\":true") != std::string::npos;
  }

  /* What a host may use of the targets' slots, in thousandths; 0: nothing is
     granted. */
  int
  slot_share (int host)
  {
    const std::string rows
        = fleet->jaystair (host, { "--json", "show", "services" });
    const std::string name = "\"slot_share_permille\":";
    const size_t at = rows.find (name);
    return at == std::string::npos ? -1 : std::atoi (&rows[at + name.size ()]);
  }

  int
  owner ()
  {
    for (size_t i = 0; i < fleet->hosts.size (); i++)
      if (fleet->hosts[i]->count_lines ({ "\"takeover\"" }) > 0)
        return static_cast<int> (i) + 1;
    return 0;
  }
};

/* A target answers every request with a failure while its health endpoint
   says that all is well.  It is ejected on every host; the floor allows it. */
TEST_F (Ejection, FailingTargetIsEjectedEverywhere)
{
  start (5, 12);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (turn_gray (2));
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (wait_until ([&] { return is_ejected (host, 2); }))
        << fleet->logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* Two of five targets fail, but the floor needs four.  Only one may go; the
   other stays eligible and is merely avoided. */
TEST_F (Ejection, FloorKeepsTheSecondTarget)
{
  start (5, 16);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (turn_gray (2));
  ASSERT_TRUE (wait_until ([&] { return is_ejected (1, 2); }))
      << fleet->logs ();
  ASSERT_TRUE (turn_gray (3));
  ASSERT_TRUE (load.wait_for_requests (5 * some));
  for (int host = 1; host <= 3; host++)
    EXPECT_FALSE (is_ejected (host, 2) && is_ejected (host, 3))
        << fleet->logs ();
  load.stop ();
}

/* The platform is down for many lease times when a target turns gray.  The
   owner spends its reserve alone and ejects it all the same. */
TEST_F (Ejection, WorksThroughAPlatformOutage)
{
  start (5, 12);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (wait_until ([&] { return owner () != 0; })) << fleet->logs ();
  ASSERT_TRUE (fleet->post_control (fleet->platform_url ("/control?down=1")));
  ASSERT_TRUE (turn_gray (4));
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (wait_until ([&] { return is_ejected (host, 4); }))
        << fleet->logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* The owner is frozen past its lease and doesn't know it.  Another host takes
   over with the next epoch; when the first thaws, nobody obeys it any more and
   the floor still holds on every host. */
TEST_F (Ejection, FrozenOwnerIsReplacedAndNotObeyed)
{
  start (5, 16);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (wait_until ([&] { return owner () != 0; })) << fleet->logs ();
  const int first = owner ();
  Process &frozen = *fleet->hosts[static_cast<size_t> (first - 1)];
  frozen.signal (SIGSTOP);
  EXPECT_TRUE (wait_until ([&] {
    for (int host = 1; host <= 3; host++)
      if (host != first
          && fleet->hosts[static_cast<size_t> (host - 1)]->count_lines (
                 { "\"takeover\"" })
                 > 0)
        return true;
    return false;
  })) << fleet->logs ();
  ASSERT_TRUE (turn_gray (2));
  ASSERT_TRUE (turn_gray (3));
  frozen.signal (SIGCONT);
  ASSERT_TRUE (load.wait_for_requests (5 * some));
  for (int host = 1; host <= 3; host++)
    EXPECT_FALSE (is_ejected (host, 2) && is_ejected (host, 3))
        << fleet->logs ();
  load.stop ();
}

/* Three hosts that each send as much as the targets can do would bury them.
   The owner divides the slots among those that are there; when it is killed,
   its successor divides them anew among the two that are left. */
TEST_F (Ejection, SlotsAreDividedAmongTheHosts)
{
  constexpr int given = 1250;
  start (3, 0);
  EXPECT_TRUE (wait_until ([&] {
    int sum = 0;
    for (int host = 1; host <= 3; host++)
      {
        const int share = slot_share (host);
        if (share <= 0 || share > given / 2)
          return false;
        sum += share;
      }
    return sum > given / 2 && sum <= given;
  })) << fleet->logs ();
  const int first = owner ();
  ASSERT_NE (first, 0);
  fleet->hosts[static_cast<size_t> (first - 1)]->kill ();
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (host == first || wait_until ([&] {
                   return slot_share (host) == given / 2;
                 }))
        << slot_share (host) << fleet->logs ();
}

} // namespace
