/* Quota tasks of several hosts, over a network that the test commands. */
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
  std::vector<std::string> coordinators; /**< its own data centre's first */
  uint32_t known = 0;
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

/* A message between hosts that is on its way. */
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
  ev_timer due;
};

class Fleet : public testing::Test
{
protected:
  Fleet ()
  {
    const log_options quiet = { LOG_LEVEL_ERROR, false, 0, 0, 0 };
    log_configure (&quiet);
    loop = ev_loop_new (EVFLAG_AUTO);
    /* What the test itself does next is done in time. */
    ev_timer_init (
        &tick, [] (struct ev_loop *, ev_timer *, int) {}, 0.005, 0.005);
    ev_timer_start (loop, &tick);
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
      ev_timer_stop (loop, &packet->due);
    ev_timer_stop (loop, &tick);
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
    tell_config (host);
  }

  void
  tell_config (Host &host)
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
  want (Host &host, uint32_t tokens, const std::string &workspace = "june")
  {
    bus_message message = {};
    message.topic = BUS_QUOTA_REQUESTED;
    message.quota.workspace = hash_string (workspace.c_str ());
    message.quota.answer.requested = tokens;
    bus_post (host.bus, &message);
  }

  bool
  until (const std::function<bool ()> &is_met)
  {
    const double limit = ev_now (loop) + 20;
    while (!is_met () && ev_now (loop) < limit)
      ev_run (loop, EVRUN_ONCE);
    return is_met ();
  }

  void
  turn_for (double seconds)
  {
    ev_now_update (loop);
    const double end = ev_now (loop) + seconds;
    EXPECT_TRUE (until ([&] { return ev_now (loop) >= end; }));
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

  /* Everybody wants more than there is, for SECONDS.
     @return what all were granted together */
  uint64_t
  want_all (double seconds, const std::vector<std::string> &names)
  {
    uint64_t before = 0;
    for (const auto &each : hosts)
      before += each->tokens ("june");
    ev_now_update (loop);
    const double end = ev_now (loop) + seconds;
    double next = 0;
    EXPECT_TRUE (until ([&] {
      if (ev_now (loop) >= next)
        {
          next = ev_now (loop) + 0.02;
          for (const std::string &name : names)
            want (host (name), 50);
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
    if (fleet->cut.count (from->name) != 0 || fleet->cut.count (to) != 0)
      return STATUS_OK;
    for (auto &each : fleet->hosts)
      if (each->name == to && each->task != nullptr)
        fleet->deliver (from->name, *each, message);
    return STATUS_OK;
  }

  /* A copy, delivered from the loop.  What is still on its way when a test
     ends is dropped with the fleet. */
  void
  deliver (const std::string &from, Host &to, const peer_message *message)
  {
    packets.push_back (std::make_unique<Packet> ());
    Packet &packet = *packets.back ();
    packet.fleet = this;
    packet.to = &to;
    packet.from = from;
    packet.bytes = peer_message_encode (message, &packet.size);
    ev_timer_init (&packet.due, arrive, 0.0005, 0);
    packet.due.data = &packet;
    ev_timer_start (loop, &packet.due);
  }

  static void
  arrive (struct ev_loop *, ev_timer *due, int)
  {
    auto *packet = static_cast<Packet *> (due->data);
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
    return ((Host *)transport)->known;
  }

  static constexpr quota_transport_ops ops
      = { send, coordinators, known_hosts };

  /* Six hosts of two data centres. */
  void
  start_six ()
  {
    for (const char *name : { "a1", "a2", "a3" })
      add (name, { "a1", "b1" });
    for (const char *name : { "b1", "b2", "b3" })
      add (name, { "b1", "a1" });
    for (auto &each : hosts)
      each->known = 6;
  }

  struct ev_loop *loop;
  ev_timer tick;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Packet>> packets; /**< on their way */
  std::set<std::string> cut;
  int rate = 100;
  int burst = 10;
  uint64_t sent = 0;
};

TEST_F (Fleet, AHostAloneHasAllOfTheQuota)
{
  add ("a1", { "a1" });
  host ("a1").known = 1;
  turn_for (1.5);
  const uint64_t granted = want_all (2, { "a1" });
  EXPECT_GE (granted, 190u);
  EXPECT_LE (granted, 240u);
}

/* The workspace's requests come to one host of six.  It has the quota of the
   whole fleet, though each of the others has a sixth of it. */
TEST_F (Fleet, OneBusyHostHasTheQuotaOfAll)
{
  start_six ();
  turn_for (1.5);
  const uint64_t granted = want_all (3, { "a2" });
  EXPECT_GE (granted, 250u);
  EXPECT_LE (granted, 300u + 10 + 20 + 10);
}

TEST_F (Fleet, AllTogetherHaveNoMoreThanTheQuota)
{
  start_six ();
  turn_for (1.5);
  const uint64_t granted
      = want_all (3, { "a1", "a2", "a3", "b1", "b2", "b3" });
  EXPECT_GE (granted, 280u);
  EXPECT_LE (granted, 300u + 10 + 20 + 10);
}

/* The keeper of a data centre is gone, and nobody has noticed yet. */
TEST_F (Fleet, TheOtherKeeperIsAskedWhenOneIsSilent)
{
  start_six ();
  turn_for (1.5);
  cut.insert ("a1");
  turn_for (0.7);
  const uint64_t before = host ("a2").tokens ("june");
  want_all (1, { "a2" });
  EXPECT_GT (host ("a2").tokens ("june"), before + 40);
}

/* A host that is cut off from all others, whom it believes to be gone, has its
   own share and no more; the rest have theirs. */
TEST_F (Fleet, WhoIsCutOffHasItsOwnShareOnly)
{
  start_six ();
  turn_for (1.5);
  cut.insert ("a3");
  host ("a3").coordinators = { "a3" };
  turn_for (1);
  const uint64_t alone = want_all (3, { "a3" });
  EXPECT_LE (alone, 3 * 100 / 6 + 10);
  EXPECT_GE (alone, 40u);
  const uint64_t all = want_all (3, { "a1", "a2", "a3", "b1", "b2", "b3" });
  EXPECT_LE (all, 300u + 10 + 20 + 10);
}

/* A host starts while the platform is away, and knows nobody.  Were it to take
   itself for the whole fleet, the workspace would have its quota twice. */
TEST_F (Fleet, WhoDoesntKnowTheFleetHasNothing)
{
  add ("a1", { "a1" });
  turn_for (1.7);
  EXPECT_EQ (want_all (0.5, { "a1" }), 0u);
  host ("a1").known = 1;
  EXPECT_GT (want_all (1, { "a1" }), 50u);
}

/* The operator lowers a quota while its workspace is at the old one. */
TEST_F (Fleet, ALowerQuotaHoldsAtOnce)
{
  start_six ();
  turn_for (1.5);
  want_all (0.5, { "a2", "b2" });
  rate = 10;
  burst = 5;
  for (auto &each : hosts)
    tell_config (*each);
  turn_for (0.5);
  EXPECT_LE (want_all (3, { "a2", "b2" }), 30u + 5 + 20 + 5);
}

/* All hosts are killed while a workspace uses all of its quota, and start
   again at once: within any window that is no more than the quota. */
TEST_F (Fleet, AStartOfAllBringsNoSecondQuota)
{
  start_six ();
  turn_for (1.5);
  uint64_t granted = want_all (2, { "a2", "b2" });
  for (auto &each : hosts)
    {
      quota_task_destroy (each->task);
      start (*each);
    }
  granted += want_all (2, { "a2", "b2" });
  EXPECT_LE (granted, (400u + 10) * 1.1 + 20);
  EXPECT_GE (granted, 330u);
}

TEST_F (Fleet, NothingIsSentForWorkspacesWithoutAQuota)
{
  start_six ();
  want (host ("a2"), 5, "free");
  turn_for (0.05);
  EXPECT_TRUE (host ("a2").granted.empty ());
}

/* What goes over the network while nobody uses a quota. */
TEST_F (Fleet, LoansAloneAreFewMessages)
{
  start_six ();
  turn_for (1);
  const uint64_t before = sent;
  turn_for (3);
  /* Four hosts that aren't keepers, a question and an answer each. */
  const double most = 3.0 / (QUOTA_RENEWAL_INTERVAL_MS / 1000.0) * 4 * 2;
  EXPECT_LE ((double)(sent - before), most * 1.1);
}
} // namespace
