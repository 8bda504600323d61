// Ejection tasks in one process; platform, network and clock are simulated.
#ifndef NODE_EJECTION_TESTS_EJECTION_FLEET_H
#define NODE_EJECTION_TESTS_EJECTION_FLEET_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <ev.h>

extern "C"
{
#include "base/hash.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/ejection/ejection_internal.h"
}

namespace
{
constexpr int host_count = 3;
constexpr int target_count = 6;
constexpr int step_ms = 10;
const char *const service_name = "holds";

int64_t fleet_now_ms = 1000;

int64_t
fleet_clock ()
{
  return fleet_now_ms;
}

// Objects of one kind in memory.  Calls end at the next step of the fleet.
struct fake_platform
{
  platform base; // first
  struct object
  {
    uint64_t version;
    std::string value;
  };
  std::map<std::string, object> objects;
  std::deque<std::pair<void *, std::function<void ()>>> calls;
  bool is_down = false;
  bool lose_next_write_answer = false;
  int writes = 0;
  std::set<std::string> write_texts;
};

fake_platform *
fake (platform *p)
{
  return reinterpret_cast<fake_platform *> (p);
}

void
end_call (fake_platform *p, platform_done *done, void *owner, status code,
          const std::string &name)
{
  const auto found = p->objects.find (name);
  platform_object object = { name.c_str (), 0, nullptr };
  if (found != p->objects.end ())
    object = { name.c_str (), found->second.version,
               found->second.value.c_str () };
  const bool has_object = object.value != nullptr
                          && (code == STATUS_OK || code == STATUS_REFUSED);
  const platform_reply reply = { code,       "simulated result",
                                 0,          has_object ? &object : nullptr,
                                 has_object, false };
  done (owner, &reply);
}

void
fake_get (platform *base, const char *kind, const char *name,
          platform_done *done, void *owner)
{
  fake_platform *p = fake (base);
  const std::string key = name;
  p->calls.emplace_back (owner, [=] {
    const status code = p->is_down               ? STATUS_UNREACHABLE
                        : p->objects.count (key) ? STATUS_OK
                                                 : STATUS_NOT_FOUND;
    end_call (p, done, owner, code, key);
  });
}

status
write_object (fake_platform *p, const std::string &key, uint64_t expected,
              const std::string &value)
{
  auto &object = p->objects[key];
  if (object.version != expected)
    return STATUS_REFUSED;
  object = { object.version + 1, value };
  p->writes++;
  p->write_texts.insert (value);
  const bool lost = p->lose_next_write_answer;
  p->lose_next_write_answer = false;
  return lost ? STATUS_LOST_ANSWER : STATUS_OK;
}

void
fake_put (platform *base, const char *kind, const char *name,
          uint64_t expected, const char *value, platform_done *done,
          void *owner)
{
  fake_platform *p = fake (base);
  const std::string key = name, text = value;
  p->calls.emplace_back (owner, [=] {
    const status code = p->is_down ? STATUS_UNREACHABLE
                                   : write_object (p, key, expected, text);
    end_call (p, done, owner, code, key);
  });
}

void
fake_cancel (platform *base, void *owner)
{
  for (auto &call : fake (base)->calls)
    if (call.first == owner)
      call.second = [] {};
}

const platform_ops fake_platform_ops
    = { fake_get, nullptr, fake_put, nullptr, fake_cancel, nullptr };

struct fleet;

struct fleet_host
{
  ejection_transport transport; // first
  fleet *parent;
  std::string name;
  host_settings settings;
  bus *messages = nullptr;
  ejection_task *task = nullptr;
  detection_recorder *recorder = nullptr;
  std::set<std::string> ejected;
  std::set<std::string> avoided;
  std::set<std::string>
      failing_from_here; // targets that fail for this host only
  slot_share share = {};
  int share_posts = 0; // number of BUS_SLOT_SHARES posted
  uint32_t demand = 0;
  bool suspended = false;
};

status fleet_send (ejection_transport *transport, const char *to,
                   const peer_message *message);
const ejection_transport_ops fleet_transport_ops = { fleet_send };

struct fleet
{
  struct ev_loop *loop = ev_loop_new (0);
  fake_platform platform;
  counters *metrics = counters_create ();
  fleet_host hosts[host_count];
  struct packet
  {
    int from, to;
    std::string bytes;
  };
  std::deque<packet> packets;
  bool link_down[host_count][host_count] = {};
  uint32_t max_enforce_ms = 0; // longest enforcement time announced
  bool duplicate = false;      // each packet is delivered twice
  uint32_t floor_capacity = 12;
  int set_size = host_count; // number of hosts in the service's set
  uint64_t spec_version = 0;
  int64_t started_ms = 0; // of the processes of all targets
  std::map<std::string, uint64_t> target_keys;

  fleet ()
  {
    platform.base.ops = &fake_platform_ops;
    for (int i = 0; i < host_count; i++)
      start (i);
    set_floor (floor_capacity);
  }

  ~fleet ()
  {
    for (int i = 0; i < host_count; i++)
      stop (i);
    counters_destroy (metrics);
    ev_loop_destroy (loop);
  }

  void
  start (int i)
  {
    fleet_host &h = hosts[i];
    h.transport.ops = &fleet_transport_ops;
    h.parent = this;
    h.name = "host-" + std::to_string (i);
    host_settings_defaults (&h.settings);
    snprintf (h.settings.name, sizeof h.settings.name, "%s", h.name.c_str ());
    snprintf (h.settings.dc, sizeof h.settings.dc, "dc-%d", i);
    h.settings.times.enforce_ms = 1000;
    h.settings.times.owner_lease_ms = 600;
    h.settings.times.evidence_ms = 40;
    h.settings.times.platform_timeout_ms = 200;
    h.settings.times.outage_hold_ms = 20000;
    h.messages = bus_create (loop);
    h.recorder = detection_recorder_create ();
    ejection_task_options options = {};
    options.loop = loop;
    options.bus = h.messages;
    options.settings = &h.settings;
    options.platform = &platform.base;
    options.counters = metrics;
    options.transport = &h.transport;
    options.recorder = [] (void *owner, const char *) {
      return static_cast<fleet_host *> (owner)->recorder;
    };
    options.demand = [] (void *owner, const char *) {
      return static_cast<fleet_host *> (owner)->demand;
    };
    options.recorder_owner = &h;
    options.incarnation = hash_pair (fleet_now_ms, i) | 1;
    options.now_ms = fleet_clock;
    h.task = ejection_task_create (&options);
    // step() invokes the ticks by the simulated clock.
    ev_timer_stop (loop, &h.task->tick_timer);
    bus_subscribe (
        h.messages, BUS_EJECTIONS,
        [] (void *owner, const bus_message *m) {
          auto *host = static_cast<fleet_host *> (owner);
          host->ejected.clear ();
          for (size_t k = 0; k < m->ejections.count; k++)
            host->ejected.insert (m->ejections.targets[k]);
        },
        &h);
    bus_subscribe (
        h.messages, BUS_SLOT_SHARES,
        [] (void *owner, const bus_message *m) {
          auto *host = static_cast<fleet_host *> (owner);
          host->share = m->slot_shares.share;
          host->share_posts++;
        },
        &h);
    bus_subscribe (
        h.messages, BUS_PATH_FAULTS,
        [] (void *owner, const bus_message *m) {
          auto *host = static_cast<fleet_host *> (owner);
          host->avoided.clear ();
          for (size_t k = 0; k < m->path_faults.count; k++)
            host->avoided.insert (m->path_faults.targets[k]);
        },
        &h);
    post_hosts (i);
    if (spec_version > 0)
      post_spec (i);
  }

  void
  stop (int i)
  {
    fleet_host &h = hosts[i];
    ejection_task_destroy (h.task);
    if (h.messages != nullptr)
      bus_destroy (h.messages);
    detection_recorder_destroy (h.recorder);
    h.task = nullptr;
    h.messages = nullptr;
    h.recorder = nullptr;
    h.ejected.clear ();
    h.share = {};
  }

  void
  post_hosts (int i)
  {
    bus_message m = {};
    m.topic = BUS_HOST_SET;
    snprintf (m.host_set.service, SERVICE_NAME_SIZE, "%s", service_name);
    m.host_set.self = true;
    m.host_set.count = set_size;
    m.host_set.hosts
        = (bus_host_entry *)xcalloc (set_size, sizeof *m.host_set.hosts);
    for (int k = 0; k < set_size; k++)
      snprintf (m.host_set.hosts[k].name, SERVICE_NAME_SIZE, "host-%d", k);
    bus_post (hosts[i].messages, &m);
  }

  void
  post_spec (int i)
  {
    std::string targets, routes;
    std::vector<uint64_t> keys;
    for (int k = 0; k < target_count; k++)
      {
        targets += (k > 0 ? "," : "") + std::string ("{\"name\":\"t")
                   + std::to_string (k)
                   + "\",\"address\":\"127.0.0.1:" + std::to_string (9001 + k)
                   + "\",\"dc\":\"dc-0\",\"slots\":4,\"capacity\":4,"
                     "\"connections\":9}";
      }
    const std::string text
        = std::string ("{\"name\":\"holds\",\"floor_capacity\":")
          + std::to_string (floor_capacity) + ",\"targets\":[" + targets
          + "],\"routes\":[{\"path_prefix\":\"/\",\"methods\":[\"GET\"]}]}";
    bus_message m = {};
    m.topic = BUS_SERVICE_IN_FORCE;
    if (service_spec_parse ("test", text.c_str (), spec_version,
                            &m.service_in_force.spec)
        != STATUS_OK)
      {
        fprintf (stderr, "%s\n", status_message ());
        abort ();
      }
    for (int k = 0; k < target_count; k++)
      {
        target_spec &target = m.service_in_force.spec->targets[k];
        target.started_ms = started_ms;
        keys.push_back (service_spec_target_key (service_name, &target));
        target_keys[target.name] = keys.back ();
      }
    detection_recorder_set_targets (hosts[i].recorder, keys.data (),
                                    keys.size ());
    bus_post (hosts[i].messages, &m);
  }

  void
  set_floor (uint32_t capacity)
  {
    floor_capacity = capacity;
    spec_version++;
    for (int i = 0; i < host_count; i++)
      if (hosts[i].task != nullptr)
        post_spec (i);
  }

  // Records a request of each host to each target.  Requests to targets in
  // FAILING fail.
  void
  record_requests (const std::set<std::string> &failing)
  {
    for (auto &h : hosts)
      for (int k = 0; k < target_count && h.task != nullptr; k++)
        {
          const std::string t = "t" + std::to_string (k);
          if (h.ejected.count (t) == 0 && !h.suspended)
            detection_recorder_record (h.recorder, target_keys.at (t),
                                       failing.count (t)
                                               || h.failing_from_here.count (t)
                                           ? ATTEMPT_FAILED
                                           : ATTEMPT_ANSWERED,
                                       1500);
        }
  }

  void
  deliver ()
  {
    std::deque<packet> undelivered;
    std::deque<packet> to_deliver;
    to_deliver.swap (packets);
    for (auto &p : to_deliver)
      {
        fleet_host &h = hosts[p.to];
        peer_message message;
        if (h.task == nullptr || link_down[p.from][p.to])
          continue;
        if (h.suspended)
          {
            undelivered.push_back (p);
            continue;
          }
        if (peer_message_decode (p.bytes.data (), p.bytes.size (), &message)
            != STATUS_OK)
          abort ();
        ejection_notice notice;
        if (message.type == PEER_DECISION
            && ejection_read_notice (&message.report, &notice))
          {
            max_enforce_ms = std::max (max_enforce_ms, notice.enforce_ms);
            free ((void *)notice.trial_permille);
          }
        for (int copy = 0; copy < (duplicate ? 2 : 1); copy++)
          ejection_task_receive (h.task, hosts[p.from].name.c_str (),
                                 &message);
        peer_message_release (&message);
      }
    packets.insert (packets.begin (), undelivered.begin (),
                    undelivered.end ());
  }

  void
  step ()
  {
    fleet_now_ms += step_ms;
    auto calls = std::move (platform.calls);
    platform.calls.clear ();
    for (auto &call : calls)
      call.second ();
    deliver ();
    for (auto &h : hosts)
      if (h.task != nullptr && !h.suspended)
        ev_invoke (loop, &h.task->tick_timer, EV_TIMER);
    ev_run (loop, EVRUN_NOWAIT);
  }

  // Runs until DONE, for at most MS of simulated time.
  bool
  run_until (int ms, const std::function<bool ()> &done,
             const std::set<std::string> &failing = {})
  {
    for (int t = 0; t < ms; t += step_ms)
      {
        record_requests (failing);
        step ();
        update_max_ejected ();
        if (done ())
          return true;
      }
    return false;
  }

  void
  run (int ms, const std::set<std::string> &failing = {})
  {
    run_until (
        ms, [] { return false; }, failing);
  }

  int max_ejected_capacity = 0; // of targets ejected at one host or more

  void
  update_max_ejected ()
  {
    std::set<std::string> ejected;
    for (auto &h : hosts)
      ejected.insert (h.ejected.begin (), h.ejected.end ());
    max_ejected_capacity
        = std::max (max_ejected_capacity, 4 * (int)ejected.size ());
  }

  ejection_service *
  service (int i)
  {
    return ejection_find_service (hosts[i].task, service_name);
  }

  // The index of the host that acts as owner; -1: none or several.
  int
  owner ()
  {
    int found = -1;
    for (int i = 0; i < host_count; i++)
      if (hosts[i].task != nullptr && !hosts[i].suspended
          && service (i) != nullptr && service (i)->role == FLOOR_ROLE_OWNER)
        found = found < 0 ? i : host_count;
    return found == host_count ? -1 : found;
  }

  bool
  ejected_everywhere (const std::string &target)
  {
    for (auto &h : hosts)
      if (h.task != nullptr && !h.suspended && h.ejected.count (target) == 0)
        return false;
    return true;
  }

  bool
  ejected_nowhere (const std::string &target)
  {
    for (auto &h : hosts)
      if (h.ejected.count (target) != 0)
        return false;
    return true;
  }
};

status
fleet_send (ejection_transport *transport, const char *to,
            const peer_message *message)
{
  auto *from = reinterpret_cast<fleet_host *> (transport);
  fleet *parent = from->parent;
  for (int i = 0; i < host_count; i++)
    if (parent->hosts[i].name == to)
      {
        size_t size;
        char *bytes = peer_message_encode (message, &size);
        parent->packets.push_back (
            { (int)(from - parent->hosts), i, std::string (bytes, size) });
        free (bytes);
        return STATUS_OK;
      }
  return STATUS_NOT_FOUND;
}
}

#endif
