#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "node/bus.h"
}

namespace
{

struct listener
{
  bus *own_bus;
  std::vector<uint64_t> seen;
  bool leave = false;
};

void
on_removed (void *owner, const bus_message *message)
{
  auto *self = static_cast<listener *> (owner);
  self->seen.push_back (message->service_removed.version);
  if (self->leave)
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

TEST_F (Bus, DeliversInOrderAfterThePost)
{
  listener one{ own_bus, {} };
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &one);
  post (own_bus, 1);
  post (own_bus, 2);
  EXPECT_TRUE (one.seen.empty ());
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (one.seen, (std::vector<uint64_t>{ 1, 2 }));
}

/* A task ends itself on a message while another message waits for it.  The
   bus must not call into the ended task. */
TEST_F (Bus, NothingReachesATaskThatLeft)
{
  listener one{ own_bus, {}, true };
  listener two{ own_bus, {} };
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &one);
  bus_subscribe (own_bus, BUS_SERVICE_REMOVED, on_removed, &two);
  post (own_bus, 1);
  post (own_bus, 2);
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (one.seen, (std::vector<uint64_t>{ 1 }));
  EXPECT_EQ (two.seen, (std::vector<uint64_t>{ 1, 2 }));
}

TEST_F (Bus, OwnedMemoryIsReleasedWithoutSubscribers)
{
  bus_message message{};
  message.topic = BUS_HOST_SET;
  message.host_set.hosts
      = static_cast<bus_host_entry *> (calloc (3, sizeof (bus_host_entry)));
  bus_post (own_bus, &message);
  ev_run (loop, EVRUN_NOWAIT);
}

} // namespace
