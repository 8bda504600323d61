#include "node/control/tests/control_set_fixture.h"

#include <set>

namespace
{

class ControlOutcomes : public ControlSetFixture
{
protected:
  enum
  {
    FAILED_TARGET = 11,
    GOOD_TARGET = 12,
  };
  std::map<node *, std::multiset<uint64_t>> received;

  void
  subscribe (node &added) override
  {
    bus_subscribe (added.bus, BUS_OUTCOME_RECEIVED, on_received,
                   &received[&added]);
  }

  static void
  on_received (void *owner, const bus_message *message)
  {
    auto *keys = static_cast<std::multiset<uint64_t> *> (owner);
    keys->insert (message->outcome.target_key);
  }

  static void
  post_outcome (node &at, uint64_t target, attempt_end end)
  {
    bus_message message = {};
    message.topic = BUS_OUTCOME_OBSERVED;
    strcpy (message.outcome.service, "holds");
    message.outcome.target_key = target;
    message.outcome.end = end;
    bus_post (at.bus, &message);
  }
};

/* A host outside the set uses each target too rarely to detect that it fails,
   so its requests would fail. */
TEST_F (ControlOutcomes, HostOutsideTheSetReceivesFailedTargets)
{
  node *inside = find (true);
  node *outside = find (false);
  ASSERT_NE (inside, nullptr);
  ASSERT_NE (outside, nullptr);
  post_outcome (*inside, FAILED_TARGET, ATTEMPT_FAILED);
  post_outcome (*inside, GOOD_TARGET, ATTEMPT_ANSWERED);
  post_outcome (*outside, GOOD_TARGET, ATTEMPT_ANSWERED);
  EXPECT_TRUE (
      until ([&] { return received[outside].count (FAILED_TARGET) == 1; }));
  EXPECT_EQ (received[outside].count (GOOD_TARGET), 0u);
}

/* Hosts outside the set that send no reports must receive nothing: there are
   thousands of them. */
TEST_F (ControlOutcomes, HostWithoutReportsReceivesNothing)
{
  node *inside = find (true);
  node *outside = find (false);
  ASSERT_NE (inside, nullptr);
  ASSERT_NE (outside, nullptr);
  post_outcome (*inside, FAILED_TARGET, ATTEMPT_FAILED);
  post_outcome (*outside, GOOD_TARGET, ATTEMPT_ANSWERED);
  EXPECT_TRUE (
      until ([&] { return received[outside].count (FAILED_TARGET) == 1; }));
  for (const auto &n : nodes)
    EXPECT_TRUE (n.get () == outside || in_set (*n)
                 || received[n.get ()].empty ());
}

}
