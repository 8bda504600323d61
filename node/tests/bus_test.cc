#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "node/bus.h"
}

namespace
{

struct subscriber
{
  bus *own_bus;
  std::vector<uint64_t> versions;
  bool unsubscribes = false;
};

void
on_removed (void *owner, const bus_message *message)
{
  auto *self = static_cast<subscriber *> (owner);
  self->versions.push_back (message->service_removed.version);
  if (self->unsubscribes)
    bus_unsubscribe (self->own_bus, self);
}

void
post (bus *bus, uint64_t version)
{
  bus_message message{};
  message.topic = BUS_SERVICE_REMOVED;
  message.service_removed.version = version;
  bus_post (bus, &message);
}

class Bus : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct bus *own_bus = bus_create (loop);

  ~Bus () override
  {
    bus_destroy (own_bus);
    ev_loop_destroy (loop);
  }
};

TEST_F (Bus, DeliversInOrderAfterPost)
{
  subscriber one{ own_bus, {} };
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &one);
  post (own_bus, 1);
  post (own_bus, 2);
  EXPECT_TRUE (one.versions.empty ());
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (one.versions, (std::vector<uint64_t>{ 1, 2 }));
}

/* A task unsubscribes in the handler of a message while another message is
   queued for it.  The bus must not call a handler of that task again. */
TEST_F (Bus, DeliversNothingToAnUnsubscribedTask)
{
  subscriber one{ own_bus, {}, true };
  subscriber two{ own_bus, {} };
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &one);
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &two);
  post (own_bus, 1);
  post (own_bus, 2);
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (one.versions, (std::vector<uint64_t>{ 1 }));
  EXPECT_EQ (two.versions, (std::vector<uint64_t>{ 1, 2 }));
}

TEST_F (Bus, ReleasesMessagesWithoutSubscribers)
{
  bus_message message{};
  message.topic = BUS_HOST_SET;
  message.host_set.hosts
      = static_cast<bus_host_entry *> (calloc (3, sizeof (bus_host_entry)));
  bus_post (own_bus, &message);
  ev_run (loop, EVRUN_NOWAIT);
}

} // namespace
