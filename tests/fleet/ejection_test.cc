/** Ejection of gray targets within the floor, by one owner at a time. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t batch_requests = 200;

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
  set_faults (int target, const std::string &query = "fail=100")
  {
    return fleet->post_control (
        fleet->target_url (target, "/control/set?" + query));
  }

  /* Does HOST show the target as ejected? */
  bool
  is_ejected (int host, int target)
  {
    const std::string rows = fleet->jaystair (
        host, { "--json", "show", "targets", "where",
                "target=target-" + std::to_string (target) });
    return rows.find ("\"ejected\": true") != std::string::npos
           || rows.find ("\"ejected\":true") != std::string::npos;
  }

  /* The share of the targets' slots that a host may use, in thousandths; 0 if
     none is granted, -1 if it isn't shown. */
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

/* A target that fails every request while its health endpoint reports it
   healthy must be ejected on every host, as the floor allows it. */
TEST_F (Ejection, FailingTargetIsEjectedOnAllHosts)
{
  start (5, 12);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (set_faults (2));
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (wait_until ([&] { return is_ejected (host, 2); }))
        << fleet->logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* Two of five targets fail, but the floor needs four.  Only one may be
   ejected; the other stays eligible and is only avoided. */
TEST_F (Ejection, FloorPreventsSecondEjection)
{
  start (5, 16);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (set_faults (2));
  ASSERT_TRUE (wait_until ([&] { return is_ejected (1, 2); }))
      << fleet->logs ();
  ASSERT_TRUE (set_faults (3));
  ASSERT_TRUE (load.wait_for_requests (5 * batch_requests));
  for (int host = 1; host <= 3; host++)
    EXPECT_FALSE (is_ejected (host, 2) && is_ejected (host, 3))
        << fleet->logs ();
  load.stop ();
}

/* The platform is down for many lease times when a target turns gray.  The
   owner must still eject it, within the reserve that it may use alone. */
TEST_F (Ejection, WorksDuringPlatformOutage)
{
  start (5, 12);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (wait_until ([&] { return owner () != 0; })) << fleet->logs ();
  ASSERT_TRUE (fleet->post_control (fleet->platform_url ("/control?down=1")));
  ASSERT_TRUE (set_faults (4));
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (wait_until ([&] { return is_ejected (host, 4); }))
        << fleet->logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* The owner is suspended past its lease and doesn't know it.  Another host
   must take over with the next epoch; after the first resumes, no host may
   follow its decisions, and the floor must hold on every host. */
TEST_F (Ejection, SuspendedOwnerIsReplaced)
{
  start (5, 16);
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (wait_until ([&] { return owner () != 0; })) << fleet->logs ();
  const int first = owner ();
  Process &suspended = *fleet->hosts[static_cast<size_t> (first - 1)];
  suspended.signal (SIGSTOP);
  EXPECT_TRUE (wait_until ([&] {
    for (int host = 1; host <= 3; host++)
      if (host != first
          && fleet->hosts[static_cast<size_t> (host - 1)]->count_lines (
                 { "\"takeover\"" })
                 > 0)
        return true;
    return false;
  })) << fleet->logs ();
  ASSERT_TRUE (set_faults (2));
  ASSERT_TRUE (set_faults (3));
  suspended.signal (SIGCONT);
  ASSERT_TRUE (load.wait_for_requests (5 * batch_requests));
  for (int host = 1; host <= 3; host++)
    EXPECT_FALSE (is_ejected (host, 2) && is_ejected (host, 3))
        << fleet->logs ();
  load.stop ();
}

/* Three hosts that each send as much as the targets can serve would overload
   them.  The owner must divide the slots among the live hosts; when it is
   killed, its successor must divide them among the remaining two. */
TEST_F (Ejection, SlotsAreDividedAmongHosts)
{
  constexpr int granted_permille = 1250;
  start (3, 0);
  EXPECT_TRUE (wait_until ([&] {
    int sum = 0;
    for (int host = 1; host <= 3; host++)
      {
        const int share = slot_share (host);
        if (share <= 0 || share > granted_permille / 2)
          return false;
        sum += share;
      }
    return sum > granted_permille / 2 && sum <= granted_permille;
  })) << fleet->logs ();
  const int first = owner ();
  ASSERT_NE (first, 0);
  fleet->hosts[static_cast<size_t> (first - 1)]->kill ();
  for (int host = 1; host <= 3; host++)
    EXPECT_TRUE (host == first || wait_until ([&] {
                   return slot_share (host) == granted_permille / 2;
                 }))
        << slot_share (host) << fleet->logs ();
}

} // namespace
