/* The share of its targets that a service keeps in use. */
#include "policy/choice/tests/service_policy_fixture.h"

#include <algorithm>
#include <set>

namespace
{

/* Two targets get all requests, and one in eight fails there.  The third
   failed two seconds ago and has recovered, but it looks worse, as the
   outcomes of the other two are newer.  While so many requests fail, it
   must be used if the operator wants a share of the targets in use. */
TEST_F (service_policy_test, unused_targets_are_used_while_many_fail)
{
  for (const uint32_t used_percent : { 70, 0 })
    {
      start (3, 3, 100, used_percent);
      const int64_t started = now;
      service_policy_remote_outcome (policy, now, 2, ATTEMPT_FAILED);
      service_policy_remote_outcome (policy, now, 2, ATTEMPT_FAILED);
      bool was_used = false;
      for (int i = 0; now < started + 1800000; i++)
        {
          now += 30000;
          const uint32_t t = admit (false).target;
          was_used = was_used || t == 2;
          const policy_outcome o
              = { t, i % 8 == 0 ? ATTEMPT_CUT : ATTEMPT_ANSWERED, 10000,
                  false };
          service_policy_outcome (policy, now, &o);
        }
      EXPECT_EQ (was_used, used_percent > 0);
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Five of ten targets failed some seconds ago; since then the other five
   have served all unrepeatable requests without failures.  Then all hosts
   lose power: the requests in flight fail, an eighth of those of the last
   seconds, and most of the recovered targets were idle.  As no host is left
   to spread the load afterwards, the share must be in use before. */
TEST_F (service_policy_test,
        unrepeatable_requests_always_use_the_required_share)
{
  for (const uint32_t used_percent : { 70, 0 })
    {
      start (10, 3, 100, used_percent);
      for (uint32_t t = 0; t < 5; t++)
        service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
      const int64_t started = now;
      std::vector<bool> used (10, false);
      while (now < started + 5000000)
        {
          now += 10000;
          const uint32_t t = admit (false).target;
          if (now > started + 3000000)
            used[t] = true;
          const policy_outcome o = { t, ATTEMPT_ANSWERED, 10000, false };
          service_policy_outcome (policy, now, &o);
        }
      const auto count = std::count (used.begin (), used.end (), true);
      if (used_percent > 0)
        EXPECT_GE (count, 7);
      else
        EXPECT_LT (count, 7);
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Five of ten targets fail.  Other hosts keep reporting timeouts of
   attempts that started seconds ago.  No host sends them requests now, and
   they have recovered. */
TEST_F (service_policy_test, ends_of_old_attempts_are_not_use)
{
  start (10, 3, 100, 70);
  std::set<uint32_t> used;
  for (int i = 0; i < 500; i++)
    {
      now += 10000;
      if (i % 50 == 0)
        for (uint32_t t = 0; t < 5; t++)
          service_policy_remote_outcome (policy, now, t, ATTEMPT_TIMED_OUT);
      const uint32_t t = admit (false).target;
      if (i >= 300)
        used.insert (t);
      const policy_outcome o = { t, ATTEMPT_ANSWERED, 10000, false };
      service_policy_outcome (policy, now, &o);
    }
  EXPECT_GE (used.size (), 7u);
}

/* The host whose subset a target is in reports that it can't reach it.  All
   other hosts can, so they must use the target instead. */
TEST_F (service_policy_test, targets_unreachable_by_their_host_are_used)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, 0, i >= 2, true, -1 });
  service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 6, {} };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  std::set<uint32_t> used[3];
  for (int i = 0; i < 600; i++)
    {
      now += 10000;
      for (int host = 1; host < 6; host++)
        if (i >= 200 && i < 400 && i % 100 == 0)
          service_policy_remote_outcome (policy, now, 5, ATTEMPT_NOT_SENT);
      const uint32_t t = admit (false).target;
      used[i / 200].insert (t);
      end_attempt (t, ATTEMPT_ANSWERED);
    }
  EXPECT_EQ (used[0].count (5), 0u);
  EXPECT_EQ (used[1].count (5), 1u);
}

/* Guards against targets that get no requests because the host whose subset
   they are in can't reach them, while the other hosts avoid them for a failure
   of some seconds ago.  They have recovered since. */
TEST_F (service_policy_test,
        recovered_targets_unreachable_by_their_host_are_used)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, 0, i >= 2, true, -1 });
  service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 6, {} };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  for (int i = 0; i < 4; i++)
    service_policy_remote_outcome (policy, now, 5, ATTEMPT_FAILED);
  const int64_t failed_us = now;
  int used = 0;
  for (int i = 0; i < 600; i++)
    {
      now += 10000;
      for (int host = 1; host < 6; host++)
        if (i % 150 == 0)
          service_policy_remote_outcome (policy, now, 5, ATTEMPT_NOT_SENT);
      const uint32_t t = admit (false).target;
      if (t == 5)
        {
          EXPECT_GE (now, failed_us + 2000000)
              << "before it can have recovered";
          used++;
        }
      end_attempt (t, ATTEMPT_ANSWERED);
    }
  EXPECT_GT (used, 0);
}

/* A host that can't reach a target either must not probe it in place of the
   one whose subset it is in: the requests can't be sent. */
TEST_F (service_policy_test, targets_unreachable_from_here_are_left_alone)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, 0, i >= 2, true, -1 });
  service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 6, {} };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  int used = 0;
  for (int i = 0; i < 600; i++)
    {
      now += 10000;
      for (int host = 1; host < 6; host++)
        if (i % 100 == 0)
          service_policy_remote_outcome (policy, now, 5, ATTEMPT_NOT_SENT);
      const uint32_t t = admit (false).target;
      used += t == 5;
      end_attempt (t, t == 5 ? ATTEMPT_NOT_SENT : ATTEMPT_ANSWERED);
    }
  EXPECT_LE (used, 2);
}

/* A third of a service's requests is refused for a quota, so no attempt
   fails.  Targets would stay idle if the refusals didn't raise the share. */
TEST_F (service_policy_test, more_targets_are_used_while_a_third_is_refused)
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
          const uint32_t t = admit (false).target;
          if (i >= 75)
            used.insert (t);
          end_attempt (t, ATTEMPT_ANSWERED);
          if (refused && i % 2 == 0)
            service_policy_note_refusal (policy, now);
        }
      EXPECT_EQ (used.size () >= 17, refused) << used.size ();
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Repeatable requests must not leave targets idle while nothing fails: if
   the hosts lose power, the requests in flight at the other targets fail. */
TEST_F (service_policy_test, repeatable_requests_always_use_nearly_all_targets)
{
  for (const uint32_t used_percent : { 70, 0 })
    {
      start (20, 3, 100, used_percent);
      for (uint32_t t = 0; t < 14; t++)
        service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
      std::vector<uint32_t> sent_to;
      for (int i = 0; i < 300; i++)
        {
          now += 20000;
          sent_to.push_back (admit (true).target);
          end_attempt (sent_to.back (), ATTEMPT_ANSWERED);
        }
      /* Within any two seconds, after an initial 1.5 s. */
      size_t least_used = 20;
      for (auto from = sent_to.begin () + 75; from + 100 <= sent_to.end ();
           from++)
        least_used = std::min (least_used,
                               std::set<uint32_t> (from, from + 100).size ());
      EXPECT_EQ (least_used >= 19, used_percent > 0) << least_used;
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Second attempts must not be sent to unhealthy targets, since their
   failures can't be recovered. */
TEST_F (service_policy_test, only_retryable_attempts_probe_unhealthy_targets)
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

/* When a host is killed, the targets of its subset must not stay without
   requests until the other hosts notice. */
TEST_F (service_policy_test, targets_of_other_subsets_are_used_later)
{
  start (1, 1, 100, 70);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 12; i++)
    targets.push_back ({ i + 1, 3, 0, 0, i >= 4, true, -1 });
  const service_policy_options options
      = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 50, 70, 3, {} };
  service_policy_configure (policy, &options);
  service_policy_set_targets (policy, now, targets.data (), targets.size ());
  std::set<uint32_t> probed;
  for (int i = 0; i < 1200; i++)
    {
      now += 10000;
      const policy_decision d = admit (true);
      end_attempt (d.target, ATTEMPT_ANSWERED);
      /* The other hosts report their attempts for six seconds. */
      for (uint32_t t = 4; t < 12 && i < 600; t++)
        if (i % 100 == 0)
          service_policy_remote_outcome (policy, now, t, ATTEMPT_ANSWERED);
      const bool is_probe = d.reason == POLICY_REASON_TRICKLE;
      EXPECT_FALSE (i < 600 && is_probe && d.target >= 4) << i;
      if (i >= 900)
        probed.insert (d.target);
    }
  EXPECT_GE (probed.size (), 11u);
}

/* Repeatable requests may be attempted twice.  One in five attempts fails
   at the few targets that get all of them, while the others have been idle
   for seconds.  Second attempts fail too, so callers get no response
   although healthy targets are idle. */
TEST_F (service_policy_test, repeatable_requests_spread_while_a_fifth_fails)
{
  start (20, 3, 100, 70);
  for (uint32_t t = 0; t < 14; t++)
    service_policy_remote_outcome (policy, now, t, ATTEMPT_FAILED);
  std::vector<uint32_t> sent_to;
  for (int i = 0; i < 300; i++)
    {
      now += 20000;
      sent_to.push_back (admit (true).target);
      end_attempt (sent_to.back (),
                   i % 5 == 0 ? ATTEMPT_NOT_SENT : ATTEMPT_ANSWERED);
    }
  /* Within any two seconds, after an initial 1.5 s. */
  for (auto from = sent_to.begin () + 75; from + 100 <= sent_to.end (); from++)
    EXPECT_GE (std::set<uint32_t> (from, from + 100).size (), 14u)
        << from - sent_to.begin ();
}

}
