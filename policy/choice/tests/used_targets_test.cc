/* The share of its targets that a service keeps in use. */
#include "policy/choice/tests/service_policy_fixture.h"

#include <algorithm>
#include <set>

namespace
{

/* Two targets get all work, and one request in eight fails there.  The third
 * failed two seconds ago and is good again, but nobody knows: what is heard
 * of the two is newer each time.  While so much fails, it must get its turn if
 * the operator wants a share of the targets in use. */
TEST_F (service_policy_test, unused_targets_get_their_turn_while_many_fail)
{
  for (const uint32_t wanted : { 70, 0 })
    {
      start (3, 3, 100, wanted);
      const int64_t begun = now;
      service_policy_remote_outcome (policy, now, 2, ATTEMPT_FAILED);
      service_policy_remote_outcome (policy, now, 2, ATTEMPT_FAILED);
      bool had_turn = false;
      for (int i = 0; now < begun + 1800000; i++)
        {
          now += 30000;
          const uint32_t t = ask (false).target;
          had_turn = had_turn || t == 2;
          const policy_outcome o
              = { t, i % 8 == 0 ? ATTEMPT_CUT : ATTEMPT_ANSWERED, 10000,
                  false };
          service_policy_outcome (policy, now, &o);
        }
      EXPECT_EQ (had_turn, wanted > 0);
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Five of ten targets failed some seconds ago; the other five do all of the
 * disbursements since, without a fault.  Then all hosts lose power: what was
 * under way fails, an eighth of the last seconds' requests, and of the targets
 * that are good again most had been idle.  No host could spread the load
 * after it, so the share must be in use before. */
TEST_F (service_policy_test, what_may_run_once_uses_the_wanted_share_always)
{
  for (const uint32_t wanted : { 70, 0 })
    {
      start (10, 3, 100, wanted);
      for (uint32_t t = 0; t < 5; t++)
        service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
      const int64_t begun = now;
      std::vector<bool> used (10, false);
      while (now < begun + 5000000)
        {
          now += 10000;
          const uint32_t t = ask (false).target;
          if (now > begun + 3000000)
            used[t] = true;
          const policy_outcome o = { t, ATTEMPT_ANSWERED, 10000, false };
          service_policy_outcome (policy, now, &o);
        }
      const auto count = std::count (used.begin (), used.end (), true);
      if (wanted > 0)
        EXPECT_GE (count, 7);
      else
        EXPECT_LT (count, 7);
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Five of ten targets fail: other hosts tell all the time that their attempts
 * there timed out, which began seconds ago.  Nobody sends them anything now,
 * and they are good again. */
TEST_F (service_policy_test, old_attempts_of_others_are_no_use_of_a_target)
{
  start (10, 3, 100, 70);
  std::set<uint32_t> used;
  for (int i = 0; i < 500; i++)
    {
      now += 10000;
      if (i % 50 == 0)
        for (uint32_t t = 0; t < 5; t++)
          service_policy_remote_outcome (policy, now, t, ATTEMPT_TIMED_OUT);
      const uint32_t t = ask (false).target;
      if (i >= 300)
        used.insert (t);
      const policy_outcome o = { t, ATTEMPT_ANSWERED, 10000, false };
      service_policy_outcome (policy, now, &o);
    }
  EXPECT_GE (used.size (), 7u);
}

/* The host whose subset a target is in can't reach it, and says so.  It gets
 * nothing from anybody, though all but that host could use it: they do. */
TEST_F (service_policy_test, targets_that_their_host_cannot_reach_are_visited)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, i >= 2, true, -1 });
  service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 6 };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  std::set<uint32_t> used[3];
  for (int i = 0; i < 600; i++)
    {
      now += 10000;
      for (int host = 1; host < 6; host++)
        if (i >= 200 && i < 400 && i % 100 == 0)
          service_policy_remote_outcome (policy, now, 5, ATTEMPT_NOT_SENT);
      const uint32_t t = ask (false).target;
      used[i / 200].insert (t);
      end (t, ATTEMPT_ANSWERED);
    }
  EXPECT_EQ (used[0].count (5), 0u);
  EXPECT_EQ (used[1].count (5), 1u);
}

/* Guards against targets left idle while a third of a service's requests are
 * refused for a quota: no attempt fails, so nothing else says that the share
 * must grow. */
TEST_F (service_policy_test, requests_spread_further_while_a_third_is_refused)
{
  for (const bool refused : { true, false })
    {
      start (20, 3, 100, 70);
      for (uint32_t t = 0; t < 14; t++)
        for (int i = 0; i < 3; i++)
          service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
      std::set<uint32_t> used;
      for (int i = 0; i < 175; i++)
        {
          now += 20000;
          const uint32_t t = ask (false).target;
          if (i >= 75)
            used.insert (t);
          end (t, ATTEMPT_ANSWERED);
          if (refused && i % 2 == 0)
            service_policy_note_refusal (policy, now);
        }
      EXPECT_EQ (used.size () >= 17, refused) << used.size ();
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Guards against targets left idle by repeatable requests while all is well: a
 * loss of power of the hosts then fails what was under way at the others. */
TEST_F (service_policy_test, repeatable_requests_use_nearly_all_targets_always)
{
  for (const uint32_t wanted : { 70, 0 })
    {
      start (20, 3, 100, wanted);
      for (uint32_t t = 0; t < 14; t++)
        service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
      std::vector<uint32_t> got;
      for (int i = 0; i < 300; i++)
        {
          now += 20000;
          got.push_back (ask (true).target);
          end (got.back (), ATTEMPT_ANSWERED);
        }
      /* Within any two seconds, once there was a second and a half for it. */
      size_t least = 20;
      for (auto from = got.begin () + 75; from + 100 <= got.end (); from++)
        least
            = std::min (least, std::set<uint32_t> (from, from + 100).size ());
      EXPECT_EQ (least >= 19, wanted > 0) << least;
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Guards against second attempts that are spent on visits to ill targets:
 * nothing makes their failures good. */
TEST_F (service_policy_test, only_what_can_be_made_good_visits_ill_targets)
{
  start (20, 3, 100, 70);
  for (uint32_t t = 0; t < 19; t++)
    for (int i = 0; i < 3; i++)
      service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
  now += 1600000;
  policy_request r = {};
  r.id = 1000;
  r.deadline_us = now + 1000000;
  r.repeatable = true;
  r.attempt = 1;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_TRICKLE);
  r.attempts_max = 1;
  EXPECT_NE (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_TRICKLE);
  r.attempts_max = 0;
  r.attempt = 2;
  EXPECT_NE (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_TRICKLE);
}

/* Guards against targets that get nothing from the moment at which the host
 * whose subset they are in is killed until the others see that. */
TEST_F (service_policy_test, targets_of_another_hosts_subset_are_visited_late)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, i >= 4, true, -1 });
  const service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 3 };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  std::set<uint32_t> visited;
  for (int i = 0; i < 1200; i++)
    {
      now += 10000;
      const policy_decision d = ask (true);
      end (d.target, ATTEMPT_ANSWERED);
      /* The other hosts tell for six seconds of what they send. */
      for (uint32_t t = 4; t < 12 && i < 600; t++)
        if (i % 100 == 0)
          service_policy_remote_outcome (policy, now, t, ATTEMPT_ANSWERED);
      const bool is_visit = d.reason == POLICY_REASON_TRICKLE;
      EXPECT_FALSE (i < 600 && is_visit && d.target >= 4) << i;
      if (i >= 900)
        visited.insert (d.target);
    }
  EXPECT_GE (visited.size (), 11u);
}

/* Reads may be tried twice, and one in five attempts fails at the same few
 * targets that get all of them; the rest have been idle for seconds.  Second
 * tries fail as well, so callers do without an answer while good targets do
 * nothing. */
TEST_F (service_policy_test, what_may_be_repeated_spreads_while_a_fifth_fails)
{
  start (20, 3, 100, 70);
  for (uint32_t t = 0; t < 14; t++)
    service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
  std::vector<uint32_t> got;
  for (int i = 0; i < 300; i++)
    {
      now += 20000;
      got.push_back (ask (true).target);
      end (got.back (), i % 5 == 0 ? ATTEMPT_NOT_SENT : ATTEMPT_ANSWERED);
    }
  /* Within any two seconds, once there was a second and a half to see it. */
  for (auto from = got.begin () + 75; from + 100 <= got.end (); from++)
    EXPECT_GE (std::set<uint32_t> (from, from + 100).size (), 14u)
        << from - got.begin ();
}

}
