#include "node/control/tests/control_fixture.h"

#include <set>

namespace
{

class ControlOutcomes : public ControlFixture
{
protected:
  enum
  {
    FAILED_TARGET = 11,
    GOOD_TARGET = 12,
  };
  std::map<node *, std::multiset<uint64_t>> received;

  void
  SetUp () override
  {
    for (int i = 0; i < 4; i++)
      {
        node &added = add ("h" + std::to_string (i), "d0");
        added.start (loop);
        bus_subscribe (added.bus, BUS_OUTCOME_RECEIVED, on_received,
                       &received[&added]);
      }
    ASSERT_TRUE (until ([&] { return all_live (); }));
    store.put ("service", "holds", service_text ("holds", 4));
    ASSERT_TRUE (until ([&] { return all_agree (); }));
  }

  static void
  on_received (void *owner, const bus_message *message)
  {
    auto *keys = static_cast<std::multiset<uint64_t> *> (owner);
    keys->insert (message->outcome.target_key);
  }

  bool
  all_agree ()
  {
    for (const auto &n : nodes)
      if (n->set_size ("holds") == 0
          || n->sets["holds"] != nodes[0]->sets["holds"])
        return false;
    return true;
  }

  bool
  in_set (const node &at)
  {
    const auto &set = nodes[0]->sets["holds"];
    return std::find (set.begin (), set.end (), at.settings.name)
           != set.end ();
  }

  node *
  find (bool is_in_set)
  {
    for (const auto &n : nodes)
      if (in_set (*n) == is_in_set)
        return n.get ();
    return nullptr;
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
