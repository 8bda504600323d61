#include <gtest/gtest.h>

#include "node/ejection/tests/ejection_fleet.h"

namespace
{
constexpr int timeout_ms = 20000;

struct result
{
  bool ended = false;
  status code = STATUS_OK;
  std::string message, changed;
  uint64_t version = 0;
};

void
on_result (void *owner, const operator_result *r)
{
  auto *to = static_cast<result *> (owner);
  EXPECT_FALSE (to->ended);
  *to = { true, r->status, r->message, r->changed ? r->changed : "",
          r->version };
}

operator_command
make_command (operator_verb verb, const char *target, uint64_t version = 0)
{
  operator_command c = {};
  c.verb = verb;
  snprintf (c.service, sizeof c.service, "%s", service_name);
  snprintf (c.target, sizeof c.target, "%s", target);
  c.version = version;
  return c;
}

struct EjectionTask : testing::Test
{
  fleet f;
  void
  SetUp () override
  {
    ASSERT_TRUE (f.run_until (timeout_ms, [&] { return f.owner () >= 0; }));
    f.run (3000); // the detector learns the baseline
  }
  result
  command (int host, const operator_command &c)
  {
    result r;
    ejection_task_command (f.hosts[host].task, &c, on_result, &r);
    EXPECT_FALSE (r.ended) << "ended outside the loop";
    EXPECT_TRUE (f.run_until (timeout_ms, [&] { return r.ended; }));
    return r;
  }
  bool
  fail_until_ejected (const std::string &target)
  {
    return f.run_until (
        timeout_ms, [&] { return f.ejected_everywhere (target); }, { target });
  }
};

TEST_F (EjectionTask, FirstHostOfTheSetBecomesOwner)
{
  EXPECT_EQ (f.owner (), 0);
  EXPECT_EQ (f.platform.objects.size (), 1U);
}

TEST_F (EjectionTask, FailingTargetIsEjectedEverywhere)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  EXPECT_TRUE (f.ejected_nowhere ("t1"));
  EXPECT_EQ (f.max_ejected_capacity, 4);
}

// Targets report their start times.  Hosts keep what they observe by process,
// so an owner that knows targets by name alone would ignore all of it, and one
// that ejects by name alone would eject the next process for its former one.
TEST_F (EjectionTask, EjectionIsOfAProcess)
{
  f.started_ms = 5000;
  f.set_floor (f.floor_capacity);
  f.run (3000);
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.started_ms = 9000;
  f.set_floor (f.floor_capacity);
  EXPECT_TRUE (f.run_until (3000, [&] { return f.ejected_nowhere ("t2"); }));
  ASSERT_TRUE (fail_until_ejected ("t2"));
}

// Targets start to fail one after another.  Each ejection alone is justified,
// but without the floor too little capacity would remain for the callers.
TEST_F (EjectionTask, FloorLimitsEjections)
{
  f.set_floor (20);
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.run (timeout_ms / 4, { "t2", "t3" });
  EXPECT_EQ (f.max_ejected_capacity, 4);
}

// A target starts to fail while the platform is unavailable, so the ejection
// can't be written to the record.  Without the reserve, requests would be sent
// to it until the platform is available again.
TEST_F (EjectionTask, ReserveAllowsEjectionsInAnOutage)
{
  f.platform.is_down = true;
  ASSERT_TRUE (fail_until_ejected ("t4"));
  f.run (5000, { "t4" });
  EXPECT_EQ (f.owner (), 0);
  const int writes = f.platform.writes;
  f.platform.is_down = false;
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.platform.writes > writes; }));
}

// The owner's host stops, and the next owner must take over the ejections from
// the record.  Otherwise the failing target would get requests again.
TEST_F (EjectionTask, NextOwnerKeepsEjections)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.run (500, { "t2" });
  f.stop (0);
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.owner () == 1; }, { "t2" }));
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.ejected_everywhere ("t2"); }));
  EXPECT_EQ (f.max_ejected_capacity, 4);
}

// The owner is suspended, and another host takes over and ejects targets. When
// the first one is resumed, it must not announce its old decision: both
// decisions together could breach the floor.
TEST_F (EjectionTask, SuspendedOwnerStopsWhenReplaced)
{
  f.set_floor (16);
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.run (500, { "t2" });
  f.hosts[0].suspended = true;
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.owner () == 1; }, { "t2" }));
  f.run (2000, { "t2", "t3" });
  f.hosts[0].suspended = false;
  f.run (3000, { "t2", "t3" });
  EXPECT_EQ (f.owner (), 1);
  EXPECT_LE (f.max_ejected_capacity, 8);
  // It announced that it stopped, so its reserve is settled.
  EXPECT_TRUE (floor_owner_claims (f.service (1)->owner)->settled);
}

// The answer to a write is lost after the write took effect.  The ejection
// must not be written twice, nor be reported as failed while it is in force.
TEST_F (EjectionTask, LostAnswerOfWriteIsReadBack)
{
  f.platform.lose_next_write_answer = true;
  const int writes = f.platform.writes;
  const result r = command (0, make_command (OPERATOR_EJECT, "t1"));
  EXPECT_EQ (r.code, STATUS_OK) << r.message;
  EXPECT_EQ (f.platform.writes, writes + 1);
  EXPECT_EQ (r.version, f.platform.objects[service_name].version);
}

// An owner that leaves must announce it.  Otherwise failing targets would stay
// in service for a lease at each rolling replacement of hosts.
TEST_F (EjectionTask, LeavingOwnerIsReplacedAtOnce)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.run (500, { "t2" });
  bus_message m = {};
  m.topic = BUS_SHUTDOWN;
  bus_post (f.hosts[0].messages, &m);
  ASSERT_TRUE (f.run_until (timeout_ms, [&] { return f.owner () > 0; }));
  const floor_owner *o = f.service (f.owner ())->owner;
  EXPECT_EQ (floor_owner_claims (o)->old_reserve, 0U);
  EXPECT_TRUE (f.ejected_everywhere ("t2"));
}

TEST_F (EjectionTask, CommandIsForwardedToTheOwner)
{
  EXPECT_EQ (command (2, make_command (OPERATOR_EJECT, "t5")).code, STATUS_OK);
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.ejected_everywhere ("t5"); }));
  EXPECT_EQ (command (1, make_command (OPERATOR_REINSTATE, "t5")).code,
             STATUS_OK);
  EXPECT_TRUE (
      f.run_until (timeout_ms, [&] { return f.ejected_nowhere ("t5"); }));
  const result again = command (1, make_command (OPERATOR_REINSTATE, "t5"));
  EXPECT_EQ (again.code, STATUS_REFUSED);
  EXPECT_NE (again.message.find ("isn't ejected"), std::string::npos);
  EXPECT_EQ (command (1, make_command (OPERATOR_EJECT, "t9")).code,
             STATUS_REFUSED);
}

TEST_F (EjectionTask, OperatorCantBreachTheFloor)
{
  f.set_floor (20);
  EXPECT_EQ (command (0, make_command (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  const result r = command (2, make_command (OPERATOR_EJECT, "t1"));
  EXPECT_EQ (r.code, STATUS_REFUSED);
  EXPECT_NE (r.message.find ("floor"), std::string::npos) << r.message;
  f.run (1000);
  EXPECT_EQ (f.max_ejected_capacity, 4);
}

// Two operators send commands at the same time, based on the same version.  If
// both were carried out, one would undo the other's without notice.
TEST_F (EjectionTask, OneOfTwoCommandsOnTheSameVersionIsRefused)
{
  const uint64_t seen = f.platform.objects[service_name].version;
  result first, second;
  const operator_command a = make_command (OPERATOR_EJECT, "t0", seen);
  const operator_command b = make_command (OPERATOR_EJECT, "t1", seen);
  ejection_task_command (f.hosts[0].task, &a, on_result, &first);
  ejection_task_command (f.hosts[1].task, &b, on_result, &second);
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return first.ended && second.ended; }));
  EXPECT_EQ (first.code, STATUS_OK);
  EXPECT_EQ (second.code, STATUS_REFUSED);
  EXPECT_NE (second.changed.find ("version " + std::to_string (first.version)),
             std::string::npos)
      << second.changed;
}

// A host outside the set that serves requests must enforce the ejections too.
// Otherwise its requests would go to targets that all other hosts have
// ejected.
TEST_F (EjectionTask, HostOutsideTheSetPollsWhileItServes)
{
  f.set_size = 2;
  for (int i = 0; i < host_count; i++)
    f.post_hosts (i);
  f.run (100);
  ASSERT_TRUE (fail_until_ejected ("t2"));
  const size_t polls = f.service (0)->poller_count;
  EXPECT_EQ (polls, 3U);
  // Without requests it stops polling, and its enforcement expires.
  const auto idle = [&] { return f.hosts[2].ejected.empty (); };
  bool expired = false;
  for (int i = 0; i < timeout_ms / step_ms && !expired; i++)
    {
      f.step ();
      expired = idle ();
    }
  EXPECT_TRUE (expired);
  EXPECT_EQ (f.hosts[1].ejected.count ("t2"), 1U);
}

// The floor is raised while targets are ejected.  They must be reinstated, or
// the healthy capacity would stay below the floor.
TEST_F (EjectionTask, RaisedFloorReinstatesTargets)
{
  EXPECT_EQ (command (0, make_command (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  EXPECT_EQ (command (0, make_command (OPERATOR_EJECT, "t1")).code, STATUS_OK);
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.ejected_everywhere ("t1"); }));
  f.set_floor (24);
  EXPECT_TRUE (f.run_until (1000, [&] {
    return f.ejected_nowhere ("t0") && f.ejected_nowhere ("t1");
  }));
}

// A host that no longer receives from the owner must not keep a target ejected
// for ever.
TEST_F (EjectionTask, EnforcementExpiresWithoutRefresh)
{
  EXPECT_EQ (command (0, make_command (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  ASSERT_TRUE (
      f.run_until (timeout_ms, [&] { return f.ejected_everywhere ("t0"); }));
  // Shorter than the time by which the floor is computed, by the maximum delay
  // until a host notices the end.
  EXPECT_EQ (f.max_enforce_ms,
             1000 - 2 * ejection_tick_interval_ms (f.hosts[2].task));
  f.link_down[0][2] = true;
  EXPECT_TRUE (
      f.run_until (1000, [&] { return f.hosts[2].ejected.empty (); }));
  EXPECT_EQ (f.hosts[1].ejected.count ("t0"), 1U);
  // Host 1 redirects host 2 to the owner, so host 2 doesn't replace it.
  f.run (1500);
  EXPECT_EQ (f.owner (), 0);
}

// No requests are sent to an ejected target, so without trials nothing would
// show that it has recovered, and it would stay ejected for ever.
TEST_F (EjectionTask, RecoveredTargetIsReinstatedAfterATrial)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  EXPECT_TRUE (f.run_until (10 * timeout_ms, [&] {
    const floor_claim *claim
        = floor_record_find (floor_owner_claims (f.service (0)->owner), "t2");
    return claim == nullptr || claim->state == FLOOR_CLAIM_RELEASING;
  }));
  EXPECT_TRUE (f.run_until (1000, [&] { return f.ejected_nowhere ("t2"); }));
}

TEST_F (EjectionTask, FailingTargetFailsItsTrial)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  f.run (3 * timeout_ms, { "t2" });
  const floor_claim *claim
      = floor_record_find (floor_owner_claims (f.service (0)->owner), "t2");
  ASSERT_NE (claim, nullptr);
  EXPECT_EQ (claim->state, FLOOR_CLAIM_EJECTED);
}

uint32_t
requests_seen (fleet &f)
{
  detection_explanation e;
  f.run (1000);
  EXPECT_TRUE (detection_detector_explain (f.service (0)->detector,
                                           fleet_now_ms * 1000,
                                           f.target_keys.at ("t1"), &e));
  uint32_t seen = 0;
  for (size_t i = 0; i < e.dc_count; i++)
    seen += e.dcs[i].requests;
  return seen;
}

// The network duplicates a report.  If its outcomes were counted twice, a
// healthy target could be ejected.
TEST_F (EjectionTask, DuplicateReportCountsOnce)
{
  const uint32_t once = requests_seen (f);
  f.duplicate = true;
  const uint32_t twice = requests_seen (f);
  EXPECT_LE (twice, once + 3 * 1000 / step_ms);
}

// While the owner is unreachable, outcomes must be kept for it.  If they were
// sent to hosts that aren't the owner, they would be lost, and a failing
// target would go unnoticed.
TEST_F (EjectionTask, OutcomesAreKeptWhileTheOwnerIsUnreachable)
{
  f.link_down[0][1] = f.link_down[1][0] = true;
  f.run (450);
  for (int i = 0; i < 10; i++)
    f.step ();
  detection_report_item items[target_count];
  EXPECT_EQ (
      detection_recorder_collect (f.hosts[1].recorder, items, target_count),
      (size_t)target_count);
}

// A decision answers a poll of this host's previous process.  The poll's time
// may be ahead of the new process's clock, so the decision could be enforced
// for too long.
TEST_F (EjectionTask, AnswerToThePreviousProcessIsNotEnforced)
{
  const char names[1][PEER_NAME_SIZE] = { "t3" };
  ejection_notice notice = {};
  notice.kind = EJECTION_DECISION;
  notice.service = service_name;
  notice.epoch = 1;
  notice.sequence = 99;
  notice.enforce_ms = 900;
  notice.incarnation = f.hosts[2].task->options.incarnation + 1;
  notice.poll_ms = fleet_now_ms;
  notice.names = names;
  notice.count = 1;
  ejection_send_notice (&f.hosts[0].transport, "host-2", &notice);
  f.run (100);
  EXPECT_TRUE (f.ejected_nowhere ("t3"));
}

// A result comes from a host to which the command wasn't forwarded.  If it
// were accepted, the operator could get a wrong result.
TEST_F (EjectionTask, OnlyTheHostForwardedToEndsACommand)
{
  result r;
  const operator_command c = make_command (OPERATOR_EJECT, "t1");
  f.link_down[2][0] = true;
  ejection_task_command (f.hosts[2].task, &c, on_result, &r);
  ejection_command_message forged = {};
  forged.kind = EJECTION_RESULT;
  forged.service = service_name;
  forged.target = "t1";
  forged.id = f.hosts[2].task->command_id;
  ejection_send_command_message (&f.hosts[1].transport, "host-2", &forged);
  f.run (100);
  EXPECT_FALSE (r.ended);
  ASSERT_TRUE (f.run_until (timeout_ms, [&] { return r.ended; }));
  EXPECT_EQ (r.code, STATUS_LOST_ANSWER);
}

TEST_F (EjectionTask, RowsHaveTheFieldsForOperators)
{
  ASSERT_TRUE (fail_until_ejected ("t2"));
  for (int i = 0; i < 2; i++)
    {
      json_object *rows = ejection_rows (f.hosts[i].task);
      ASSERT_EQ (json_object_array_length (rows), 1U);
      json_object *row = json_object_array_get_idx (rows, 0);
      json_object *value;
      ASSERT_TRUE (json_object_object_get_ex (row, "target", &value));
      EXPECT_STREQ (json_object_get_string (value), "t2");
      ASSERT_TRUE (json_object_object_get_ex (row, "owner", &value));
      EXPECT_STREQ (json_object_get_string (value), "host-0");
      for (const char *key : { "why", "score", "threshold", "evidence",
                               "reserve", "epoch", "since_ms" })
        EXPECT_EQ (json_object_object_get_ex (row, key, nullptr),
                   i == 0 || strcmp (key, "epoch") == 0)
            << key;
      json_object_put (rows);
    }
}
}
