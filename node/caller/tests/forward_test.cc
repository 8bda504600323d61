/* Requests that a host passes on whole, since it is cut from all targets. */
#include "node/caller/tests/raw_target.h"
#include "node/caller/tests/two_hosts_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "base/clock.h"
#include "base/digest.h"
}

namespace
{

/* A listening socket whose queue is full, so that connections to it hang. */
class SilentListener
{
public:
  SilentListener ()
  {
    sockaddr_in any = {};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof at_;
    bind (fds_[0], reinterpret_cast<sockaddr *> (&any), sizeof any);
    listen (fds_[0], 0);
    getsockname (fds_[0], reinterpret_cast<sockaddr *> (&at_), &size);
    for (int i = 1; i < socket_count; i++)
      connect (fds_[i], reinterpret_cast<sockaddr *> (&at_), sizeof at_);
  }

  ~SilentListener ()
  {
    for (int fd : fds_)
      close (fd);
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (ntohs (at_.sin_port));
  }

private:
  static constexpr int socket_count = 3;

  static int
  make_socket ()
  {
    return socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }

  const int fds_[socket_count]
      = { make_socket (), make_socket (), make_socket () };
  sockaddr_in at_ = {};
};

/* The host of the fixture, whose addresses of targets lead nowhere, and
   another one that reaches them. */
class ForwardTest : public TwoHostsTest
{
protected:
  void
  SetUp () override
  {
    TwoHostsTest::SetUp ();
    put_hosts ({ host ("host-1", caller_task_address (task)),
                 host ("host-2", caller_task_address (other)) });
    put_target (the_bus, "127.0.0.1:1"); /* nothing listens there */
    put_target (other_bus, target_server_address (target));
  }

  void
  put_target (struct bus *bus, const std::string &address)
  {
    put_targets (bus, { { "t1", address } });
  }

  bool
  is_cut () const
  {
    return exposed ().find ("\njaystair_cut_from_targets 1")
           != std::string::npos;
  }

  /* The host has found that it is cut. */
  void
  find_cut ()
  {
    get ("/calendar", "first");
    ASSERT_TRUE (run_until ([this] { return is_cut (); }));
  }
};

/* A cut host would use up the attempts of each request on targets that it
   can't connect to. */
TEST_F (ForwardTest, AnotherHostServesTheRequest)
{
  find_cut ();
  for (const char *method : { "GET", "POST" })
    {
      const std::string id = std::string ("whole-") + method;
      auto call = make (method, "/calendar", id);
      finish (call.get ());
      EXPECT_EQ (call->status, 200) << call->answer;
      EXPECT_EQ (call->answer.rfind ("t1 " + id, 0), 0u) << call->answer;
      EXPECT_EQ (call->field ("jaystair-outcome"), "ran");
      EXPECT_EQ (target_server_runs (target, id.c_str ()), 1u);
    }
}

/* A body that arrives in parts must be passed on from its first byte. */
TEST_F (ForwardTest, BodyIsPassedOnWhole)
{
  find_cut ();
  auto call = make ("POST", "/calendar", "body");
  call->body = std::string (300000, 'x');
  call->chunked = true;
  finish (call.get ());
  EXPECT_EQ (call->status, 200) << call->answer;
  EXPECT_NE (call->answer.find (" 300000"), std::string::npos) << call->answer;
}

/* An answer that is lost behind the other host leaves the caller's request
   unknown, and it isn't sent again. */
TEST_F (ForwardTest, LostAnswerIsUnknown)
{
  find_cut ();
  target_server_faults (target)->cut = 100;
  auto call = make ("POST", "/calendar", "lost");
  finish (call.get ());
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
  EXPECT_EQ (target_server_runs (target, "lost"), 1u);
}

/* Guards against a request that was passed on and of which the log of this
   host doesn't have the end. */
TEST_F (ForwardTest, EndAtTheOtherHostIsLogged)
{
  FILE *log = tmpfile ();
  write_log_to (fileno (log));
  find_cut ();
  auto call = make ("POST", "/calendar", "logged");
  finish (call.get ());
  EXPECT_EQ (call->status, 200) << call->answer;
  const auto has_end = [&] {
    std::string text (1 << 20, '\0');
    rewind (log);
    text.resize (fread (&text[0], 1, text.size (), log));
    const size_t at = text.find ("relay-ended id=logged");
    const std::string line
        = at == text.npos ? "" : text.substr (at, text.find ('\n', at) - at);
    return line.find ("host=host-2 end=answered status=200") != line.npos;
  };
  EXPECT_TRUE (run_until (has_end));
  fclose (log);
}

/* Two cut hosts would pass a request back and forth. */
TEST_F (ForwardTest, IsPassedOnOnce)
{
  find_cut ();
  auto call = make ("POST", "/calendar", "again");
  call->fields.push_back ("Jaystair-Forwarded: 1");
  finish (call.get ());
  EXPECT_EQ (call->status, 503) << call->answer;
  EXPECT_EQ (call->field ("jaystair-targets-unreached"), "1");
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  EXPECT_EQ (target_server_runs (target, "again"), 0u);
}

/* A host that doesn't answer must not take the requests with it. */
TEST_F (ForwardTest, DeadHostIsReplacedByAnother)
{
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", caller_task_address (other)),
               host ("host-3", "127.0.0.1:1"),
               host ("host-4", "127.0.0.1:1") });
  find_cut ();
  for (int i = 0; i < 10; i++)
    {
      auto call = make ("POST", "/calendar", "dead-" + std::to_string (i));
      finish (call.get ());
      EXPECT_EQ (call->status, 200) << call->answer;
    }
}

/* An attempt that was sent before counts against the route's maximum at the
   other host, which would else allow the same number again. */
TEST_F (ForwardTest, EarlierAttemptsCount)
{
  find_cut ();
  target_server_faults (target)->fail = 100;
  auto call = make ("GET", "/calendar", "tried");
  call->url
      = std::string ("http://") + caller_task_address (other) + "/calendar";
  call->fields.push_back ("Jaystair-Forwarded: 1");
  call->fields.push_back ("Jaystair-Attempts: 1000");
  finish (call.get ());
  EXPECT_EQ (call->status, 503) << call->answer;
  EXPECT_EQ (target_server_runs (target, "tried"), 0u);
}

/* The target that the other host chose says that it is leaving.  This host has
   passed the response on, and must not send to that target when the path works
   again. */
TEST_F (ForwardTest, LeavingTargetIsLearned)
{
  RawTarget leaving (loop);
  leaving.answer = "HTTP/1.1 200 OK\r\nJaystair-Leaving: 1\r\n"
                   "Content-Length: 2\r\n\r\nok";
  find_cut ();
  put_target (other_bus, leaving.address ());
  const auto call = get ("/calendar", "leaving");
  EXPECT_EQ (call->status, 200) << call->answer;
  EXPECT_EQ (call->field ("jaystair-leaving-target"), "");
  put_target (the_bus, leaving.address ());
  ASSERT_TRUE (run_until ([this] { return !is_cut (); }));
  const int before = leaving.requests;
  EXPECT_EQ (get ("/calendar", "direct")->status, 503);
  EXPECT_EQ (leaving.requests, before);
}

/* A repeatable request may have run before it was passed on; its caller must
   not be told that it wasn't. */
TEST_F (ForwardTest, EarlierRunIsNotDenied)
{
  target_server_faults (target)->shed = 100;
  auto call = make ("GET", "/calendar", "ran");
  call->url
      = std::string ("http://") + caller_task_address (other) + "/calendar";
  call->fields.push_back ("Jaystair-Forwarded: 1");
  call->fields.push_back ("Jaystair-Attempts: 1");
  call->fields.push_back ("Jaystair-May-Have-Run: 1");
  finish (call.get ());
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
}

/* The same where the other host refuses the request before it looks at its
   route: 503 would say that it has not run. */
TEST_F (ForwardTest, LeavingHostDoesNotDenyEarlierRun)
{
  other_settings.times.shutdown_ms = 0;
  caller_task_begin_leaving (
      other, [] (void *) {}, nullptr);
  auto call = make ("GET", "/calendar", "ran");
  call->url
      = std::string ("http://") + caller_task_address (other) + "/calendar";
  call->fields.push_back ("Jaystair-Forwarded: 1");
  call->fields.push_back ("Jaystair-Attempts: 1");
  call->fields.push_back ("Jaystair-May-Have-Run: 1");
  finish (call.get ());
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
  EXPECT_NE (call->answer.find ("host-leaves"), std::string::npos);
}

/* What can't be served is refused at once, not held until its deadline. */
TEST_F (ForwardTest, RefusedAtOnceWhileNoHostReachesTargets)
{
  const SilentListener silent;
  put_hosts ({ host ("host-1", caller_task_address (task)) });
  put_target (the_bus, silent.address ());
  ASSERT_TRUE (run_until ([this] { return is_cut (); }));
  ASSERT_TRUE (run_until ([this] {
    const auto call = get ("/calendar", "refused");
    return call->answer.find ("cut-from-targets") != std::string::npos;
  }));
  const auto call = get ("/calendar", "refused");
  EXPECT_EQ (call->status, 503);
  EXPECT_NE (call->field ("retry-after"), "");
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
}

/* A caller that has left must not keep a target at work through two hosts. */
TEST_F (ForwardTest, CallerThatLeavesEndsTheAttempt)
{
  find_cut ();
  target_server_faults (target)->hang = 100;
  auto call = make ("GET", "/calendar", "left");
  call->fields.push_back ("Jaystair-Deadline-Ms: 20000");
  begin (call.get ());
  ASSERT_TRUE (
      run_until ([this] { return target_server_runs (target, "left") == 1; }));
  curl_loop_cancel (client, call->easy);
  call->easy = nullptr;
  EXPECT_TRUE (run_until (
      [this] { return target_server_counts (target).cancelled == 1; }));
}

/* The other host checks the key again, which targets never receive. */
TEST_F (ForwardTest, KeyIsPassedOn)
{
  const std::string key = "key-june";
  const digest made = digest_of (key.data (), key.size ());
  char text[DIGEST_TEXT_SIZE];
  digest_format (&made, text);
  const std::string members
      = std::string (", 'workspaces': [{ 'name': 'june', 'keys': [ '") + text
        + "' ] }]";
  put_config (members);
  put_config (members, other_bus);
  find_cut ();
  for (const char *path : { "/headers", "/calendar" })
    {
      auto call = make ("GET", path, std::string ("keyed") + (path + 1));
      call->fields.push_back ("Authorization: Bearer " + key);
      finish (call.get ());
      EXPECT_EQ (call->status, 200) << call->answer;
      EXPECT_EQ (call->answer.find (key), std::string::npos) << call->answer;
    }
  auto forged = make ("GET", "/calendar", "forged");
  forged->fields.push_back ("Authorization: Bearer other");
  finish (forged.get ());
  EXPECT_EQ (forged->status, 401) << forged->answer;
}

/* Guards against a host that ends since the timer of a request asks for the
   attempt that was given up, while the request waits for a proof. */
TEST_F (ForwardTest, RequestWithoutAttemptWaitsForProof)
{
  const std::string key = "key-june";
  const digest made = digest_of (key.data (), key.size ());
  const SilentListener silent;
  char text[DIGEST_TEXT_SIZE];
  digest_format (&made, text);
  settings.access.revoke_ms = 5000;
  caller_task_destroy (task);
  start ();
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", caller_task_address (other)) });
  put_target (the_bus, silent.address ());
  put_config (std::string (", 'workspaces': [{ 'name': 'june', 'keys': [ '")
              + text + "' ] }]");
  bus_message message = {};
  message.topic = BUS_FRESHNESS;
  message.freshness = { version, clock_now_ms () - 4800 };
  bus_post (the_bus, &message);
  auto call = make ("GET", "/calendar", "waits");
  call->fields.push_back ("Authorization: Bearer " + key);
  finish (call.get ());
  EXPECT_TRUE (is_cut ());
  EXPECT_EQ (call->status, 503) << call->answer;
  EXPECT_NE (call->answer.find ("config-not-fresh"), std::string::npos)
      << call->answer;
}

/* A ticket is claimed at the host that issued it, which then passes the
   request on; sent again, it must not run twice. */
TEST_F (ForwardTest, TicketRunsOnce)
{
  find_cut ();
  const auto addresses = get ("/.well-known/jaystair/addresses?service=holds");
  const std::string mark = "\"tickets\":[\"";
  const size_t at = addresses->answer.find (mark);
  ASSERT_NE (at, std::string::npos) << addresses->answer;
  const size_t from = at + mark.size ();
  const std::string ticket = addresses->answer.substr (
      from, addresses->answer.find ('"', from) - from);
  for (int i = 0; i < 2; i++)
    {
      auto call = make ("POST", "/calendar", "ticket-" + std::to_string (i));
      call->fields.push_back ("Jaystair-Ticket: " + ticket);
      finish (call.get ());
      EXPECT_EQ (call->status, i == 0 ? 200 : 409) << call->answer;
    }
  EXPECT_EQ (target_server_runs (target, "ticket-0"), 1u);
  EXPECT_EQ (target_server_runs (target, "ticket-1"), 0u);
}

/* The last service is removed between the first probe and the next ones. */
TEST_F (ForwardTest, ServiceIsRemovedWhileItsTargetsAreProbed)
{
  const SilentListener silent;
  put_target (the_bus, silent.address ());
  auto call = make ("GET", "/calendar", "hangs");
  call->fields.push_back ("Jaystair-Deadline-Ms: 900");
  begin (call.get ());
  int ticks = 0;
  ev_timer timer;
  ev_timer_init (
      &timer,
      [] (struct ev_loop *, ev_timer *at, int) {
        ++*static_cast<int *> (at->data);
      },
      .2, .2);
  timer.data = &ticks;
  ev_timer_start (loop, &timer);
  EXPECT_TRUE (run_until ([&] { return ticks == 1; }));
  bus_message message = {};
  message.topic = BUS_SERVICE_REMOVED;
  strcpy (message.service_removed.name, "holds");
  message.service_removed.version = ++version;
  bus_post (the_bus, &message);
  EXPECT_TRUE (run_until ([&] { return call->done && ticks > 6; }));
  ev_timer_stop (loop, &timer);
  EXPECT_FALSE (is_cut ());
}

/* The path works again: requests go straight to the targets. */
TEST_F (ForwardTest, PathIsUsedAgain)
{
  find_cut ();
  put_target (the_bus, target_server_address (target));
  EXPECT_TRUE (run_until ([this] { return !is_cut (); }));
  caller_task_destroy (other);
  other = nullptr;
  const auto call = get ("/calendar", "direct");
  EXPECT_EQ (call->status, 200) << call->answer;
}

} // namespace
