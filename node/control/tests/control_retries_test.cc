#include "node/control/tests/control_fixture.h"

namespace
{

/** Retries that hosts of a set lend to hosts outside it. */
class ControlRetries : public ControlFixture
{
protected:
  struct listener
  {
    std::vector<bus_retries> requested, received;
  };
  std::map<node *, listener> listeners;

  void
  SetUp () override
  {
    for (int i = 0; i < 4; i++)
      {
        node &added = add ("h" + std::to_string (i), "d0");
        added.start (loop);
        for (bus_topic topic : { BUS_RETRIES_REQUESTED, BUS_RETRIES_RECEIVED })
          bus_subscribe (added.bus, topic, on_retries, &listeners[&added]);
      }
    ASSERT_TRUE (until ([&] { return all_live (); }));
    store.put ("service", "holds", service_text ("holds", 4));
    ASSERT_TRUE (until ([&] { return all_agree (); }));
  }

  static void
  on_retries (void *owner, const bus_message *message)
  {
    auto *heard = static_cast<listener *> (owner);
    const bool is_request = message->topic == BUS_RETRIES_REQUESTED;
    (is_request ? heard->requested : heard->received)
        .push_back (message->retries);
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
  post (node &at, bus_topic topic, uint64_t host, uint32_t count)
  {
    bus_message message = {};
    message.topic = topic;
    strcpy (message.retries.service, "holds");
    message.retries.host = host;
    message.retries.count = count;
    bus_post (at.bus, &message);
  }
};

/* A host outside the set that lacks retries must reach one that has some, and
   receive what that one lends. */
TEST_F (ControlRetries, HostOutsideTheSetReceivesLentRetries)
{
  node *inside = find (true);
  node *outside = find (false);
  ASSERT_NE (inside, nullptr);
  ASSERT_NE (outside, nullptr);
  post (*outside, BUS_RETRIES_WANTED, 0, 1);
  const auto &requested = listeners[inside].requested;
  ASSERT_TRUE (until ([&] { return requested.size () == 1; }));
  EXPECT_EQ (requested[0].count, 1u);
  post (*inside, BUS_RETRIES_LENT, requested[0].host, 1);
  const auto &received = listeners[outside].received;
  ASSERT_TRUE (until ([&] { return received.size () == 1; }));
  EXPECT_EQ (received[0].count, 1u);
  for (auto &[host, heard] : listeners)
    {
      EXPECT_TRUE (host == inside || heard.requested.empty ());
      EXPECT_TRUE (host == outside || heard.received.empty ());
    }
}

}
