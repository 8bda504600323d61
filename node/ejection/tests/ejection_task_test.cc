#include <gtest/gtest.h>

#include "node/ejection/tests/ejection_fleet.h"

namespace
{
constexpr int long_ms = 20000;

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
order (operator_verb verb, const char *target, uint64_t version = 0)
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
    ASSERT_TRUE (f.until (long_ms, [&] { return f.owner () >= 0; }));
    f.run (3000); // the detector learns what is normal
  }
  result
  command (int host, const operator_command &c)
  {
    result r;
    ejection_task_command (f.hosts[host].task, &c, on_result, &r);
    EXPECT_FALSE (r.ended) << "not from the loop";
    EXPECT_TRUE (f.until (long_ms, [&] { return r.ended; }));
    return r;
  }
  bool
  gray (const std::string &target)
  {
    return f.until (long_ms, [&] { return f.all_out (target); }, { target });
  }
};

TEST_F (EjectionTask, TheFirstHostOfTheSetBecomesOwner)
{
  EXPECT_EQ (f.owner (), 0);
  EXPECT_EQ (f.platform.objects.size (), 1U);
}

TEST_F (EjectionTask, AGrayTargetGoesOutEverywhere)
{
  ASSERT_TRUE (gray ("t2"));
  EXPECT_TRUE (f.none_out ("t1"));
  EXPECT_EQ (f.most_out, 4);
}

// Callers would be turned away: the targets turn gray one after another and
// each ejection alone looks right, until too few are left.
TEST_F (EjectionTask, TheFloorStopsEjection)
{
  f.set_floor (20);
  ASSERT_TRUE (gray ("t2"));
  f.run (long_ms / 4, { "t2", "t3" });
  EXPECT_EQ (f.most_out, 4);
}

// A gray payment target would swallow work for hours: it turns gray while
// the platform is down, when nothing can be written.
TEST_F (EjectionTask, TheReserveCarriesThroughAnOutage)
{
  f.platform.down = true;
  ASSERT_TRUE (gray ("t4"));
  f.run (5000, { "t4" });
  EXPECT_EQ (f.owner (), 0);
  const int writes = f.platform.writes;
  f.platform.down = false;
  ASSERT_TRUE (f.until (long_ms, [&] { return f.platform.writes > writes; }));
}

// A gray target would come back for good: the owner's host is replaced, and
// the next owner doesn't know what was ejected.
TEST_F (EjectionTask, TheNextOwnerKeepsWhatIsEjected)
{
  ASSERT_TRUE (gray ("t2"));
  f.run (500, { "t2" });
  f.stop (0);
  ASSERT_TRUE (f.until (long_ms, [&] { return f.owner () == 1; }, { "t2" }));
  ASSERT_TRUE (f.until (long_ms, [&] { return f.all_out ("t2"); }));
  EXPECT_EQ (f.most_out, 4);
}

// Targets would go out twice over: the owner is frozen, another takes over
// and ejects, and the first wakes with its own decision still in hand.
TEST_F (EjectionTask, AFrozenOwnerFindsItselfReplaced)
{
  f.set_floor (16);
  ASSERT_TRUE (gray ("t2"));
  f.run (500, { "t2" });
  f.hosts[0].frozen = true;
  ASSERT_TRUE (f.until (long_ms, [&] { return f.owner () == 1; }, { "t2" }));
  f.run (2000, { "t2", "t3" });
  f.hosts[0].frozen = false;
  f.run (3000, { "t2", "t3" });
  EXPECT_EQ (f.owner (), 1);
  EXPECT_LE (f.most_out, 8);
  // It said that it stopped, so its reserve is known to be over.
  EXPECT_TRUE (floor_owner_claims (f.service (1)->owner)->settled);
}

// An ejection would be written twice, or taken for failed while it is in
// force: the answer to the write is lost after it took effect.
TEST_F (EjectionTask, AWriteWithoutAnswerIsReadBack)
{
  f.platform.lose_next_write_answer = true;
  const int writes = f.platform.writes;
  const result r = command (0, order (OPERATOR_EJECT, "t1"));
  EXPECT_EQ (r.code, STATUS_OK) << r.message;
  EXPECT_EQ (f.platform.writes, writes + 1);
  EXPECT_EQ (r.version, f.platform.objects[service_name].version);
}

// Gray targets would stay in service for a whole lease at each rolling
// replacement: the owner leaves and says nothing.
TEST_F (EjectionTask, ALeavingOwnerHandsOverAtOnce)
{
  ASSERT_TRUE (gray ("t2"));
  f.run (500, { "t2" });
  bus_message m = {};
  m.topic = BUS_SHUTDOWN;
  bus_post (f.hosts[0].messages, &m);
  ASSERT_TRUE (f.until (long_ms, [&] { return f.owner () > 0; }));
  const floor_owner *o = f.service (f.owner ())->owner;
  EXPECT_EQ (floor_owner_claims (o)->old_reserve, 0U);
  EXPECT_TRUE (f.all_out ("t2"));
}

TEST_F (EjectionTask, ACommandReachesTheOwnerThroughAnyHost)
{
  EXPECT_EQ (command (2, order (OPERATOR_EJECT, "t5")).code, STATUS_OK);
  ASSERT_TRUE (f.until (long_ms, [&] { return f.all_out ("t5"); }));
  EXPECT_EQ (command (1, order (OPERATOR_REINSTATE, "t5")).code, STATUS_OK);
  EXPECT_TRUE (f.until (long_ms, [&] { return f.none_out ("t5"); }));
  const result again = command (1, order (OPERATOR_REINSTATE, "t5"));
  EXPECT_EQ (again.code, STATUS_REFUSED);
  EXPECT_NE (again.message.find ("isn't ejected"), std::string::npos);
  EXPECT_EQ (command (1, order (OPERATOR_EJECT, "t9")).code, STATUS_REFUSED);
}

TEST_F (EjectionTask, AnOperatorCantBreachTheFloor)
{
  f.set_floor (20);
  EXPECT_EQ (command (0, order (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  const result r = command (2, order (OPERATOR_EJECT, "t1"));
  EXPECT_EQ (r.code, STATUS_REFUSED);
  EXPECT_NE (r.message.find ("floor"), std::string::npos) << r.message;
  f.run (1000);
  EXPECT_EQ (f.most_out, 4);
}

// Two operators would undo each other without knowing: both look, then both
// command at one moment.
TEST_F (EjectionTask, OfTwoCommandsOnOneVersionOneIsRefused)
{
  const uint64_t seen = f.platform.objects[service_name].version;
  result first, second;
  const operator_command a = order (OPERATOR_EJECT, "t0", seen);
  const operator_command b = order (OPERATOR_EJECT, "t1", seen);
  ejection_task_command (f.hosts[0].task, &a, on_result, &first);
  ejection_task_command (f.hosts[1].task, &b, on_result, &second);
  ASSERT_TRUE (f.until (long_ms, [&] { return first.ended && second.ended; }));
  EXPECT_EQ (first.code, STATUS_OK);
  EXPECT_EQ (second.code, STATUS_REFUSED);
  EXPECT_NE (second.changed.find ("version " + std::to_string (first.version)),
             std::string::npos)
      << second.changed;
}

// A caller that came to a host outside the set would be sent to a target that
// all others have given up.
TEST_F (EjectionTask, AHostOutsideTheSetFollowsWhileItServes)
{
  f.set_size = 2;
  for (int i = 0; i < host_count; i++)
    f.post_hosts (i);
  f.run (100);
  ASSERT_TRUE (gray ("t2"));
  const size_t polls = f.service (0)->poller_count;
  EXPECT_EQ (polls, 3U);
  // Without traffic it stops asking, and what it enforced lapses.
  const auto idle = [&] { return f.hosts[2].out.empty (); };
  bool lapsed = false;
  for (int i = 0; i < long_ms / step_ms && !lapsed; i++)
    {
      f.turn ();
      lapsed = idle ();
    }
  EXPECT_TRUE (lapsed);
  EXPECT_EQ (f.hosts[1].out.count ("t2"), 1U);
}

// Capacity promised to callers would be missing: the floor is raised while
// targets are out.
TEST_F (EjectionTask, ARaisedFloorBringsTargetsBack)
{
  EXPECT_EQ (command (0, order (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  EXPECT_EQ (command (0, order (OPERATOR_EJECT, "t1")).code, STATUS_OK);
  ASSERT_TRUE (f.until (long_ms, [&] { return f.all_out ("t1"); }));
  f.set_floor (24);
  EXPECT_TRUE (
      f.until (1000, [&] { return f.none_out ("t0") && f.none_out ("t1"); }));
}

// A host would keep a target out for ever: it can't hear its owner any more.
TEST_F (EjectionTask, WhatIsNotRefreshedLapses)
{
  EXPECT_EQ (command (0, order (OPERATOR_EJECT, "t0")).code, STATUS_OK);
  ASSERT_TRUE (f.until (long_ms, [&] { return f.all_out ("t0"); }));
  // Less than is counted, by as much as a host may notice its end late.
  EXPECT_EQ (f.most_told_ms,
             1000 - 2 * ejection_tick_interval_ms (f.hosts[2].task));
  f.cut[0][2] = true;
  EXPECT_TRUE (f.until (1000, [&] { return f.hosts[2].out.empty (); }));
  EXPECT_EQ (f.hosts[1].out.count ("t0"), 1U);
  // Host 2 is told by host 1 that the owner is heard, so it leaves it alone.
  f.run (1500);
  EXPECT_EQ (f.owner (), 0);
}

// A healthy target would stay out for good: nothing is sent to it, so nothing
// shows that it has recovered.
TEST_F (EjectionTask, ARecoveredTargetComesBackThroughATrial)
{
  ASSERT_TRUE (gray ("t2"));
  EXPECT_TRUE (f.until (10 * long_ms, [&] {
    const floor_claim *claim
        = floor_record_find (floor_owner_claims (f.service (0)->owner), "t2");
    return claim == nullptr || claim->state == FLOOR_CLAIM_RELEASING;
  }));
  EXPECT_TRUE (f.until (1000, [&] { return f.none_out ("t2"); }));
}

TEST_F (EjectionTask, ATargetStillGrayFailsItsTrial)
{
  ASSERT_TRUE (gray ("t2"));
  f.run (3 * long_ms, { "t2" });
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
                                           fleet::target_key ("t1"), &e));
  uint32_t seen = 0;
  for (size_t i = 0; i < e.dc_count; i++)
    seen += e.dcs[i].requests;
  return seen;
}

// A healthy target would go out on the word of one request counted twice:
// the network hands a report over again.
TEST_F (EjectionTask, AReportThatComesTwiceCountsOnce)
{
  const uint32_t once = requests_seen (f);
  f.duplicate = true;
  const uint32_t twice = requests_seen (f);
  EXPECT_LE (twice, once + 3 * 1000 / step_ms);
}

// A gray target would go unnoticed: what a host saw of it while its owner
// was cut off went to hosts that can't use it.
TEST_F (EjectionTask, EvidenceWaitsForTheOwner)
{
  f.cut[0][1] = f.cut[1][0] = true;
  f.run (450);
  for (int i = 0; i < 10; i++)
    f.turn ();
  detection_report_item items[target_count];
  EXPECT_EQ (
      detection_recorder_collect (f.hosts[1].recorder, items, target_count),
      (size_t)target_count);
}

// A target would be out for the whole time from a poll of the process that
// ran here before: that one's clock may have been ahead of this one's.
TEST_F (EjectionTask, AnAnswerToAnEarlierProcessEnforcesNothing)
{
  const char names[1][PEER_NAME_SIZE] = { "t3" };
  ejection_notice news = {};
  news.kind = EJECTION_DECISION;
  news.service = service_name;
  news.epoch = 1;
  news.sequence = 99;
  news.enforce_ms = 900;
  news.incarnation = f.hosts[2].task->options.incarnation + 1;
  news.poll_ms = fleet_now_ms;
  news.names = names;
  news.count = 1;
  ejection_send_notice (&f.hosts[0].transport, "host-2", &news);
  f.run (100);
  EXPECT_TRUE (f.none_out ("t3"));
}

// An operator would be told that a target is out when it isn't: another host
// answers for the owner.
TEST_F (EjectionTask, OnlyTheHostThatWasAskedEndsACommand)
{
  result r;
  const operator_command c = order (OPERATOR_EJECT, "t1");
  f.cut[2][0] = true;
  ejection_task_command (f.hosts[2].task, &c, on_result, &r);
  ejection_command_message forged = {};
  forged.kind = EJECTION_RESULT;
  forged.service = service_name;
  forged.target = "t1";
  forged.id = f.hosts[2].task->command_id;
  ejection_send_command_message (&f.hosts[1].transport, "host-2", &forged);
  f.run (100);
  EXPECT_FALSE (r.ended);
  ASSERT_TRUE (f.until (long_ms, [&] { return r.ended; }));
  EXPECT_EQ (r.code, STATUS_LOST_ANSWER);
}

TEST_F (EjectionTask, RowsTellWhatAnOperatorNeeds)
{
  ASSERT_TRUE (gray ("t2"));
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
