#include "node/control/tests/control_set_fixture.h"

namespace
{

/** Transfer of retries from hosts of a set to hosts outside it. */
class ControlRetries : public ControlSetFixture
{
protected:
  struct listener
  {
    std::vector<bus_retries> requested, received;
  };
  std::map<node *, listener> listeners;

  void
  subscribe (node &added) override
  {
    for (bus_topic topic : { BUS_RETRIES_REQUESTED, BUS_RETRIES_RECEIVED })
      bus_subscribe (added.bus, topic, on_retries, &listeners[&added]);
  }

  static void
  on_retries (void *owner, const bus_message *message)
  {
    auto *heard = static_cast<listener *> (owner);
    const bool is_request = message->topic == BUS_RETRIES_REQUESTED;
    (is_request ? heard->requested : heard->received)
        .push_back (message->retries);
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
   receive what that one sends. */
TEST_F (ControlRetries, HostOutsideTheSetReceivesRetries)
{
  node *inside = find (true);
  node *outside = find (false);
  ASSERT_NE (inside, nullptr);
  ASSERT_NE (outside, nullptr);
  post (*outside, BUS_RETRIES_WANTED, 0, 1);
  const auto &requested = listeners[inside].requested;
  ASSERT_TRUE (until ([&] { return requested.size () == 1; }));
  EXPECT_EQ (requested[0].count, 1u);
  post (*inside, BUS_RETRIES_TRANSFERRED, requested[0].host, 1);
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
