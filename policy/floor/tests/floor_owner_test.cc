// One or more owners with a platform of one record, step by step.
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "policy/floor/floor_owner.h"
}

namespace
{
constexpr uint32_t enforce_ms = 1000;
constexpr uint32_t authority_ms = 10000;

// Maximum duration on a clock that differs by a percent.
constexpr int64_t
max_duration (int64_t ms)
{
  return ms + ms / 100;
}

struct platform_record
{
  uint64_t version = 0;
  floor_record record = {};
  ~platform_record ()
  {
    floor_record_clear (&record);
  }
};

struct node
{
  floor_owner *owner;
  platform_record *at;
  explicit node (const char *name, platform_record *p) : at (p)
  {
    const floor_owner_options options
        = { name, 7, 11, enforce_ms, authority_ms, 10, 100 };
    owner = floor_owner_create (&options);
  }
  ~node ()
  {
    floor_owner_destroy (owner);
  }
  void
  spec (int64_t now, uint64_t version, uint32_t floor_capacity,
        std::vector<uint32_t> capacities)
  {
    std::vector<floor_target> targets (capacities.size ());
    for (size_t i = 0; i < targets.size (); i++)
      {
        snprintf (targets[i].name, FLOOR_NAME_SIZE, "t%zu", i);
        targets[i].capacity = capacities[i];
        targets[i].active = true;
      }
    const floor_spec s = { version,         floor_capacity,  false,
                           targets.data (), targets.size (), false };
    floor_owner_set_spec (owner, now, &s);
  }
  // Makes one call, if any is due; it ends with STATUS, and a write of unknown
  // outcome has taken effect if EFFECT.
  floor_call
  call (int64_t now, floor_reply_status status = FLOOR_REPLY_OK,
        bool effect = true)
  {
    const floor_request r = floor_owner_next_request (owner, now);
    floor_reply reply = { status, 0, nullptr };
    if (r.call == FLOOR_CALL_NONE)
      return r.call;
    if (r.call == FLOOR_CALL_WRITE && status != FLOOR_REPLY_UNREACHABLE
        && effect)
      write (r, &reply);
    if (r.call == FLOOR_CALL_READ && at->version == 0)
      reply.status = FLOOR_REPLY_NOT_FOUND;
    reply.version = at->version;
    reply.record = &at->record;
    floor_owner_handle_reply (owner, now, &reply);
    return r.call;
  }
  void
  write (const floor_request &r, floor_reply *reply)
  {
    if (r.expected_version != at->version)
      {
        reply->status = FLOOR_REPLY_CONFLICT;
        return;
      }
    at->version++;
    floor_record_assign (&at->record, r.record);
  }
  void
  settle (int64_t now)
  {
    for (int i = 0; i < 9 && call (now) != FLOOR_CALL_NONE; i++)
      ;
  }
  void
  own (int64_t now)
  {
    floor_owner_epoch_seen (owner, now, at->record.epoch);
    settle (now);
    floor_owner_set_candidate (owner, now, true, UINT64_MAX);
    settle (now);
    ASSERT_EQ (floor_owner_role (owner), FLOOR_ROLE_OWNER);
  }
  floor_eject_result
  eject (int64_t now, const char *target, uint32_t score = 5,
         bool manual = false)
  {
    return floor_owner_eject (owner, now, target, score, manual);
  }
  std::string
  ejected (int64_t now)
  {
    floor_decision d;
    if (!floor_owner_decision (owner, now, &d))
      return "no decision";
    std::string names;
    for (size_t i = 0; i < d.count; i++)
      names += d.targets[i] + std::string (" ");
    return names;
  }
};

struct FloorOwner : testing::Test
{
  platform_record at;
  node a{ "a", &at }, b{ "b", &at };
  // Capacity 12; with a floor of 6 the reserve is 3: one target.
  void
  SetUp () override
  {
    a.spec (0, 1, 6, { 3, 3, 3, 3 });
    b.spec (0, 1, 6, { 3, 3, 3, 3 });
    a.own (0);
  }
};

TEST_F (FloorOwner, EjectsFromReserveThenByRecordUpToTheFloor)
{
  EXPECT_EQ (floor_owner_reserve_left (a.owner), 3U);
  EXPECT_EQ (a.eject (1, "t0"), FLOOR_EJECT_EJECTED);
  EXPECT_EQ (a.eject (1, "t1"), FLOOR_EJECT_PLANNED);
  EXPECT_EQ (a.eject (1, "t1"), FLOOR_EJECT_ALREADY);
  EXPECT_EQ (a.eject (1, "t2", 50), FLOOR_EJECT_BELOW_FLOOR);
  EXPECT_EQ (a.eject (1, "t9"), FLOOR_EJECT_NO_SUCH_TARGET);
  EXPECT_EQ (b.eject (1, "t2"), FLOOR_EJECT_NOT_OWNER);
  EXPECT_EQ (a.ejected (1), "t0 ");
  a.settle (2);
  EXPECT_EQ (a.ejected (2), "t0 t1 ");
}

TEST_F (FloorOwner, WhilePausedOnlyOperatorsEject)
{
  EXPECT_TRUE (floor_owner_pause (a.owner, 1, true));
  EXPECT_FALSE (floor_owner_pause (a.owner, 1, true));
  EXPECT_EQ (a.eject (1, "t0"), FLOOR_EJECT_PAUSED);
  EXPECT_EQ (a.eject (1, "t0", 0, true), FLOOR_EJECT_EJECTED);
  a.settle (2);
  EXPECT_TRUE (at.record.paused);
  EXPECT_FALSE (floor_owner_reinstate (a.owner, 3, "t0", false));
  EXPECT_TRUE (floor_owner_reinstate (a.owner, 3, "t0", true));
}

TEST_F (FloorOwner, RaisedFloorKeepsTheHighestScoreEjected)
{
  a.eject (1, "t0", 5);
  a.settle (1);
  a.eject (2, "t1", 9);
  a.settle (2);
  a.spec (3, 2, 9, { 3, 3, 3, 3 });
  EXPECT_EQ (a.ejected (3), "t1 ");
  EXPECT_EQ (a.eject (4, "t0", 50), FLOOR_EJECT_BELOW_FLOOR);
  EXPECT_EQ (a.ejected (4), "t1 ");
}

// A host that missed a reinstatement still enforces the ejection, on a clock a
// little slower than the owner's.  If the capacity were granted at once, two
// targets would be ejected where one is allowed.
TEST_F (FloorOwner, FreedCapacityWaitsForTheSlowestClock)
{
  a.spec (0, 2, 9, { 3, 3, 3, 3 });
  a.settle (1);
  EXPECT_EQ (a.eject (100, "t0"), FLOOR_EJECT_EJECTED);
  a.settle (100);
  floor_owner_reinstate (a.owner, 200, "t0", false);
  EXPECT_EQ (a.ejected (200), "");
  EXPECT_EQ (a.eject (200 + max_duration (enforce_ms) - 1, "t1"),
             FLOOR_EJECT_BELOW_FLOOR);
  EXPECT_EQ (a.eject (200 + max_duration (enforce_ms) + 10, "t1"),
             FLOOR_EJECT_PLANNED);
}

// An owner that can't reach the platform uses its reserve on hosts that only
// it reaches.  If the new owner didn't count that reserve, both together would
// breach the floor.
TEST_F (FloorOwner, OldReserveCountsUntilItExpires)
{
  EXPECT_EQ (a.eject (50, "t0"), FLOOR_EJECT_EJECTED);
  b.own (100);
  EXPECT_EQ (floor_owner_claims (b.owner)->old_reserve, 3U);
  EXPECT_EQ (b.eject (100, "t1"), FLOOR_EJECT_EJECTED);
  b.settle (100);
  EXPECT_EQ (b.eject (101, "t2"), FLOOR_EJECT_BELOW_FLOOR);
  const int64_t expiry_ms = 100 + max_duration (authority_ms + enforce_ms);
  EXPECT_EQ (b.eject (expiry_ms - 1, "t2"), FLOOR_EJECT_BELOW_FLOOR);
  EXPECT_EQ (b.eject (expiry_ms + 10, "t2"), FLOOR_EJECT_PLANNED);
  EXPECT_EQ (a.ejected (authority_ms), "no decision");
}

// Three targets are ejected by the record when the floor is raised to allow
// one.  The first owner, which can't reach the platform, changes its choice
// among them; the next one keeps the one with the highest score.  Both
// together would breach the floor.
TEST_F (FloorOwner, RecordAboveTheFloorLeavesTheChoiceToOneOwner)
{
  const int64_t later = 100 + max_duration (enforce_ms) + 10;
  a.spec (1, 2, 3, { 3, 3, 3, 3 });
  a.settle (1);
  for (const char *t : { "t0", "t1", "t2" })
    {
      a.eject (2, t, 9);
      a.settle (2);
    }
  ASSERT_EQ (a.ejected (2), "t0 t1 t2 ");
  a.spec (100, 3, 9, { 3, 3, 3, 3 });
  b.spec (100, 3, 9, { 3, 3, 3, 3 });
  for (const char *t : { "t0", "t1", "t2" })
    floor_owner_reinstate (a.owner, 100, t, false);
  ASSERT_EQ (a.eject (later, "t1"), FLOOR_EJECT_EJECTED);
  b.own (later);
  EXPECT_EQ (a.ejected (later), "t1 ");
  EXPECT_EQ (b.ejected (later), "");
}

TEST_F (FloorOwner, StoppedOwnerSettlesEarly)
{
  b.own (100);
  floor_owner_predecessor_stopped (b.owner, 200, 1);
  EXPECT_FALSE (floor_owner_claims (b.owner)->settled);
  floor_owner_tick (b.owner, 200 + max_duration (enforce_ms) + 10);
  EXPECT_TRUE (floor_owner_claims (b.owner)->settled);
  EXPECT_EQ (floor_owner_slack (b.owner), 6U);
}

// A notice that an earlier owner stopped arrives late and is taken for that of
// the last one, so that its claims are dropped too early and the floor is
// breached.
TEST_F (FloorOwner, NoticeOfAnEarlierOwnerSettlesNothing)
{
  b.own (100);
  a.own (200);
  floor_owner_predecessor_stopped (a.owner, 300, 1);
  floor_owner_predecessor_stopped (a.owner, 300, 2);
  floor_owner_tick (a.owner, 300 + 2 * enforce_ms);
  EXPECT_FALSE (floor_owner_claims (a.owner)->settled);
  node c{ "c", &at };
  c.spec (300, 1, 6, { 3, 3, 3, 3 });
  floor_owner_tick (a.owner, 30000);
  a.settle (30000);
  ASSERT_TRUE (at.record.settled);
  c.own (30000);
  floor_owner_predecessor_stopped (c.owner, 30000, 1);
  floor_owner_tick (c.owner, 30000 + 2 * enforce_ms);
  EXPECT_FALSE (floor_owner_claims (c.owner)->settled);
}

TEST_F (FloorOwner, ReleasedServiceSettlesAfterOneEnforcement)
{
  a.eject (1, "t0");
  floor_owner_release (a.owner, 100);
  EXPECT_EQ (a.ejected (100), "no decision");
  a.settle (100);
  EXPECT_STREQ (at.record.owner, "");
  b.own (200);
  EXPECT_EQ (floor_owner_claims (b.owner)->old_reserve, 0U);
  EXPECT_EQ (b.ejected (200), "t0 ");
  floor_owner_tick (b.owner, 200 + max_duration (enforce_ms) + 10);
  EXPECT_TRUE (floor_owner_claims (b.owner)->settled);
}

// The last owner releases the service while the one before it may still eject
// targets.  If the release ended that waiting time, the floor would be
// breached.
TEST_F (FloorOwner, ReleaseKeepsTheUnsettledReserve)
{
  b.own (100);
  floor_owner_release (b.owner, 200);
  b.settle (200);
  a.own (300);
  EXPECT_EQ (floor_owner_claims (a.owner)->old_reserve, 3U);
  floor_owner_tick (a.owner, 300 + 3 * enforce_ms);
  EXPECT_FALSE (floor_owner_claims (a.owner)->settled);
}

// The write that would allow an ejection was lost before it took effect, and
// an earlier one took effect late.  A target ejected by it would be in no
// record.
TEST_F (FloorOwner, OnlyWhatEveryPossibleRecordAllowsIsEjected)
{
  a.eject (1, "t0");
  ASSERT_EQ (a.call (1, FLOOR_REPLY_UNKNOWN, false), FLOOR_CALL_WRITE);
  EXPECT_EQ (a.eject (2, "t1"), FLOOR_EJECT_PLANNED);
  EXPECT_EQ (a.ejected (2), "t0 ");
  EXPECT_EQ (a.call (300), FLOOR_CALL_READ);
  EXPECT_EQ (a.ejected (300), "t0 ");
  a.settle (301);
  EXPECT_EQ (a.ejected (301), "t0 t1 ");
}

// As before, with more writes of unknown outcome than are kept separately.
TEST_F (FloorOwner, ManyUnknownWritesAllowOnlyTheirMinimum)
{
  for (uint64_t i = 0; i < 9; i++)
    {
      const int64_t now = 1000 + (int64_t)i * 1000;
      a.spec (now, 2 + i, i == 0 ? 12 : 2 + (uint32_t)i % 2, { 3, 3, 3, 3 });
      if (i > 0)
        {
          ASSERT_EQ (a.call (now), FLOOR_CALL_READ);
        }
      ASSERT_EQ (a.call (now, FLOOR_REPLY_UNKNOWN, false), FLOOR_CALL_WRITE);
    }
  EXPECT_EQ (a.eject (12000, "t0"), FLOOR_EJECT_PLANNED);
  EXPECT_EQ (floor_owner_reserve_left (a.owner), 0U);
}

TEST_F (FloorOwner, UnknownTakeoverIsReadBack)
{
  floor_owner_set_candidate (b.owner, 100, true, UINT64_MAX);
  EXPECT_EQ (b.call (100), FLOOR_CALL_READ);
  EXPECT_EQ (b.call (100, FLOOR_REPLY_UNKNOWN), FLOOR_CALL_WRITE);
  EXPECT_EQ (floor_owner_role (b.owner), FLOOR_ROLE_ACQUIRING);
  const uint64_t version = at.version;
  EXPECT_EQ (b.call (200), FLOOR_CALL_READ);
  EXPECT_EQ (floor_owner_role (b.owner), FLOOR_ROLE_OWNER);
  EXPECT_EQ (at.version, version);
}

TEST_F (FloorOwner, UnknownWriteIsRepeatedWithItsId)
{
  a.eject (1, "t0");
  const floor_request first = floor_owner_next_request (a.owner, 1);
  const uint64_t id = first.record->write_id;
  const floor_reply lost = { FLOOR_REPLY_UNKNOWN, 0, nullptr };
  floor_owner_handle_reply (a.owner, 1, &lost);
  EXPECT_EQ (a.call (200), FLOOR_CALL_READ);
  EXPECT_EQ (floor_owner_next_request (a.owner, 200).record->write_id, id);
}

TEST_F (FloorOwner, LosingCandidateWaitsForTheOwner)
{
  node c{ "c", &at };
  c.spec (0, 1, 6, { 3, 3, 3, 3 });
  floor_owner_set_candidate (b.owner, 100, true, 1);
  floor_owner_set_candidate (c.owner, 100, true, 1);
  EXPECT_EQ (b.call (100), FLOOR_CALL_READ);
  EXPECT_EQ (c.call (100), FLOOR_CALL_READ);
  b.settle (100);
  c.settle (100);
  EXPECT_EQ (floor_owner_role (b.owner), FLOOR_ROLE_OWNER);
  EXPECT_EQ (floor_owner_role (c.owner), FLOOR_ROLE_NONE);
  EXPECT_EQ (floor_owner_epoch (c.owner), 2U);
}

TEST_F (FloorOwner, ReplacedOwnerStopsAndAnnouncesIt)
{
  b.own (100);
  floor_owner_epoch_seen (a.owner, 150, 2);
  a.settle (150);
  EXPECT_EQ (a.ejected (150), "no decision");
  EXPECT_EQ (floor_owner_take_stopped_epoch (a.owner), 1U);
  EXPECT_EQ (floor_owner_take_stopped_epoch (a.owner), 0U);
}

// The new owner's settings are older than those by which the record was
// written, so it would ignore a raised floor.
TEST_F (FloorOwner, OlderSettingsThanTheRecordEjectNothing)
{
  a.spec (10, 5, 9, { 3, 3, 3, 3 });
  a.settle (10);
  ASSERT_EQ (at.record.spec_version, 5U);
  b.own (100);
  EXPECT_EQ (at.record.reserve, 0U);
  EXPECT_EQ (b.eject (100, "t0"), FLOOR_EJECT_SETTINGS_BEHIND);
  b.spec (101, 5, 9, { 3, 3, 3, 3 });
  EXPECT_NE (b.eject (101, "t0"), FLOOR_EJECT_SETTINGS_BEHIND);
}

// The record was deleted.  With a first epoch hosts would ignore every
// decision, and earlier ejections would not be counted.
TEST_F (FloorOwner, DeletedRecordCountsAllCapacityAsEjected)
{
  at.version = 0;
  floor_owner_epoch_seen (b.owner, 100, 1);
  b.own (100);
  EXPECT_EQ (at.record.epoch, 2U);
  EXPECT_EQ (b.eject (100, "t0"), FLOOR_EJECT_BELOW_FLOOR);
  b.settle (30000);
  EXPECT_EQ (b.eject (30001, "t0"), FLOOR_EJECT_EJECTED);
}

// Guards against more ejections than the floor allows after the platform was
// restored and lost the record of an owner that dies.
TEST_F (FloorOwner, RestoredRecordCountsAllCapacityAsEjected)
{
  platform_record copy;
  copy.version = at.version;
  floor_record_assign (&copy.record, &at.record);
  EXPECT_EQ (a.eject (1, "t0"), FLOOR_EJECT_EJECTED);
  EXPECT_EQ (a.eject (1, "t1"), FLOOR_EJECT_PLANNED);
  a.settle (2);
  ASSERT_EQ (a.ejected (2), "t0 t1 ");
  at.version += 100;
  floor_record_assign (&at.record, &copy.record);
  floor_owner_note_restored (b.owner, 100);
  b.own (100);
  EXPECT_EQ (b.eject (100, "t2"), FLOOR_EJECT_BELOW_FLOOR);
  b.settle (30000);
  EXPECT_EQ (b.eject (30001, "t2"), FLOOR_EJECT_EJECTED);
}

// Guards against an owner that loses its claims because the platform was
// restored.
TEST_F (FloorOwner, OwnerWritesClaimsThatARestoreLostAgain)
{
  platform_record copy;
  copy.version = at.version;
  floor_record_assign (&copy.record, &at.record);
  a.eject (1, "t0");
  a.eject (1, "t1");
  a.settle (2);
  at.version += 100;
  floor_record_assign (&at.record, &copy.record);
  floor_owner_note_restored (a.owner, 100);
  a.settle (100);
  EXPECT_EQ (a.ejected (100), "t0 ") << "what the lost record doesn't cover";
  EXPECT_NE (floor_record_find (&at.record, "t0"), nullptr);
  a.eject (101, "t1");
  a.settle (5000);
  EXPECT_EQ (a.ejected (5000), "t0 t1 ");
  EXPECT_EQ (at.record.claim_count, 2U);
}

// A target whose capacity grew while it was ejected from the reserve would be
// counted with too little capacity by the next owner.
TEST_F (FloorOwner, TargetNotCoveredByTheReserveIsReinstated)
{
  EXPECT_EQ (a.eject (1, "t0"), FLOOR_EJECT_EJECTED);
  a.spec (2, 2, 2, { 9, 3, 3, 3 });
  EXPECT_EQ (a.ejected (2), "");
}

TEST_F (FloorOwner, RemovedTargetIsReleased)
{
  a.eject (1, "t3");
  a.settle (1);
  a.spec (2, 2, 3, { 3, 3, 3 });
  EXPECT_EQ (a.ejected (2), "");
  a.settle (5000);
  EXPECT_EQ (at.record.claim_count, 0U);
}
}
