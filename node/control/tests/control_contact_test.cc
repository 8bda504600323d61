#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "wire/peer/peer_conn.h"
#include "wire/peer/peer_link.h"
#include "wire/peer/peer_server.h"
}

namespace
{

constexpr double observed_s = 1.0;
constexpr int64_t age_min_ms = 800;

/* Another host as the task under test sees it: it has just had contact with
   the platform, and sends what the test says. */
class FakeHost
{
public:
  FakeHost (struct ev_loop *loop, const std::string &other_address)
  {
    EXPECT_EQ (peer_secret_load ("", &identity_.secret), STATUS_OK);
    peer_hello &hello = identity_.hello;
    hello.incarnation = 1;
    strcpy (hello.name, "fake");
    strcpy (hello.dc, "d0");
    strcpy (hello.peer_address, reserved_.text ().c_str ());
    strcpy (hello.caller_address, "127.0.0.1:1");
    strcpy (hello.operator_address, "127.0.0.1:2");
    server_events_.message = on_server_message;
    peer_server_options server{};
    server.loop = loop;
    server.identity = &identity_;
    server.events = &server_events_;
    server.owner = this;
    server.address = hello.peer_address;
    EXPECT_EQ (peer_server_create (&server, &server_), STATUS_OK);
    link_events_.ready = [] (void *, peer_link *) {};
    link_events_.message = [] (void *, peer_link *, const peer_message *) {};
    peer_link_options link{};
    link.loop = loop;
    link.identity = &identity_;
    link.events = &link_events_;
    link.owner = this;
    link.address = other_address.c_str ();
    link.name = "";
    link_ = peer_link_create (&link);
  }

  ~FakeHost ()
  {
    peer_link_destroy (link_);
    peer_server_destroy (server_);
  }

  bool
  is_ready () const
  {
    return peer_link_is_ready (link_);
  }

  void
  send_heartbeat ()
  {
    peer_message message{};
    message.type = PEER_HEARTBEAT;
    message.heartbeat.sequence = 1;
    message.heartbeat.return_requested = true;
    message.heartbeat.settings_hash = settings_hash;
    peer_link_send (link_, &message);
  }

  bool answers = false;
  uint64_t settings_hash = 0;
  int answered = 0;

private:
  static void
  on_server_message (void *owner, peer_conn *conn, const peer_message *message)
  {
    auto *self = static_cast<FakeHost *> (owner);
    if (message->type != PEER_HEARTBEAT)
      return;
    if (!self->answers)
      return;
    peer_message answer{};
    answer.type = PEER_HEARTBEAT_ACK;
    answer.heartbeat.sequence = message->heartbeat.sequence;
    answer.heartbeat.settings_hash = self->settings_hash != 0
                                         ? self->settings_hash
                                         : message->heartbeat.settings_hash;
    answer.heartbeat.config_age_ms = FRESHNESS_AGE_UNKNOWN_MS;
    peer_conn_send (conn, &answer);
    self->answered++;
  }

  reserved_address reserved_;
  peer_identity identity_{};
  peer_conn_events server_events_{};
  peer_link_events link_events_{};
  peer_server *server_ = nullptr;
  peer_link *link_ = nullptr;
};

class ControlContact : public ControlFixture
{
protected:
  ControlContact ()
  {
    node &n = add ("h0", "d0");
    n.settings.modes.has_registry = true;
    n.settings.modes.all_watch_registry = true;
    n.settings.relays_per_dc = 0; /* a relay counts its own contact only */
    n.platform.is_down = true;
    n.start (loop);
    host = std::make_unique<FakeHost> (loop, n.address);
    EXPECT_TRUE (until ([&] { return host->is_ready (); }));
  }

  /* The task's age of contact after the other host has sent heartbeats all the
     time for a while. */
  int64_t
  age_after_heartbeats ()
  {
    const double end = ev_now (loop) + observed_s;
    EXPECT_TRUE (until ([&] {
      host->send_heartbeat ();
      return ev_now (loop) >= end;
    }));
    return control_contact_age_ms (nodes[0]->task);
  }

  std::unique_ptr<FakeHost> host;
};

/* Guards against old settings that look new: a heartbeat may have waited in a
   buffer for as long as this host stood still. */
TEST_F (ControlContact, HeartbeatOfAnotherHostIsNone)
{
  EXPECT_GE (age_after_heartbeats (), age_min_ms);
}

/* Guards against a host that goes on with old settings because others, which
   have newer ones, are in contact with the platform. */
TEST_F (ControlContact, AnswerOfAHostWithOtherSettingsIsNone)
{
  host->answers = true;
  host->settings_hash = 12345;
  EXPECT_GE (age_after_heartbeats (), age_min_ms);
  EXPECT_GT (host->answered, 0);
}

TEST_F (ControlContact, AnswerOfAHostWithTheSameSettingsIsOne)
{
  host->answers = true;
  EXPECT_LT (age_after_heartbeats (), age_min_ms);
  EXPECT_GT (host->answered, 0);
}

} // namespace
