#include "node/control/tests/control_fixture.h"

class ControlTask : public ControlFixture
{
};

TEST_F (ControlTask, HostsConnectAndShareSettings)
{
  start (3);
  const uint64_t version
      = store.put ("service", "holds", service_text ("holds", 4));
  EXPECT_TRUE (until ([&] { return all_have ("holds", version); }));
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (), [] (const auto &n) {
      return n->set_size ("holds") == 3;
    });
  }));
  EXPECT_EQ (nodes[0]->sets["holds"], nodes[1]->sets["holds"]);
  const char *names[4];
  EXPECT_EQ (control_host_set (nodes[2]->task, "holds", names, 4), 3u);
}

/* The platform is down for long, and a host is replaced.  The new one must
   get the settings from its peers, in the highest versions, and serve. */
TEST_F (ControlTask, HostThatStartsInAnOutageLoadsFromPeers)
{
  start (2);
  store.put ("service", "holds", service_text ("holds", 4));
  const uint64_t version
      = store.put ("service", "holds", service_text ("holds", 5));
  ASSERT_TRUE (until ([&] { return all_have ("holds", version); }));
  for (auto &n : nodes)
    n->platform.is_down = true;
  node &late = add ("late", "d2", { nodes[0]->address, nodes[1]->address });
  late.platform.is_down = true;
  late.start (loop);
  EXPECT_FALSE (control_has_settings (late.task));
  EXPECT_TRUE (until ([&] { return late.version ("holds") == version; }));
  EXPECT_TRUE (control_has_settings (late.task));
  EXPECT_TRUE (until ([&] { return all_live (); }));
  EXPECT_TRUE (until ([&] { return nodes[0]->set_size ("holds") == 3; }));
}

/* A host is partitioned from its peers while a setting changes, and its own
   reads of the platform are old.  When the partition ends, it must apply the
   newer setting, and neither the host nor its peers may revert when the old
   one is read again.  Each node checks that its versions only grow. */
TEST_F (ControlTask, SettingNeverRevertsAfterAPartition)
{
  const uint64_t old
      = store.put ("service", "holds", service_text ("holds", 4));
  start (3);
  ASSERT_TRUE (until ([&] { return all_have ("holds", old); }));
  const fake_store snapshot = store;
  nodes[2]->stop ();
  const uint64_t now
      = store.put ("service", "holds", service_text ("holds", 6));
  const uint64_t gone = store.remove ("service", "gone");
  ASSERT_TRUE (until ([&] { return all_have ("holds", now); }));
  nodes[2]->platform.snapshot = &snapshot;
  nodes[2]->start (loop);
  EXPECT_TRUE (until ([&] { return nodes[2]->version ("holds") == now; }));
  EXPECT_EQ (control_apply_service (nodes[0]->task, "holds", old,
                                    service_text ("holds", 4).c_str ()),
             STATUS_REFUSED);
  EXPECT_EQ (control_apply_service (nodes[0]->task, "gone", gone,
                                    service_text ("gone", 4).c_str ()),
             STATUS_REFUSED);
  const uint64_t last
      = store.put ("service", "holds", service_text ("holds", 7));
  EXPECT_TRUE (until ([&] { return all_have ("holds", last); }));
}

/* A service is removed while no relay watches, and the platform has forgotten
   the removal: its list just lacks the service.  The service must not be
   served forever. */
TEST_F (ControlTask, MissedRemovalIsDetected)
{
  const uint64_t version
      = store.put ("service", "holds", service_text ("holds", 4));
  start (2);
  ASSERT_TRUE (until ([&] { return all_have ("holds", version); }));
  for (auto &n : nodes)
    n->platform.is_down = true;
  store.kinds["service"].erase ("holds");
  store.put ("service", "other", service_text ("other", 4));
  for (auto &n : nodes)
    n->platform.forgets_revisions = true;
  for (auto &n : nodes)
    n->platform.is_down = false;
  EXPECT_TRUE (until ([&] { return all_have ("holds", 0); }));
  for (auto &n : nodes)
    n->platform.forgets_revisions = false;
  EXPECT_TRUE (until ([&] { return nodes[0]->version ("other") > 0; }));
}

TEST_F (ControlTask, InvalidSettingIsRefusedAndTheOneInForceStays)
{
  start (2);
  const uint64_t good
      = store.put ("service", "holds", service_text ("holds", 4));
  ASSERT_TRUE (until ([&] { return all_have ("holds", good); }));
  store.put ("service", "holds", "{\"name\":\"holds\",\"targets\":7}");
  const uint64_t other
      = store.put ("service", "other", service_text ("other", 4));
  EXPECT_TRUE (until ([&] { return all_have ("other", other); }));
  EXPECT_TRUE (all_have ("holds", good));
  const uint64_t corrected
      = store.put ("service", "holds", service_text ("holds", 5));
  EXPECT_TRUE (until ([&] { return all_have ("holds", corrected); }));
}

/* An operator queries where a change is in force while one host is down.  The
   result counts the others and names the one without an answer. */
TEST_F (ControlTask, InForceResultNamesUnansweredHosts)
{
  start (3);
  const uint64_t version
      = store.put ("service", "holds", service_text ("holds", 4));
  ASSERT_TRUE (until ([&] { return all_have ("holds", version); }));
  struct result
  {
    bool is_done = false;
    size_t queried, in_force;
    std::vector<std::string> silent, behind;
  };
  const auto done = [] (void *owner, const control_in_force *r) {
    auto *to = (result *)owner;
    *to = { true, r->queried, r->in_force, {}, {} };
    to->silent.assign (r->unanswered, r->unanswered + r->unanswered_count);
    to->behind.assign (r->outdated, r->outdated + r->outdated_count);
  };
  result all, lacking, ahead;
  control_query_in_force (nodes[0]->task, "holds", version, 60000, done, &all);
  EXPECT_TRUE (until ([&] { return all.is_done; }));
  EXPECT_EQ (all.in_force, 3u);
  control_query_in_force (nodes[0]->task, "holds", version + 1, 60000, done,
                          &ahead);
  EXPECT_TRUE (until ([&] { return ahead.is_done; }));
  EXPECT_EQ (ahead.behind.size (), 3u);
  nodes[2]->stop ();
  control_query_in_force (nodes[0]->task, "holds", version, 3000, done,
                          &lacking);
  EXPECT_TRUE (until ([&] { return lacking.is_done; }));
  EXPECT_EQ (lacking.queried, 3u);
  EXPECT_EQ (lacking.in_force, 2u);
  EXPECT_EQ (lacking.silent, std::vector<std::string>{ "h2" });
}

TEST_F (ControlTask, KilledHostLeavesTheSets)
{
  start (3);
  store.put ("service", "holds", service_text ("holds", 4));
  ASSERT_TRUE (until ([&] { return nodes[0]->set_size ("holds") == 3; }));
  nodes[1]->stop ();
  EXPECT_TRUE (until ([&] {
    return nodes[0]->set_size ("holds") == 2
           && nodes[2]->set_size ("holds") == 2;
  }));
  EXPECT_FALSE (control_host_is_live (nodes[0]->task, "h1"));
  nodes[1]->start (loop);
  EXPECT_TRUE (until ([&] { return nodes[0]->set_size ("holds") == 3; }));
}

/* Another socket of the machine takes the address of a host that is stopped,
   so that the host can't be started again. */
TEST_F (ControlTask, AddressOfAStoppedHostStaysReserved)
{
  start (1);
  nodes[0]->stop ();
  const std::string &address = nodes[0]->address;
  sockaddr_in at = {};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port
      = htons ((uint16_t)std::stoi (address.substr (address.rfind (':') + 1)));
  const int other = socket (AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ (bind (other, (sockaddr *)&at, sizeof at), -1);
  EXPECT_EQ (errno, EADDRINUSE);
  nodes[0]->start (loop);
  close (other);
}

/* A host is shut down while the platform is down.  Its peers must learn of it
   at once and no longer hand it out, though it still answers. */
TEST_F (ControlTask, LeavingHostIsNoLongerHandedOut)
{
  start (3);
  store.put ("service", "holds", service_text ("holds", 4));
  ASSERT_TRUE (until ([&] { return nodes[0]->set_size ("holds") == 3; }));
  for (auto &n : nodes)
    n->platform.is_down = true;
  const bus_message message = { BUS_SHUTDOWN, {} };
  bus_post (nodes[1]->bus, &message);
  EXPECT_TRUE (until ([&] {
    return nodes[0]->set_size ("holds") == 2
           && nodes[1]->set_size ("holds") == 2
           && nodes[2]->set_size ("holds") == 2;
  }));
  nodes[1]->platform.is_down = false;
  EXPECT_TRUE (until ([&] {
    return store.kinds["host"]["h1"].value.find ("leaving")
           != std::string::npos;
  }));
  EXPECT_FALSE (control_host_is_live (nodes[0]->task, "h1"));
}

/* The response to the first write is lost after the write took effect.
   Written again, the platform would count a conflict; it is read back
   instead. */
TEST_F (ControlTask, LostResponseToTheRegistrationIsReadBack)
{
  node &n = add ("h0", "d0");
  n.platform.lost_responses = 1;
  n.start (loop);
  EXPECT_TRUE (until ([&] { return n.platform.gets == 1; }));
  EXPECT_TRUE (until ([&] { return !n.platform.has_call ("put"); }));
  EXPECT_EQ (n.platform.writes, 1);
  EXPECT_EQ (store.kinds["host"].count ("h0"), 1u);
}

/* A host without contact with the platform or a relay serves by old settings.
   It must report itself stale, not be handed out, and recover by itself. */
TEST_F (ControlTask, StaleHostIsNotHandedOutUntilItRecovers)
{
  node &n = add ("h0", "d0");
  n.start (loop);
  store.put ("service", "holds", service_text ("holds", 4));
  ASSERT_TRUE (until ([&] { return n.set_size ("holds") == 1; }));
  n.platform.is_down = true;
  EXPECT_TRUE (until ([&] { return control_is_stale (n.task); }));
  EXPECT_TRUE (until ([&] { return n.set_size ("holds") == 0; }));
  EXPECT_FALSE (control_host_is_live (n.task, "h0"));
  n.platform.is_down = false;
  store.put ("service", "holds", service_text ("holds", 5));
  EXPECT_TRUE (until ([&] { return n.set_size ("holds") == 1; }));
}

TEST_F (ControlTask, ReportsReachOtherHostsAndThisOne)
{
  start (2);
  std::vector<std::string> received;
  const auto handler
      = [] (void *owner, const char *from, const peer_message *message) {
          ((std::vector<std::string> *)owner)
              ->push_back (std::string (from) + ":"
                           + std::to_string (message->report.values[1]));
        };
  control_subscribe (nodes[0]->task, PEER_EVIDENCE, handler, &received);
  int64_t values[] = { 1, -9 };
  peer_message message = {};
  message.type = PEER_EVIDENCE;
  message.report.columns = 2;
  message.report.values = values;
  message.report.value_count = 2;
  EXPECT_EQ (control_send (nodes[0]->task, "h0", &message), STATUS_OK);
  EXPECT_TRUE (received.empty ());
  EXPECT_TRUE (until ([&] { return received.size () == 1; }));
  EXPECT_EQ (control_send (nodes[1]->task, "h0", &message), STATUS_OK);
  EXPECT_TRUE (until ([&] { return received.size () == 2; }));
  EXPECT_EQ (received, (std::vector<std::string>{ "h0:-9", "h1:-9" }));
  EXPECT_EQ (control_send (nodes[1]->task, "nobody", &message),
             STATUS_NOT_FOUND);
}
