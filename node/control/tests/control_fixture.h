/** @file
 * Complete control tasks on one event loop, with one platform in memory.
 */
#ifndef NODE_CONTROL_TESTS_CONTROL_FIXTURE_H
#define NODE_CONTROL_TESTS_CONTROL_FIXTURE_H

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "node/control/tests/fake_platform.h"

extern "C"
{
#include "base/log.h"
#include "node/bus.h"
#include "node/control/control_task.h"
#include "node/tables.h"
}

/* An address of this machine that no other socket is given while a host
   doesn't listen on it, before its start and between two starts.  A bound
   socket that doesn't listen reserves it; only sockets that also set
   SO_REUSEADDR and name the port, as the host does, may share it. */
class reserved_address
{
public:
  reserved_address ()
  {
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ (setsockopt (fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on), 0);
    EXPECT_EQ (bind (fd_, (sockaddr *)&at, size), 0);
    EXPECT_EQ (getsockname (fd_, (sockaddr *)&at, &size), 0);
    text_ = "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
  }

  reserved_address (const reserved_address &) = delete;
  reserved_address &operator= (const reserved_address &) = delete;

  ~reserved_address ()
  {
    close (fd_);
  }

  const std::string &
  text () const
  {
    return text_;
  }

private:
  int fd_;
  std::string text_;
};

inline std::string
service_text (const std::string &name, int slots)
{
  return "{\"name\":\"" + name
         + "\",\"targets\":[{\"name\":\"t1\",\"address\":\"127.0.0.1:9\","
           "\"dc\":\"d0\",\"slots\":"
         + std::to_string (slots) + "}]}";
}

/* One host: its task, its bus, and what was posted on the bus. */
struct node
{
  node (struct ev_loop *loop, fake_store *store, const std::string &name,
        const std::string &dc, const std::vector<std::string> &seeds = {})
      : platform (loop, store), address (reserved.text ())
  {
    host_settings_defaults (&settings);
    strcpy (settings.name, name.c_str ());
    strcpy (settings.dc, dc.c_str ());
    strcpy (settings.caller_address, "127.0.0.1:1");
    strcpy (settings.operator_address, "127.0.0.1:2");
    strcpy (settings.peer_address, address.c_str ());
    for (const auto &seed : seeds)
      strcpy (settings.peer_seeds[settings.peer_seed_count++], seed.c_str ());
    settings.times.heartbeat_ms = 20;
    settings.times.suspect_after_ms = 400;
    settings.times.dead_after_ms = 1000;
    settings.times.stale_after_ms = 2000;
    settings.relays_per_dc = 1;
    settings.set_hosts_per_dc = 1;
    freshness_init (&proofs);
    bus = bus_create (loop);
    counters = counters_create ();
    for (int topic = 0; topic < BUS_TOPIC_COUNT; topic++)
      bus_subscribe (bus, (bus_topic)topic, on_bus, this);
  }

  void
  start (struct ev_loop *loop)
  {
    in_force.clear ();
    highest.clear ();
    sets.clear ();
    const control_task_options options
        = { loop, bus, &settings, &platform.base, counters, nullptr, 0 };
    ASSERT_EQ (control_task_create (&options, &task), STATUS_OK)
        << status_message ();
  }

  void
  stop ()
  {
    control_task_destroy (task);
    task = nullptr;
  }

  ~node ()
  {
    stop ();
    bus_destroy (bus);
    counters_destroy (counters);
  }

  uint64_t
  version (const std::string &service) const
  {
    const auto found = in_force.find (service);
    return found == in_force.end () ? 0 : found->second;
  }

  size_t
  set_size (const std::string &service) const
  {
    const auto found = sets.find (service);
    return found == sets.end () ? 0 : found->second.size ();
  }

  static void
  on_bus (void *owner, const bus_message *message)
  {
    auto *host = (node *)owner;
    if (message->topic == BUS_SERVICE_IN_FORCE)
      {
        const auto *spec = message->service_in_force.spec;
        EXPECT_GT (spec->version, host->highest[spec->name]) << "reverted";
        host->highest[spec->name] = spec->version;
        host->in_force[spec->name] = spec->version;
        auto &targets = host->targets[spec->name];
        targets.clear ();
        for (size_t i = 0; i < spec->target_count; i++)
          targets.push_back (spec->targets[i].name);
      }
    else if (message->topic == BUS_CONFIG_IN_FORCE)
      {
        const uint64_t version = message->config_in_force.config->version;
        EXPECT_GT (version, host->config_version) << "reverted";
        host->config_version = version;
        freshness_set_version_in_force (&host->proofs, version);
      }
    else if (message->topic == BUS_FRESHNESS)
      freshness_add_proof (&host->proofs, &message->freshness);
    else if (message->topic == BUS_SERVICE_REMOVED)
      {
        const auto &removed = message->service_removed;
        EXPECT_GT (removed.version, host->highest[removed.name]);
        host->highest[removed.name] = removed.version;
        host->in_force.erase (removed.name);
      }
    else if (message->topic == BUS_HOST_SET)
      {
        auto &set = host->sets[message->host_set.service];
        set.clear ();
        for (size_t i = 0; i < message->host_set.count; i++)
          set.push_back (message->host_set.hosts[i].name);
      }
  }

  fake_platform platform;
  reserved_address reserved;
  std::string address;
  host_settings settings;
  struct bus *bus;
  struct counters *counters;
  control_task *task = nullptr;
  std::map<std::string, uint64_t> in_force, highest;
  std::map<std::string, std::vector<std::string>> sets, targets;
  uint64_t config_version = 0;
  freshness proofs; /**< as the caller task would have them */
};

class ControlFixture : public testing::Test
{
protected:
  ControlFixture ()
  {
    const log_options quiet = { LOG_LEVEL_ERROR, false, 0, 0, 0 };
    log_configure (&quiet);
    loop = ev_loop_new (EVFLAG_AUTO);
    ev_timer_init (&limit, limit_cb, 100, 0);
    limit.data = this;
    ev_timer_start (loop, &limit);
  }

  ~ControlFixture () override
  {
    nodes.clear ();
    ev_timer_stop (loop, &limit);
    ev_loop_destroy (loop);
  }

  node &
  add (const std::string &name, const std::string &dc,
       const std::vector<std::string> &seeds = {})
  {
    nodes.push_back (std::make_unique<node> (loop, &store, name, dc, seeds));
    return *nodes.back ();
  }

  /* Starts N hosts in as many data centres and waits until they know each
     other. */
  void
  start (int n)
  {
    for (int i = 0; i < n; i++)
      add ("h" + std::to_string (i), "d" + std::to_string (i)).start (loop);
    EXPECT_TRUE (until ([&] { return all_live (); }));
  }

  bool
  all_live () const
  {
    for (const auto &a : nodes)
      for (const auto &b : nodes)
        if (a->task != nullptr && b->task != nullptr
            && !control_host_is_live (a->task, b->settings.name))
          return false;
    return true;
  }

  bool
  all_have (const std::string &service, uint64_t version) const
  {
    return std::all_of (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->task == nullptr || n->version (service) == version;
    });
  }

  bool
  until (const std::function<bool ()> &is_met)
  {
    while (!is_met () && !is_over)
      ev_run (loop, EVRUN_ONCE);
    return is_met ();
  }

  static void
  limit_cb (struct ev_loop *, ev_timer *watcher, int)
  {
    ((ControlFixture *)watcher->data)->is_over = true;
  }

  struct ev_loop *loop;
  fake_store store;
  std::vector<std::unique_ptr<node>> nodes;
  ev_timer limit;
  bool is_over = false;
};

#endif
