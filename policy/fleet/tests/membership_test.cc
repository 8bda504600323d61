#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/fleet/membership.h"
}

namespace
{
constexpr int64_t suspect_ms = 500;
constexpr int64_t dead_ms = 1500;
constexpr uint64_t self = 1000;

membership *
make_membership ()
{
  const membership_options options
      = { self, 1, (uint32_t)suspect_ms, (uint32_t)dead_ms };
  return membership_create (&options);
}

enum class event_kind
{
  answered,
  heard,
  vouched,
  tick
};

struct event
{
  int64_t at_ms;
  event_kind kind;
  member_state seen;   /* of a tick */
  member_state judged; /* of a tick */
  bool told_one_way;   /* of a tick */
};

/* All that happened to one host, recounted from the start for each answer. */
class naive_member
{
public:
  void
  add (int64_t at_ms, event_kind kind)
  {
    log.push_back ({ at_ms, kind, MEMBER_LIVE, MEMBER_LIVE, false });
  }

  void
  tick (int64_t now)
  {
    event e = { now, event_kind::tick, seen (now), MEMBER_LIVE, false };
    e.judged = judged (e.seen);
    const int64_t reached
        = std::max (last (event_kind::answered), last (event_kind::vouched));
    e.told_one_way = e.judged == MEMBER_ONE_WAY && said () != MEMBER_DEAD
                     && now - reached >= dead_ms;
    log.push_back (e);
  }

  member_state
  state () const
  {
    return log.back ().judged;
  }

  bool
  usable (int64_t now) const
  {
    if (state () == MEMBER_LIVE)
      return true;
    return state () != MEMBER_DEAD && said () == MEMBER_LIVE
           && last (event_kind::vouched) > 0
           && now - last (event_kind::vouched) < dead_ms;
  }

private:
  int64_t
  last (event_kind kind) const
  {
    int64_t at = 0; /* watched since 0, which counts as an answer */
    for (const auto &e : log)
      if (e.kind == kind)
        at = e.at_ms;
    return at;
  }

  bool
  has (event_kind kind) const
  {
    for (const auto &e : log)
      if (e.kind == kind)
        return true;
    return false;
  }

  member_state
  seen (int64_t now) const
  {
    const int64_t answer = last (event_kind::answered);
    int64_t heard = answer;
    if (has (event_kind::heard))
      heard = std::max (heard, last (event_kind::heard));
    if (now - answer < suspect_ms)
      return MEMBER_LIVE;
    if (now - heard < suspect_ms)
      return MEMBER_ONE_WAY;
    const int64_t sign = std::max (heard, last (event_kind::vouched));
    return now - sign < dead_ms ? MEMBER_SUSPECT : MEMBER_DEAD;
  }

  /* The newest that the others were told. */
  member_state
  said () const
  {
    member_state newest = MEMBER_LIVE;
    for (const auto &e : log)
      if (e.kind == event_kind::tick)
        {
          if (e.judged == MEMBER_LIVE || e.judged == MEMBER_DEAD)
            newest = e.judged;
          else if (e.told_one_way)
            newest = MEMBER_ONE_WAY;
        }
    return newest;
  }

  /* What was told holds until an answer comes after the telling. */
  member_state
  judged (member_state state) const
  {
    member_state told = MEMBER_LIVE;
    for (const auto &e : log)
      if (e.kind == event_kind::answered)
        told = MEMBER_LIVE;
      else if (e.kind == event_kind::tick && e.judged == MEMBER_DEAD)
        told = MEMBER_DEAD;
      else if (e.kind == event_kind::tick && e.told_one_way)
        told = std::max (told, MEMBER_ONE_WAY);
    return std::max (state, told);
  }

  std::vector<event> log;
};

/* One host's fate in an episode: how likely each sign of life is. */
struct fate
{
  double answer;
  double heard;
  double vouched;
};

fate
draw_fate (rng *random)
{
  static const fate fates[] = {
    { 0.9, 0.9, 0.1 },  /* well, some loss */
    { 0.0, 0.9, 0.5 },  /* one-way cut, others reach it */
    { 0.0, 0.9, 0.0 },  /* hears nobody */
    { 0.0, 0.0, 0.5 },  /* cut off from here only */
    { 0.0, 0.0, 0.0 },  /* dead */
    { 0.2, 0.2, 0.05 }, /* heavy loss */
  };
  return fates[rng_below (random, sizeof fates / sizeof fates[0])];
}
}

/* 150,000 and more events of six hosts whose fate changes at random. */
TEST (Membership, AgreesWithRecountingAllThatHappened)
{
  rng random;
  rng_seed (&random, 31);
  size_t events = 0;
  size_t states[5] = {};
  for (int episode = 0; episode < 400; episode++)
    {
      membership *m = make_membership ();
      const uint64_t keys[] = { 1, 2, 3, 4, 5, 6 };
      naive_member naive[6];
      fate fates[6];
      for (auto &f : fates)
        f = draw_fate (&random);
      for (uint64_t key : keys)
        membership_add (m, 0, key, 1, false);
      membership_monitor (m, 0, keys, 6);
      int64_t now = 0;
      for (int step = 0; step < 80; step++)
        {
          for (int h = 0; h < 6; h++)
            {
              if (rng_unit (&random) < 0.05)
                fates[h] = draw_fate (&random);
              now += 1 + rng_below (&random, 20);
              if (rng_unit (&random) < fates[h].heard)
                {
                  membership_note_heartbeat (m, now, keys[h], 1, false, true);
                  naive[h].add (now, event_kind::heard);
                  events++;
                }
              now++;
              if (rng_unit (&random) < fates[h].answer)
                {
                  membership_note_answer (m, now, keys[h], 1);
                  naive[h].add (now, event_kind::answered);
                  events++;
                }
              now++;
              if (rng_unit (&random) < fates[h].vouched)
                {
                  membership_note_indirect_answer (m, now, keys[h]);
                  naive[h].add (now, event_kind::vouched);
                  events++;
                }
            }
          now++;
          membership_tick (m, now);
          for (int h = 0; h < 6; h++)
            {
              naive[h].tick (now);
              const member_state state = membership_state (m, keys[h]);
              ASSERT_EQ (state, naive[h].state ()) << episode << " " << step;
              ASSERT_EQ (membership_is_usable (m, keys[h]),
                         naive[h].usable (now))
                  << episode << " " << step;
              states[state]++;
              events++;
            }
        }
      membership_destroy (m);
    }
  EXPECT_GT (events, 150000u);
  for (int state = MEMBER_LIVE; state <= MEMBER_DEAD; state++)
    EXPECT_GT (states[state], 1000u) << state;
}

/* A host shuts down politely while a watcher still gets its answers.  Were
   it believed live again, callers would be sent to a port that closes. */
TEST (Membership, LeavingIsFinalForItsIncarnation)
{
  membership *m = make_membership ();
  membership_add (m, 0, 7, 1, false);
  membership_note_heartbeat (m, 10, 7, 1, true, true);
  const member_update live = { 7, 1, 40, MEMBER_LIVE };
  membership_merge (m, 20, &live);
  membership_note_answer (m, 30, 7, 1);
  membership_tick (m, 40);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LEAVING);
  membership_add (m, 50, 7, 2, false);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  membership_add (m, 60, 8, 1, true);
  const member_update unwatched = { 8, 1, 40, MEMBER_LIVE };
  membership_merge (m, 70, &unwatched);
  EXPECT_EQ (membership_state (m, 8), MEMBER_LEAVING);
  membership_destroy (m);
}

/* A host is frozen for ten seconds and thaws.  It has heard nobody meanwhile,
   but it is its own fault: told to the others, it would take its live
   neighbours from callers. */
TEST (Membership, AThawedHostCondemnsNobody)
{
  membership *m = make_membership ();
  membership_note_heartbeat (m, 1, 7, 1, false, true);
  membership_note_answer (m, 50, 7, 1);
  membership_tick (m, 100);
  membership_tick (m, 10100);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  for (int64_t now = 10200; now < 12100; now += 100)
    membership_tick (m, now);
  EXPECT_EQ (membership_state (m, 7), MEMBER_DEAD);
  membership_destroy (m);
}

/* A host is frozen right after it started, before it sent anything.  It turns
   suspect, is therefore no neighbour to choose any more, and would be watched
   by nobody: its state would never be decided. */
TEST (Membership, AHostInDoubtIsWatchedUntilItIsDecided)
{
  membership *m = make_membership ();
  const uint64_t other = 7;
  membership_add (m, 0, other, 1, false);
  membership_monitor (m, 0, &other, 1);
  for (int64_t now = 0; now <= 2 * dead_ms; now += suspect_ms / 5)
    {
      membership_tick (m, now);
      if (membership_state (m, other) != MEMBER_LIVE)
        membership_monitor (m, now, nullptr, 0);
    }
  EXPECT_EQ (membership_state (m, other), MEMBER_DEAD);
  uint64_t keys[4];
  EXPECT_EQ (membership_monitored (m, keys, 4), 0u);
  membership_destroy (m);
}

/* A partition ends and a host believed dead beats again.  It must get
   heartbeats back, as only its answer to one shows that it can be reached;
   else it would stay dead for ever. */
TEST (Membership, ADeadHostThatBeatsAgainIsAskedAgain)
{
  membership *m = make_membership ();
  membership_note_heartbeat (m, 1, 7, 1, false, true);
  for (int64_t now = 100; now <= 3000; now += 100)
    membership_tick (m, now);
  ASSERT_EQ (membership_state (m, 7), MEMBER_DEAD);
  uint64_t keys[4];
  EXPECT_EQ (membership_monitored (m, keys, 4), 0u);
  membership_note_heartbeat (m, 3100, 7, 1, false, true);
  membership_tick (m, 3200);
  EXPECT_EQ (membership_monitored (m, keys, 4), 1u);
  membership_note_answer (m, 3300, 7, 1);
  membership_tick (m, 3400);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  membership_destroy (m);
}

/* Two hosts watch each other in return and neither chose the other.  Were
   one's heartbeats cause enough for the other's, a fleet whose hosts start one
   after the other would end as a full mesh. */
TEST (Membership, AHeartbeatInReturnIsNotReturned)
{
  membership *m = make_membership ();
  const uint64_t other = 7;
  membership_add (m, 0, other, 1, false);
  membership_note_heartbeat (m, 1, other, 1, false, false);
  uint64_t keys[4];
  EXPECT_EQ (membership_monitored (m, keys, 4), 0u);
  membership_note_heartbeat (m, 2, other, 1, false, true);
  EXPECT_EQ (membership_monitored (m, keys, 4), 1u);
  EXPECT_FALSE (membership_requests_return (m, other));
  membership_monitor (m, 3, &other, 1);
  EXPECT_TRUE (membership_requests_return (m, other));
  membership_destroy (m);
}

/* A host that chose this one chooses others, as newer hosts came.  It answers
   still; it must be let go, or neighbours only ever add up. */
TEST (Membership, AHostThatChoosesOthersIsLetGo)
{
  membership *m = make_membership ();
  uint64_t keys[4];
  membership_note_heartbeat (m, 100, 7, 1, false, true);
  for (int64_t now = 200; now < 100 + dead_ms; now += 100)
    {
      membership_note_heartbeat (m, now, 7, 1, false, false);
      membership_note_answer (m, now, 7, 1);
      membership_tick (m, now);
      ASSERT_EQ (membership_monitored (m, keys, 4), 1u);
    }
  membership_note_answer (m, 100 + dead_ms, 7, 1);
  membership_tick (m, 100 + dead_ms);
  EXPECT_EQ (membership_monitored (m, keys, 4), 0u);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  membership_destroy (m);
}

/* A host that nobody chose is cut off: its heartbeats end, and others vouch
   for it for a while.  It must be watched until it is dead, as nobody else
   would find out. */
TEST (Membership, AHostInDoubtIsNotLetGo)
{
  membership *m = make_membership ();
  uint64_t keys[4];
  membership_note_heartbeat (m, 1, 7, 1, false, true);
  membership_note_answer (m, 50, 7, 1);
  for (int64_t now = 100; now <= 3 * dead_ms; now += 100)
    {
      membership_note_indirect_answer (m, now, 7);
      membership_tick (m, now);
      ASSERT_EQ (membership_monitored (m, keys, 4), 1u);
    }
  for (int64_t now = 3 * dead_ms; now <= 5 * dead_ms; now += 100)
    membership_tick (m, now);
  EXPECT_EQ (membership_state (m, 7), MEMBER_DEAD);
  EXPECT_EQ (membership_monitored (m, keys, 4), 0u);
  membership_destroy (m);
}

/* After a cut a dead host beats only in return.  It must be asked, as its
   answer alone brings it back, and it must keep being asked while it is dead
   here. */
TEST (Membership, ADeadHostIsAskedWhateverItsHeartbeatSays)
{
  membership *m = make_membership ();
  const member_update dead = { 7, 1, 4, MEMBER_DEAD };
  membership_add (m, 0, 7, 1, false);
  membership_merge (m, 10, &dead);
  EXPECT_TRUE (membership_requests_return (m, 7));
  uint64_t keys[4];
  for (int64_t now = 100; now <= 3 * dead_ms; now += 100)
    {
      membership_note_heartbeat (m, now, 7, 1, false, false);
      membership_tick (m, now);
      ASSERT_EQ (membership_monitored (m, keys, 4), 1u) << now;
    }
  membership_note_answer (m, 3 * dead_ms + 50, 7, 1);
  membership_tick (m, 3 * dead_ms + 100);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  membership_destroy (m);
}

TEST (Membership, ContradictsAVerdictAboutItself)
{
  membership *m = make_membership ();
  const member_update dead = { self, 1, 5, MEMBER_DEAD };
  membership_merge (m, 20, &dead);
  member_update said[4];
  ASSERT_EQ (membership_gossip (m, said, 4), 1u);
  EXPECT_EQ (said[0].key, self);
  EXPECT_EQ (said[0].counter, 6u);
  EXPECT_EQ (said[0].state, MEMBER_LIVE);
  membership_destroy (m);
}

TEST (Membership, OlderIncarnationsAndCountersAreIgnored)
{
  membership *m = make_membership ();
  membership_add (m, 0, 7, 3, false);
  const member_update old_start = { 7, 2, 90, MEMBER_DEAD };
  membership_merge (m, 10, &old_start);
  EXPECT_EQ (membership_state (m, 7), MEMBER_LIVE);
  const member_update dead = { 7, 3, 4, MEMBER_DEAD };
  membership_merge (m, 20, &dead);
  const member_update late = { 7, 3, 3, MEMBER_LIVE };
  membership_merge (m, 30, &late);
  EXPECT_EQ (membership_state (m, 7), MEMBER_DEAD);
  membership_note_unlisted (m, 7);
  EXPECT_FALSE (membership_is_usable (m, 7));
  membership_destroy (m);
}
