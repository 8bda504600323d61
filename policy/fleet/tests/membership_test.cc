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
  heartbeat,
  indirect_answer,
  tick
};

struct event
{
  int64_t at_ms;
  event_kind kind;
  member_state observed;  /* set for ticks only */
  member_state evaluated; /* set for ticks only */
  bool announced_one_way; /* set for ticks only */
};

/* Reference model: all events of one host, evaluated from the start each
   time. */
class member_model
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
    event e = { now, event_kind::tick, observed (now), MEMBER_LIVE, false };
    e.evaluated = evaluated (e.observed);
    const int64_t reached = std::max (last (event_kind::answered),
                                      last (event_kind::indirect_answer));
    e.announced_one_way = e.evaluated == MEMBER_ONE_WAY
                          && announced () != MEMBER_DEAD
                          && now - reached >= dead_ms;
    log.push_back (e);
  }

  member_state
  state () const
  {
    return log.back ().evaluated;
  }

  bool
  usable (int64_t now) const
  {
    if (state () == MEMBER_LIVE)
      return true;
    return state () != MEMBER_DEAD && announced () == MEMBER_LIVE
           && last (event_kind::indirect_answer) > 0
           && now - last (event_kind::indirect_answer) < dead_ms;
  }

private:
  int64_t
  last (event_kind kind) const
  {
    int64_t at = 0; /* monitored since 0, which counts as an answer */
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
  observed (int64_t now) const
  {
    const int64_t answer = last (event_kind::answered);
    int64_t heartbeat = answer;
    if (has (event_kind::heartbeat))
      heartbeat = std::max (heartbeat, last (event_kind::heartbeat));
    if (now - answer < suspect_ms)
      return MEMBER_LIVE;
    if (now - heartbeat < suspect_ms)
      return MEMBER_ONE_WAY;
    const int64_t alive
        = std::max (heartbeat, last (event_kind::indirect_answer));
    return now - alive < dead_ms ? MEMBER_SUSPECT : MEMBER_DEAD;
  }

  /* Returns the newest state that was announced. */
  member_state
  announced () const
  {
    member_state newest = MEMBER_LIVE;
    for (const auto &e : log)
      if (e.kind == event_kind::tick)
        {
          if (e.evaluated == MEMBER_LIVE || e.evaluated == MEMBER_DEAD)
            newest = e.evaluated;
          else if (e.announced_one_way)
            newest = MEMBER_ONE_WAY;
        }
    return newest;
  }

  /* An announced state holds until an answer arrives after the
     announcement. */
  member_state
  evaluated (member_state state) const
  {
    member_state announced_state = MEMBER_LIVE;
    for (const auto &e : log)
      if (e.kind == event_kind::answered)
        announced_state = MEMBER_LIVE;
      else if (e.kind == event_kind::tick && e.evaluated == MEMBER_DEAD)
        announced_state = MEMBER_DEAD;
      else if (e.kind == event_kind::tick && e.announced_one_way)
        announced_state = std::max (announced_state, MEMBER_ONE_WAY);
    return std::max (state, announced_state);
  }

  std::vector<event> log;
};

/* Probabilities of the events of one host in an episode. */
struct link_profile
{
  double answer;
  double heartbeat;
  double indirect_answer;
};

link_profile
draw_profile (rng *random)
{
  static const link_profile profiles[] = {
    { 0.9, 0.9, 0.1 },  /* healthy, some loss */
    { 0.0, 0.9, 0.5 },  /* one-way failure, others reach it */
    { 0.0, 0.9, 0.0 },  /* receives nothing */
    { 0.0, 0.0, 0.5 },  /* unreachable from here only */
    { 0.0, 0.0, 0.0 },  /* dead */
    { 0.2, 0.2, 0.05 }, /* heavy loss */
  };
  return profiles[rng_below (random, sizeof profiles / sizeof profiles[0])];
}
}

/* More than 150,000 events of six hosts whose link profiles change
   randomly. */
TEST (Membership, AgreesWithReferenceModel)
{
  rng random;
  rng_seed (&random, 31);
  size_t events = 0;
  size_t states[5] = {};
  for (int episode = 0; episode < 400; episode++)
    {
      membership *m = make_membership ();
      const uint64_t keys[] = { 1, 2, 3, 4, 5, 6 };
      member_model models[6];
      link_profile profiles[6];
      for (auto &f : profiles)
        f = draw_profile (&random);
      for (uint64_t key : keys)
        membership_add (m, 0, key, 1, false);
      membership_monitor (m, 0, keys, 6);
      int64_t now = 0;
      for (int step = 0; step < 80; step++)
        {
          for (int h = 0; h < 6; h++)
            {
              if (rng_unit (&random) < 0.05)
                profiles[h] = draw_profile (&random);
              now += 1 + rng_below (&random, 20);
              if (rng_unit (&random) < profiles[h].heartbeat)
                {
                  membership_note_heartbeat (m, now, keys[h], 1, false, true);
                  models[h].add (now, event_kind::heartbeat);
                  events++;
                }
              now++;
              if (rng_unit (&random) < profiles[h].answer)
                {
                  membership_note_answer (m, now, keys[h], 1);
                  models[h].add (now, event_kind::answered);
                  events++;
                }
              now++;
              if (rng_unit (&random) < profiles[h].indirect_answer)
                {
                  membership_note_indirect_answer (m, now, keys[h]);
                  models[h].add (now, event_kind::indirect_answer);
                  events++;
                }
            }
          now++;
          membership_tick (m, now);
          for (int h = 0; h < 6; h++)
            {
              models[h].tick (now);
              const member_state state = membership_state (m, keys[h]);
              ASSERT_EQ (state, models[h].state ()) << episode << " " << step;
              ASSERT_EQ (membership_is_usable (m, keys[h]),
                         models[h].usable (now))
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

/* Guards against reviving a host that shuts down gracefully while it still
   answers a monitoring host: callers would be sent to a port that is about
   to close. */
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
  const member_update unmonitored = { 8, 1, 40, MEMBER_LIVE };
  membership_merge (m, 70, &unmonitored);
  EXPECT_EQ (membership_state (m, 8), MEMBER_LEAVING);
  membership_destroy (m);
}

/* Guards against a host that resumes after a suspension of ten seconds and
   announces its live neighbours as dead, because it has received nothing
   meanwhile. */
TEST (Membership, ResumedHostAnnouncesNobodyDead)
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

/* Guards against a host whose state is never decided because it is
   suspended right after its start.  It becomes suspect, so it isn't chosen
   as a neighbour any more and nobody would monitor it. */
TEST (Membership, UndecidedHostIsMonitoredUntilDecided)
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

/* Guards against a host that stays dead for ever after a partition: when
   its heartbeats arrive again it must be sent heartbeats, because only its
   answer shows that it can be reached. */
TEST (Membership, DeadHostThatSendsHeartbeatsIsMonitoredAgain)
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

/* Guards against two hosts that monitor each other only in return of the
   other's heartbeats: a fleet whose hosts are started one after the other
   would end as a full mesh. */
TEST (Membership, HeartbeatInReturnIsNotReturned)
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

/* Guards against monitored hosts that accumulate: a host that had chosen this
   one as a neighbour chooses others after newer hosts have started.  It still
   answers, but no longer requests monitoring in return. */
TEST (Membership, MonitoringInReturnEndsWhenNotRequested)
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

/* Guards against ending the monitoring in return of a host that is
   partitioned, while other hosts still report answers: it must continue
   until the host is dead, because nobody else would find out. */
TEST (Membership, MonitoringInReturnContinuesWhileUndecided)
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

/* Guards against a dead host that isn't sent heartbeats after a partition
   because its own heartbeats don't request monitoring in return.  Only its
   answer revives it, so it must be monitored as long as it is dead here. */
TEST (Membership, DeadHostIsMonitoredWithAnyHeartbeat)
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

TEST (Membership, RefutesUpdateAboutItself)
{
  membership *m = make_membership ();
  const member_update dead = { self, 1, 5, MEMBER_DEAD };
  membership_merge (m, 20, &dead);
  member_update announced[4];
  ASSERT_EQ (membership_gossip (m, announced, 4), 1u);
  EXPECT_EQ (announced[0].key, self);
  EXPECT_EQ (announced[0].counter, 6u);
  EXPECT_EQ (announced[0].state, MEMBER_LIVE);
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
