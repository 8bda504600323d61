#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "base/hash.h"
#include "node/control/control_internal.h"
}

namespace
{
class ControlCleanup : public ControlFixture
{
protected:
  enum
  {
    FORGET_MS = 1200,
  };

  node &
  add_quick (const std::string &name, const std::string &dc,
             const std::vector<std::string> &seeds = {})
  {
    node &n = add (name, dc, seeds);
    n.settings.times.forget_after_ms = FORGET_MS;
    n.settings.times.watch_ms = 300;
    return n;
  }

  void
  start_quick (int from, int to)
  {
    for (int i = from; i < to; i++)
      add_quick ("h" + std::to_string (i), "d" + std::to_string (i))
          .start (loop);
    ASSERT_TRUE (until ([&] { return all_live (); }));
  }

  /* Stores the record of a host that can't be reached. */
  void
  put_record (const std::string &name, uint64_t incarnation, bool leaving)
  {
    host_record record = {};
    strcpy (record.name, name.c_str ());
    strcpy (record.dc, "d0");
    strcpy (record.caller_address, "127.0.0.1:1");
    strcpy (record.peer_address, "127.0.0.1:1");
    record.incarnation = incarnation;
    record.leaving = leaving;
    char *text = host_record_format (&record);
    store.put ("host", name, text);
    free (text);
  }

  bool
  has_record (const std::string &name)
  {
    const auto &kind = store.kinds["host"];
    const auto found = kind.find (name);
    return found != kind.end () && !found->second.removed;
  }

  size_t
  record_count ()
  {
    size_t count = 0;
    for (const auto &[name, object] : store.kinds["host"])
      count += !object.removed;
    return count;
  }

  bool
  knows (const node &n, const char *name) const
  {
    return control_hosts_by_name (n.task, name) != nullptr;
  }

  bool
  all_forgot (const char *name) const
  {
    return std::none_of (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->task != nullptr && knows (*n, name);
    });
  }

  bool
  is_dead (const node &n, const char *name) const
  {
    const control_host *host = control_hosts_by_name (n.task, name);
    return host == nullptr
           || membership_state (n.task->membership, host->key) == MEMBER_DEAD;
  }

  int64_t
  forgotten_count () const
  {
    int64_t sum = 0;
    for (const auto &n : nodes)
      if (n->task != nullptr)
        sum += n->task->cleanup.forgotten_total->value;
    return sum;
  }

  void
  run_for (int64_t wait_ms)
  {
    const int64_t end_ms = clock_now_ms () + wait_ms;
    until ([&] { return clock_now_ms () >= end_ms; });
  }
};
}

/* A host fails permanently, and nobody deletes its record, so each host would
   list it forever.  One relay removes the record, all hosts remove the host,
   and a host that starts during a platform outage gets no tombstone to pass
   on. */
TEST_F (ControlCleanup, DeadHostIsRemoved)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  EXPECT_TRUE (until ([&] { return !has_record ("h1"); }));
  EXPECT_TRUE (until ([&] { return all_forgot ("h1"); }));
  EXPECT_EQ (forgotten_count (), 1);
  EXPECT_EQ (record_count (), 2u);
  store.put ("service", "holds", service_text ("holds", 4));
  node &late
      = add_quick ("late", "d9", { nodes[0]->address, nodes[2]->address });
  late.platform.is_down = true;
  late.start (loop);
  EXPECT_TRUE (until ([&] {
    return late.version ("holds") > 0
           && settings_index_hash (late.task->index)
                  == settings_index_hash (nodes[0]->task->index);
  }));
  EXPECT_EQ (late.task->tombstone_count, 0u);
}

/* A host registers again just before its old record is removed.  It must stay
   listed: the removal is refused. */
TEST_F (ControlCleanup, HostThatRegistersAgainKeepsItsRecord)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  int removals = 0;
  const auto register_again = [&] (const fake_platform::call &c) {
    if (c.removes && c.name == "h1" && removals++ == 0)
      put_record ("h1", UINT64_C (1) << 62, false);
  };
  nodes[0]->platform.before_put = register_again;
  nodes[2]->platform.before_put = register_again;
  EXPECT_TRUE (until ([&] { return removals > 0; }));
  run_for (200);
  EXPECT_TRUE (has_record ("h1"));
  EXPECT_EQ (forgotten_count (), 0);
  EXPECT_EQ (removals, 1);
}

/* A dead host restarts under its name and is live when the first wait would
   end.  An interrupted wait must not remove its record. */
TEST_F (ControlCleanup, RestartOfAHostEndsTheWait)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  EXPECT_TRUE (until (
      [&] { return is_dead (*nodes[0], "h1") && is_dead (*nodes[2], "h1"); }));
  nodes[1]->start (loop);
  EXPECT_TRUE (until ([&] { return all_live (); }));
  run_for (2 * FORGET_MS);
  EXPECT_EQ (forgotten_count (), 0);
  EXPECT_EQ (nodes[1]->platform.writes, 2);
}

/* A network partition in which the smaller side reaches the platform but none
   of the other hosts.  It must not remove their records.  Once it is the
   larger side again, it may. */
TEST_F (ControlCleanup, MinorityRemovesNoHost)
{
  start_quick (0, 5);
  for (int i = 2; i < 5; i++)
    nodes[i]->stop ();
  EXPECT_TRUE (until ([&] {
    return is_dead (*nodes[0], "h2") && is_dead (*nodes[0], "h3")
           && is_dead (*nodes[0], "h4");
  }));
  run_for (2 * FORGET_MS);
  EXPECT_EQ (record_count (), 5u);
  EXPECT_EQ (forgotten_count (), 0);
  start_quick (5, 7);
  EXPECT_TRUE (until ([&] { return record_count () == 4; }));
}

/* The platform is down, and then the responses to removals are lost.  Nothing
   needs to be read back or may be missed: the watch shows that the record is
   gone. */
TEST_F (ControlCleanup, LostResponseToARemovalIsNotReadBack)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  for (int i : { 0, 2 })
    nodes[i]->platform.is_down = true;
  EXPECT_TRUE (until ([&] { return is_dead (*nodes[0], "h1"); }));
  for (int i : { 0, 2 })
    nodes[i]->platform.lost_responses = 1;
  const int gets = nodes[0]->platform.gets + nodes[2]->platform.gets;
  for (int i : { 0, 2 })
    nodes[i]->platform.is_down = false;
  EXPECT_TRUE (until ([&] { return !has_record ("h1"); }));
  EXPECT_TRUE (until ([&] { return all_forgot ("h1"); }));
  EXPECT_EQ (nodes[0]->platform.gets + nodes[2]->platform.gets, gets);
}

/* The platform doesn't answer.  No removal may be attempted because
   of an old response to the watch. */
TEST_F (ControlCleanup, NoRemovalDuringAPlatformOutage)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  for (int i : { 0, 2 })
    nodes[i]->platform.is_down = true;
  EXPECT_TRUE (until ([&] { return is_dead (*nodes[0], "h1"); }));
  EXPECT_TRUE (until ([&] { return is_dead (*nodes[2], "h1"); }));
  /* Let the watches fail and the wait end, but don't let the hosts become
     stale. */
  for (int i : { 0, 2 })
    nodes[i]->settings.times.stale_after_ms = 60000;
  const auto is_due = [&] {
    const auto *host = control_hosts_by_name (nodes[0]->task, "h1");
    return clock_now_ms () - host->gone_since_ms > 2 * FORGET_MS;
  };
  EXPECT_TRUE (until (is_due));
  EXPECT_EQ (nodes[0]->platform.removals + nodes[2]->platform.removals, 0);
}

/* A relay is suspended while a host is dead for it, and resumes much later.
   The host may have come back since, so the wait must start again. */
TEST_F (ControlCleanup, SuspendedRelayWaitsAgain)
{
  start_quick (0, 3);
  nodes[1]->stop ();
  for (int i : { 0, 2 })
    nodes[i]->settings.times.forget_after_ms = 60000;
  EXPECT_TRUE (until (
      [&] { return is_dead (*nodes[0], "h1") && is_dead (*nodes[2], "h1"); }));
  for (int i : { 0, 2 })
    {
      control_task *task = nodes[i]->task;
      const int64_t now_ms = clock_now_ms ();
      task->cleanup.last_tick_ms = now_ms - 70000;
      control_hosts_by_name (task, "h1")->gone_since_ms = now_ms - 70000;
      control_cleanup_tick (task, now_ms);
      EXPECT_FALSE (nodes[i]->platform.has_call ("put"));
    }
}

/* The record of a live host is removed by mistake, and then repeatedly.  It
   must be restored at once, but not be rewritten as fast as possible. */
TEST_F (ControlCleanup, WronglyRemovedHostRegistersAgain)
{
  start_quick (0, 3);
  store.remove ("host", "h1");
  const int64_t start_ms = clock_now_ms ();
  EXPECT_TRUE (until ([&] { return has_record ("h1"); }));
  EXPECT_LT (nodes[1]->task->registration.restore_backoff_ms, 1u);
  EXPECT_TRUE (until ([&] {
    const auto *host = control_hosts_by_name (nodes[0]->task, "h1");
    return host != nullptr && host->is_listed
           && control_host_is_live (nodes[0]->task, "h1");
  }));
  const int before = nodes[1]->platform.writes;
  EXPECT_TRUE (until ([&] {
    if (has_record ("h1"))
      store.remove ("host", "h1");
    return clock_now_ms () - start_ms > 3000;
  }));
  EXPECT_LE (nodes[1]->platform.writes - before, 9);
  EXPECT_TRUE (until ([&] { return has_record ("h1"); }));
}

/* A thousand hosts were replaced under new names within hours.  What each
   host stores, counts and hashes must not grow with them. */
TEST_F (ControlCleanup, ThousandReplacedHostsLeaveBoundedState)
{
  store.put ("service", "gone", service_text ("gone", 4));
  for (int i = 0; i < 1000; i++)
    put_record ("r" + std::to_string (i), 1, true);
  start_quick (0, 3);
  store.remove ("service", "gone");
  EXPECT_GT (HASH_COUNT (nodes[0]->task->objects), 1000u);
  for (auto &n : nodes)
    n->platform.delays_removals = true;
  run_for (2 * FORGET_MS);
  for (auto &n : nodes)
    {
      EXPECT_EQ (n->platform.removals, 1) << "one at a time";
      n->platform.delays_removals = false;
    }
  EXPECT_TRUE (until ([&] { return record_count () == 3; }));
  EXPECT_EQ (forgotten_count (), 1000);
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (), [] (const auto &n) {
      const control_task *task = n->task;
      return task->tombstone_count == 0 && HASH_COUNT (task->hosts) == 3
             && HASH_COUNT (task->objects) == 4
             && settings_index_count (task->index) == 4;
    });
  }));
}

/* A peer reconnects after all tombstones have expired and still has the
   record of a removed host, which it offers.  No host may list the removed one
   again, and the peer removes it once it reads the platform. */
TEST_F (ControlCleanup, LateOfferDoesNotRestoreAHost)
{
  put_record ("r0", 1, false);
  const fake_store snapshot = store;
  put_record ("r0", 1, true);
  start_quick (0, 3);
  EXPECT_TRUE (until ([&] { return !has_record ("r0"); }));
  EXPECT_TRUE (until ([&] {
    return all_forgot ("r0") && nodes[0]->task->tombstone_count == 0
           && nodes[1]->task->tombstone_count == 0
           && nodes[2]->task->tombstone_count == 0;
  }));
  node &late = add_quick ("late", "d9");
  late.platform.snapshot = &snapshot;
  late.start (loop);
  EXPECT_TRUE (until ([&] { return all_live (); }));
  EXPECT_TRUE (knows (late, "r0"));
  EXPECT_TRUE (until ([&] {
    for (int i = 0; i < 3; i++)
      EXPECT_FALSE (knows (*nodes[i], "r0"));
    return is_dead (late, "r0") || HasFailure ();
  }));
  late.platform.snapshot = nullptr;
  EXPECT_TRUE (until ([&] { return !knows (late, "r0"); }));
}

/* A host that has removed another one can't tell it from a new one that a peer
   reports.  A membership update about a dead host must therefore not add it
   again; one about a live host must. */
TEST_F (ControlCleanup, GossipOfADeadHostAddsNoHost)
{
  start_quick (0, 2);
  peer_member_update update = {};
  strcpy (update.name, "old");
  strcpy (update.dc, "d0");
  strcpy (update.peer_address, "127.0.0.1:1");
  update.host_key = hash_string ("old");
  update.incarnation = 1;
  update.state = MEMBER_DEAD;
  peer_message message = {};
  message.type = PEER_MEMBERS;
  message.members.updates = &update;
  message.members.count = 1;
  const control_source source
      = { control_hosts_by_name (nodes[0]->task, "h1"), nullptr, nullptr };
  control_receive (nodes[0]->task, &source, &message);
  EXPECT_FALSE (knows (*nodes[0], "old"));
  update.state = MEMBER_LIVE;
  control_receive (nodes[0]->task, &source, &message);
  EXPECT_TRUE (knows (*nodes[0], "old"));
}

/* Tombstones that each new host accepts from an older one and passes on would
   never expire.  One for an unknown host has no effect and is refused; one for
   a known host must be applied. */
TEST_F (ControlCleanup, TombstoneIsAcceptedForAKnownHostOnly)
{
  start_quick (0, 2);
  control_task *task = nodes[0]->task;
  peer_message message = {};
  message.type = PEER_SETTINGS_PUSH;
  message.push.version = UINT64_C (1) << 40;
  strcpy (message.push.kind, "host");
  strcpy (message.push.name, "unknown");
  const control_source source
      = { control_hosts_by_name (task, "h1"), nullptr, nullptr };
  const size_t held = settings_index_count (task->index);
  control_receive (task, &source, &message);
  EXPECT_EQ (task->tombstone_count, 0u);
  EXPECT_EQ (settings_index_count (task->index), held);
  strcpy (message.push.name, "h1");
  ASSERT_TRUE (
      until ([&] { return control_hosts_by_name (task, "h1")->is_listed; }));
  control_receive (task, &source, &message);
  EXPECT_EQ (task->tombstone_count, 1u);
  EXPECT_FALSE (control_hosts_by_name (task, "h1")->is_listed);
}

/* A delayed update reports a removed host live, the next one dead.  Once the
   host is removed, it must no longer be gossiped about. */
TEST_F (ControlCleanup, RemovedHostIsNotGossiped)
{
  start_quick (0, 2);
  control_task *task = nodes[0]->task;
  const uint64_t key = hash_string ("r0");
  put_record ("r0", 1, false);
  ASSERT_TRUE (until ([&] {
    return knows (*nodes[0], "r0")
           && control_hosts_find (task, key)->is_listed;
  }));
  const uint64_t version = store.sequence;
  control_settings_apply (task, "host", "r0", version + 1, nullptr, "test");
  peer_member_update update = {};
  update.host_key = key;
  update.incarnation = 2;
  peer_message message = {};
  message.type = PEER_MEMBERS;
  message.members.updates = &update;
  message.members.count = 1;
  const control_source source
      = { control_hosts_by_name (task, "h1"), nullptr, nullptr };
  control_receive (task, &source, &message);
  update.state = MEMBER_DEAD;
  update.counter = 1;
  control_receive (task, &source, &message);
  EXPECT_TRUE (until ([&] { return !knows (*nodes[0], "r0"); }));
  member_update updates[CONTROL_GOSSIP_UPDATES_MAX];
  for (int i = 0; i < 200; i++)
    {
      const size_t count = membership_gossip (task->membership, updates,
                                              CONTROL_GOSSIP_UPDATES_MAX);
      for (size_t v = 0; v < count; v++)
        ASSERT_NE (updates[v].key, key);
    }
}
