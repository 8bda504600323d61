#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

extern "C"
{
#include "policy/service_policy.h"
}

namespace
{

class service_policy_test : public ::testing::Test
{
protected:
  service_policy *policy = nullptr;
  int64_t now = 1000000;
  uint64_t next_id = 1;

  void
  start (uint32_t count, uint32_t slots, uint32_t queue = 100,
         uint32_t used_percent = 0)
  {
    const service_policy_options options = {
      1, queue, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, used_percent, 0
    };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < count; i++)
      targets.push_back ({ i + 1, slots, 0, false, true, -1 });
    service_policy_set_targets (policy, now, targets.data (), count);
  }
  void
  TearDown () override
  {
    service_policy_destroy (policy);
  }

  policy_decision
  ask (bool repeatable, int64_t left_us = 1000000,
       std::vector<uint32_t> tried = {})
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + left_us;
    r.repeatable = repeatable;
    r.attempt = 1 + (uint32_t)tried.size ();
    for (uint32_t t : tried)
      r.tried[r.tried_count++] = t;
    return service_policy_admit (policy, now, &r);
  }
  void
  end (uint32_t target, attempt_end how, int64_t latency_us = 10000)
  {
    const policy_outcome o = { target, how, latency_us, true };
    service_policy_outcome (policy, now, &o);
  }
  /* Waves of ten requests at once; BAD fails each.  How many BAD got. */
  int
  traffic (int waves, uint32_t bad, bool repeatable)
  {
    int got = 0;
    for (int i = 0; i < waves; i++)
      {
        now += 10000;
        std::vector<uint32_t> sent;
        for (int j = 0; j < 10; j++)
          sent.push_back (ask (repeatable).target);
        for (uint32_t t : sent)
          {
            EXPECT_NE (t, POLICY_NO_TARGET);
            got += t == bad;
            end (t, t == bad ? ATTEMPT_FAILED : ATTEMPT_ANSWERED);
          }
      }
    return got;
  }
};

/* A target answers its health checks and fails all real work.  Callers see
 * errors until it is taken out; avoidance must not wait for that. */
TEST_F (service_policy_test, a_failing_target_gets_a_trickle_only)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_belief (policy, 3).suspect);
  const int got = traffic (200, 3, true);
  EXPECT_GT (got, 0);
  EXPECT_LT (got, 20);
}

/* Guards against a target that begins to fail while it is slower than the
 * others: nobody chooses it, so it is never a suspect and never ejected. */
TEST_F (service_policy_test, a_slower_target_that_begins_to_fail_is_noticed)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end (t, ATTEMPT_ANSWERED, t == 1 ? 4000 : 1000);
  for (int i = 0; i < 3000 && !service_policy_belief (policy, 1).suspect; i++)
    {
      now += 5000;
      const uint32_t t = ask (true).target;
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED, 1000);
    }
  EXPECT_TRUE (service_policy_belief (policy, 1).suspect);
}

/* Guards against a failing target that nobody tests while as many others are
 * suspects that these aren't avoided: it costs more than any other. */
TEST_F (service_policy_test,
        a_failing_target_is_tested_while_most_are_suspects)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
           t == 2 ? 90000 : 1000);
  int tests = 0;
  for (int i = 0; i < 2400; i++)
    {
      now += 5000;
      const uint32_t t = ask (true).target;
      tests += t == 1;
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
           t == 2 ? 90000 : 1000);
    }
  EXPECT_GE (tests, 2);
}

/* A disbursement sent to a half-dead target can't be sent again, so nobody
 * learns what became of it.  It must not be what tests the target. */
TEST_F (service_policy_test, an_unrepeatable_request_is_no_test_of_a_suspect)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_belief (policy, 3).suspect);
  EXPECT_EQ (traffic (50, 3, false), 0);
}

/* A fault upstream makes most targets fail.  If all of them were avoided,
 * nothing would be left to serve. */
TEST_F (service_policy_test, nobody_is_a_suspect_when_most_fail)
{
  start (4, 5);
  for (int i = 0; i < 400; i++)
    {
      now += 1000;
      const policy_decision d = ask (true);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      end (d.target, d.target == 0 ? ATTEMPT_ANSWERED : ATTEMPT_FAILED);
    }
  for (uint32_t i = 0; i < 4; i++)
    EXPECT_FALSE (service_policy_belief (policy, i).suspect) << i;
}

TEST_F (service_policy_test, a_suspect_gets_real_work_when_the_rest_is_full)
{
  start (2, 1, 0);
  for (int i = 0; i < 8; i++)
    {
      const policy_decision a = ask (true);
      ASSERT_EQ (a.verdict, POLICY_SEND);
      const policy_decision b = ask (true);
      end (a.target, ATTEMPT_ANSWERED, a.target == 0 ? 50000 : 1000);
      end (b.target, ATTEMPT_ANSWERED, b.target == 0 ? 50000 : 1000);
      now += 100000;
    }
  ASSERT_TRUE (service_policy_belief (policy, 0).suspect);
  EXPECT_EQ (ask (true).target, 1u);
  const policy_decision d = ask (true);
  EXPECT_EQ (d.verdict, POLICY_SEND);
  EXPECT_EQ (d.target, 0u);
}

TEST_F (service_policy_test, a_retry_goes_to_another_target)
{
  start (2, 50);
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (ask (true, 1000000, { 0 }).target, 1u);
}

/* All slots are taken and the queue is as long as the deadline allows.  A
 * caller kept waiting would get the same refusal, only later. */
TEST_F (service_policy_test, what_can_not_finish_is_refused_at_once)
{
  start (1, 1);
  EXPECT_EQ (ask (true).verdict, POLICY_SEND);
  now += 10000;
  end (0, ATTEMPT_ANSWERED);
  EXPECT_EQ (ask (true).verdict, POLICY_SEND);
  EXPECT_EQ (ask (true, 100000).verdict, POLICY_QUEUE);
  const policy_decision d = ask (true, 15000);
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.reason, POLICY_REASON_TOO_LATE);
  EXPECT_EQ (d.retry_after_ms, 20u);
}

/* The only target is ejected while requests wait for it.  Each of them must
 * hear so now and not at its deadline. */
TEST_F (service_policy_test, those_who_wait_hear_that_no_target_is_left)
{
  start (1, 1);
  ASSERT_EQ (ask (true).verdict, POLICY_SEND);
  ASSERT_EQ (ask (true).verdict, POLICY_QUEUE);
  ASSERT_EQ (ask (false).verdict, POLICY_QUEUE);
  service_policy_set_ejected (policy, now, 0, true);
  EXPECT_EQ (service_policy_wake_us (policy), now);
  policy_decision d;
  for (int i = 0; i < 2; i++)
    {
      ASSERT_TRUE (service_policy_next (policy, now, &d));
      EXPECT_EQ (d.verdict, POLICY_REFUSE);
      EXPECT_EQ (d.reason, POLICY_REASON_NO_TARGET);
    }
  EXPECT_FALSE (service_policy_next (policy, now, &d));
  EXPECT_EQ (service_policy_wake_us (policy), INT64_MAX);
}

/* A target that was out comes back cold.  Given its full share at once, it
 * fails again at once. */
TEST_F (service_policy_test, a_returned_target_starts_slowly)
{
  start (4, 10);
  service_policy_set_ejected (policy, now, 0, true);
  traffic (10, POLICY_NO_TARGET, true);
  service_policy_set_ejected (policy, now, 0, false);
  EXPECT_TRUE (service_policy_belief (policy, 0).warming);
  for (int i = 0; i < 30; i++)
    ask (true);
  EXPECT_LE (service_policy_belief (policy, 0).in_flight, 1u);
  for (int i = 0; i < 9; i++)
    EXPECT_EQ (ask (true).verdict, POLICY_SEND);
}

/* One failure makes a target the dearest of equals, so two random targets
 * never end in it.  It gets no work, nothing more is learnt of it, and its
 * capacity is lost though it is well. */
TEST_F (service_policy_test, a_single_failure_does_not_starve_a_target)
{
  start (10, 5);
  end (0, ATTEMPT_FAILED);
  int got = 0;
  for (int i = 0; i < 300; i++)
    {
      const uint32_t target = ask (true).target;
      got += target == 0;
      end (target, ATTEMPT_ANSWERED);
    }
  EXPECT_GT (got, 0);
}

/* Five slots in six go out of service while the queue is long.  The last of
 * those who wait can't be served in time any more and must hear so now. */
TEST_F (service_policy_test, a_queue_that_lost_its_chance_is_cut_from_behind)
{
  start (6, 1);
  std::vector<uint32_t> sent;
  for (int i = 0; i < 6; i++)
    sent.push_back (ask (true).target);
  now += 10000;
  for (uint32_t t : sent)
    end (t, ATTEMPT_ANSWERED);
  for (int i = 0; i < 6; i++)
    ask (true);
  uint64_t last = 0;
  for (int i = 0; i < 20; i++)
    {
      const policy_decision d = ask (true, 50000);
      ASSERT_EQ (d.verdict, POLICY_QUEUE);
      last = d.request_id;
    }
  for (uint32_t t = 1; t < 6; t++)
    {
      service_policy_set_ejected (policy, now, t, true);
      end (t, ATTEMPT_ANSWERED);
    }
  policy_decision d;
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.request_id, last);
  EXPECT_GT (d.retry_after_ms, 0u);
}

/* Ways to half of the targets are cut, and there are no retries left.  A
 * request whose first try found no way is refused, though it is no load for
 * anybody to ask another target: it is asked, a bounded number of times. */
TEST_F (service_policy_test, a_try_that_reached_no_target_costs_no_retry)
{
  start (8, 100);
  while (ask (true, 1000000, { 0 }).reason != POLICY_REASON_RETRY_BUDGET)
    ;
  policy_request r = {};
  r.id = 1000;
  r.deadline_us = now + 1000000;
  r.attempt = 1;
  for (uint32_t i = 0; i < POLICY_UNSENT_MAX; i++)
    {
      r.attempt++;
      r.unsent++;
      r.after_unsent = true;
      EXPECT_EQ (service_policy_admit (policy, now, &r).verdict, POLICY_SEND);
    }
  r.attempt++;
  r.unsent++;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_ATTEMPTS);
  /* One that did reach a target costs one. */
  r.attempt = 2;
  r.unsent = 0;
  r.after_unsent = false;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_RETRY_BUDGET);
  /* It was paid for, and then found no way. */
  r.attempt = 3;
  r.unsent = 1;
  r.after_unsent = true;
  EXPECT_EQ (service_policy_admit (policy, now, &r).verdict, POLICY_SEND);
}

/* A page hangs at a gray target.  It goes elsewhere only where that helps: to
 * an untried target with a free slot, and what can't go takes no retry from
 * those that can. */
TEST_F (service_policy_test, what_hangs_goes_elsewhere_only_where_it_helps)
{
  start (2, 1);
  const policy_decision first = ask (true);
  policy_request r = {};
  r.id = first.request_id;
  r.deadline_us = now + 1000000;
  r.repeatable = true;
  r.attempt = 2;
  r.tried[r.tried_count++] = first.target;
  policy_decision d = {};
  const policy_decision busy = ask (true);
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE (service_policy_admit_elsewhere (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 2u);
  end (busy.target, ATTEMPT_ANSWERED);
  r.repeatable = false;
  EXPECT_FALSE (service_policy_admit_elsewhere (policy, now, &r, &d));
  r.repeatable = true;
  r.attempt = 4;
  EXPECT_FALSE (service_policy_admit_elsewhere (policy, now, &r, &d));
  r.attempt = 2;
  for (int i = 0; i < 3; i++)
    {
      EXPECT_TRUE (service_policy_admit_elsewhere (policy, now, &r, &d)) << i;
      EXPECT_EQ (d.verdict, POLICY_SEND);
      EXPECT_EQ (d.target, busy.target);
      end (busy.target, ATTEMPT_ANSWERED);
    }
  EXPECT_FALSE (service_policy_admit_elsewhere (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 1u);
}

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
      service_policy_hear (policy, now, 2, ATTEMPT_FAILED);
      service_policy_hear (policy, now, 2, ATTEMPT_FAILED);
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
        service_policy_hear (policy, now, t, ATTEMPT_FAILED);
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
          service_policy_hear (policy, now, t, ATTEMPT_TIMED_OUT);
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
          service_policy_hear (policy, now, 5, ATTEMPT_NOT_SENT);
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
          service_policy_hear (policy, now, t, ATTEMPT_FAILED);
      std::set<uint32_t> used;
      for (int i = 0; i < 175; i++)
        {
          now += 20000;
          const uint32_t t = ask (false).target;
          if (i >= 75)
            used.insert (t);
          end (t, ATTEMPT_ANSWERED);
          if (refused && i % 2 == 0)
            service_policy_refused (policy, now);
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
        service_policy_hear (policy, now, t, ATTEMPT_FAILED);
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
      service_policy_hear (policy, now, t, ATTEMPT_FAILED);
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
          service_policy_hear (policy, now, t, ATTEMPT_ANSWERED);
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
    service_policy_hear (policy, now, t, ATTEMPT_FAILED);
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
