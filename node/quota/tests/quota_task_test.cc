/* Quota tasks of several hosts in one process, connected by a simulated
   network. */
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/quota/quota_task.h"
}

namespace
{
class Fleet;

struct Host
{
  quota_transport transport; /* first */
  Fleet *fleet;
  std::string name;
  std::vector<std::string> coordinators; /**< that of its data centre first */
  uint32_t known_host_count = 0;
  host_settings settings;
  struct bus *bus = nullptr;
  struct counters *counters = nullptr;
  quota_task *task = nullptr;
  std::vector<bus_quota> granted;

  uint64_t
  tokens (const std::string &workspace) const
  {
    uint64_t sum = 0;
    for (const bus_quota &grant : granted)
      if (grant.workspace == hash_string (workspace.c_str ()))
        sum += grant.answer.tokens;
    return sum;
  }
};

/* A message in transit between hosts. */
struct Packet
{
  Packet () = default;
  Packet (const Packet &) = delete;
  Packet &operator= (const Packet &) = delete;
  ~Packet ()
  {
    free (bytes);
  }

  Fleet *fleet = nullptr;
  Host *to = nullptr;
  std::string from;
  char *bytes = nullptr;
  size_t size = 0;
  ev_timer arrival;
};

class Fleet : public testing::Test
{
protected:
  Fleet ()
  {
    const log_options quiet = { LOG_LEVEL_ERROR, false, 0, 0, 0 };
    log_configure (&quiet);
    loop = ev_loop_new (EVFLAG_AUTO);
    /* Wakes the loop, so that the conditions of the test are checked often. */
    ev_timer_init (
        &wake_timer, [] (struct ev_loop *, ev_timer *, int) {}, 0.005, 0.005);
    ev_timer_start (loop, &wake_timer);
  }

  ~Fleet () override
  {
    for (auto &host : hosts)
      {
        quota_task_destroy (host->task);
        bus_destroy (host->bus);
        counters_destroy (host->counters);
      }
    for (const auto &packet : packets)
      ev_timer_stop (loop, &packet->arrival);
    ev_timer_stop (loop, &wake_timer);
    ev_loop_destroy (loop);
  }

  void
  add (const std::string &name, const std::vector<std::string> &coordinators)
  {
    hosts.push_back (std::make_unique<Host> ());
    Host &host = *hosts.back ();
    host.transport.ops = &ops;
    host.fleet = this;
    host.name = name;
    host.coordinators = coordinators;
    host_settings_defaults (&host.settings);
    strcpy (host.settings.name, name.c_str ());
    host.bus = bus_create (loop);
    host.counters = counters_create ();
    bus_subscribe (
        host.bus, BUS_QUOTA_GRANTED,
        [] (void *owner, const bus_message *message) {
          static_cast<Host *> (owner)->granted.push_back (message->quota);
        },
        &host);
    start (host);
  }

  void
  start (Host &host)
  {
    const quota_task_options options
        = { loop,          host.bus, &host.settings,
            host.counters, nullptr,  &host.transport };
    host.task = quota_task_create (&options);
    post_config (host);
  }

  void
  post_config (Host &host)
  {
    const std::string text
        = "{\"version\":1,\"workspaces\":[{\"name\":\"june\",\"rate_per_s\":"
          + std::to_string (rate) + ",\"burst\":" + std::to_string (burst)
          + "},{\"name\":\"free\"}]}";
    bus_message message = {};
    message.topic = BUS_CONFIG_IN_FORCE;
    ASSERT_EQ (fleet_config_parse ("t", text.c_str (),
                                   &message.config_in_force.config),
               STATUS_OK)
        << status_message ();
    bus_post (host.bus, &message);
  }

  void
  request (Host &host, uint32_t tokens, const std::string &workspace = "june")
  {
    bus_message message = {};
    message.topic = BUS_QUOTA_REQUESTED;
    message.quota.workspace = hash_string (workspace.c_str ());
    message.quota.answer.requested = tokens;
    bus_post (host.bus, &message);
  }

  bool
  run_until (const std::function<bool ()> &condition)
  {
    const double limit = ev_now (loop) + 20;
    while (!condition () && ev_now (loop) < limit)
      ev_run (loop, EVRUN_ONCE);
    return condition ();
  }

  void
  run_for (double seconds)
  {
    ev_now_update (loop);
    const double end = ev_now (loop) + seconds;
    EXPECT_TRUE (run_until ([&] { return ev_now (loop) >= end; }));
  }

  Host &
  host (const std::string &name)
  {
    for (auto &each : hosts)
      if (each->name == name)
        return *each;
    ADD_FAILURE () << name;
    return *hosts[0];
  }

  /* The hosts of NAMES request more than the quota for SECONDS.
     @return the total of tokens granted to all hosts */
  uint64_t
  request_all (double seconds, const std::vector<std::string> &names)
  {
    uint64_t before = 0;
    for (const auto &each : hosts)
      before += each->tokens ("june");
    ev_now_update (loop);
    const double end = ev_now (loop) + seconds;
    double next = 0;
    EXPECT_TRUE (run_until ([&] {
      if (ev_now (loop) >= next)
        {
          next = ev_now (loop) + 0.02;
          for (const std::string &name : names)
            request (host (name), 50);
        }
      return ev_now (loop) >= end;
    }));
    uint64_t after = 0;
    for (const auto &each : hosts)
      after += each->tokens ("june");
    return after - before;
  }

  static enum status
  send (quota_transport *transport, const char *to,
        const peer_message *message)
  {
    auto *from = (Host *)transport;
    Fleet *fleet = from->fleet;
    fleet->sent++;
    if (fleet->partitioned.count (from->name) != 0
        || fleet->partitioned.count (to) != 0)
      return STATUS_OK;
    for (auto &each : fleet->hosts)
      if (each->name == to && each->task != nullptr)
        fleet->deliver (from->name, *each, message);
    return STATUS_OK;
  }

  /* Delivers a copy of MESSAGE from the loop.  Packets in transit at the end
     of a test are dropped with the fleet. */
  void
  deliver (const std::string &from, Host &to, const peer_message *message)
  {
    packets.push_back (std::make_unique<Packet> ());
    Packet &packet = *packets.back ();
    packet.fleet = this;
    packet.to = &to;
    packet.from = from;
    packet.bytes = peer_message_encode (message, &packet.size);
    ev_timer_init (&packet.arrival, arrive, 0.0005, 0);
    packet.arrival.data = &packet;
    ev_timer_start (loop, &packet.arrival);
  }

  static void
  arrive (struct ev_loop *, ev_timer *arrival, int)
  {
    auto *packet = static_cast<Packet *> (arrival->data);
    peer_message decoded;
    if (packet->to->task != nullptr
        && peer_message_decode (packet->bytes, packet->size, &decoded)
               == STATUS_OK)
      {
        quota_task_receive (packet->to->task, packet->from.c_str (), &decoded);
        peer_message_release (&decoded);
      }
    auto &all = packet->fleet->packets;
    all.erase (
        std::find_if (all.begin (), all.end (), [packet] (const auto &each) {
          return each.get () == packet;
        }));
  }

  static size_t
  coordinators (quota_transport *transport,
                const char *names[QUOTA_COORDINATORS_MAX])
  {
    auto *host = (Host *)transport;
    for (size_t i = 0; i < host->coordinators.size (); i++)
      names[i] = host->coordinators[i].c_str ();
    return host->coordinators.size ();
  }

  static uint32_t
  known_hosts (quota_transport *transport)
  {
    return ((Host *)transport)->known_host_count;
  }

  static constexpr quota_transport_ops ops
      = { send, coordinators, known_hosts };

  /* Starts six hosts in two data centres. */
  void
  start_six ()
  {
    for (const char *name : { "a1", "a2", "a3" })
      add (name, { "a1", "b1" });
    for (const char *name : { "b1", "b2", "b3" })
      add (name, { "b1", "a1" });
    for (auto &each : hosts)
      each->known_host_count = 6;
  }

  struct ev_loop *loop;
  ev_timer wake_timer;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Packet>> packets; /**< in transit */
  std::set<std::string> partitioned;
  int rate = 100;
  int burst = 10;
  uint64_t sent = 0;
};

TEST_F (Fleet, SingleHostGetsTheWholeQuota)
{
  add ("a1", { "a1" });
  host ("a1").known_host_count = 1;
  run_for (1.5);
  const uint64_t granted = request_all (2, { "a1" });
  EXPECT_GE (granted, 190u);
  EXPECT_LE (granted, 240u);
}

/* All requests of the workspace arrive at one of six hosts.  It gets the quota
   of the whole fleet, although each host has a sixth of it. */
TEST_F (Fleet, OneBusyHostGetsTheWholeQuota)
{
  start_six ();
  run_for (1.5);
  const uint64_t granted = request_all (3, { "a2" });
  EXPECT_GE (granted, 250u);
  EXPECT_LE (granted, 300u + 10 + 20 + 10);
}

TEST_F (Fleet, AllHostsTogetherStayWithinTheQuota)
{
  start_six ();
  run_for (1.5);
  const uint64_t granted
      = request_all (3, { "a1", "a2", "a3", "b1", "b2", "b3" });
  EXPECT_GE (granted, 280u);
  EXPECT_LE (granted, 300u + 10 + 20 + 10);
}

/* A coordinator has failed, but the coordinator list still contains it. */
TEST_F (Fleet, UnresponsiveCoordinatorIsReplacedByTheOther)
{
  start_six ();
  run_for (1.5);
  partitioned.insert ("a1");
  run_for (0.7);
  const uint64_t before = host ("a2").tokens ("june");
  request_all (1, { "a2" });
  EXPECT_GT (host ("a2").tokens ("june"), before + 40);
}

/* A partitioned host whose view contains only itself gets its own share and no
   more; the other hosts get theirs. */
TEST_F (Fleet, PartitionedHostGetsOnlyItsOwnShare)
{
  start_six ();
  run_for (1.5);
  partitioned.insert ("a3");
  host ("a3").coordinators = { "a3" };
  run_for (1);
  const uint64_t alone = request_all (3, { "a3" });
  EXPECT_LE (alone, 3 * 100 / 6 + 10);
  EXPECT_GE (alone, 40u);
  const uint64_t all = request_all (3, { "a1", "a2", "a3", "b1", "b2", "b3" });
  EXPECT_LE (all, 300u + 10 + 20 + 10);
}

/* A host starts while the platform is unavailable, and doesn't know the number
   of hosts.  If it assumed that it is the only one, the workspace would get
   its quota twice. */
TEST_F (Fleet, HostWithUnknownFleetSizeGetsNothing)
{
  add ("a1", { "a1" });
  run_for (1.7);
  EXPECT_EQ (request_all (0.5, { "a1" }), 0u);
  host ("a1").known_host_count = 1;
  EXPECT_GT (request_all (1, { "a1" }), 50u);
}

/* The operator lowers a quota while its workspace uses all of the old one. */
TEST_F (Fleet, LoweredQuotaTakesEffectAtOnce)
{
  start_six ();
  run_for (1.5);
  request_all (0.5, { "a2", "b2" });
  rate = 10;
  burst = 5;
  for (auto &each : hosts)
    post_config (*each);
  run_for (0.5);
  EXPECT_LE (request_all (3, { "a2", "b2" }), 30u + 5 + 20 + 5);
}

/* All hosts are killed while a workspace uses all of its quota, and restart at
   once.  The tokens granted before and after must stay within the quota of any
   window. */
TEST_F (Fleet, RestartOfAllHostsDoesntDoubleTheQuota)
{
  start_six ();
  run_for (1.5);
  uint64_t granted = request_all (2, { "a2", "b2" });
  for (auto &each : hosts)
    {
      quota_task_destroy (each->task);
      start (*each);
    }
  granted += request_all (2, { "a2", "b2" });
  EXPECT_LE (granted, (400u + 10) * 1.1 + 20);
  EXPECT_GE (granted, 330u);
}

TEST_F (Fleet, NothingIsSentForWorkspacesWithoutAQuota)
{
  start_six ();
  request (host ("a2"), 5, "free");
  run_for (0.05);
  EXPECT_TRUE (host ("a2").granted.empty ());
}

/* Counts the messages while no tokens are requested. */
TEST_F (Fleet, LeaseRenewalsAreFewMessages)
{
  start_six ();
  run_for (1);
  const uint64_t before = sent;
  run_for (3);
  /* Four hosts that aren't coordinators, a request and a response each. */
  const double max_messages
      = 3.0 / (QUOTA_RENEWAL_INTERVAL_MS / 1000.0) * 4 * 2;
  EXPECT_LE ((double)(sent - before), max_messages * 1.1);
}
} // namespace
