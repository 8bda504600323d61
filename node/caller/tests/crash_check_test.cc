/* Tests that target crashes are told apart from closed connections. */
#include <cstdio>
#include <unistd.h>

#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/raw_target.h"

class CrashCheckTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    write_log_to (fileno (log));
  }

  void
  TearDown () override
  {
    CallerTest::TearDown ();
    fclose (log);
  }

  std::unique_ptr<Call>
  make_and_finish (const std::string &method, const std::string &path)
  {
    auto call = make (method, path, "r1");
    finish (call.get ());
    return call;
  }

  static std::string
  two_targets (const std::string &first, const std::string &second)
  {
    return "{ 'name': 't1', 'address': '" + first
           + "', 'dc': 'dc-a', 'slots': 1 }, { 'name': 't2', 'address': '"
           + second + "', 'dc': 'dc-a', 'slots': 1 }";
  }

  /* Send requests until t1 has broken one off. */
  void
  send_until_broken ()
  {
    const std::string at = "target=t1 end=cut";
    ASSERT_TRUE (run_until ([&] {
      auto call = make ("POST", "/holds", "r1");
      finish (call.get ());
      return logged ().find (at) != std::string::npos;
    })) << logged ();
  }

  int
  crash_count () const
  {
    const std::string series
        = "jaystair_target_crashes_total{service=\"holds\"} ";
    const std::string text = exposed ();
    const size_t at = text.find (series);
    return at == std::string::npos
               ? 0
               : atoi (text.c_str () + at + series.size ());
  }

  std::string
  logged ()
  {
    std::string text (1 << 20, '\0');
    rewind (log);
    text.resize (fread (&text[0], 1, text.size (), log));
    return text;
  }

  FILE *log = tmpfile ();
};

/* A crash must be logged with the fingerprint of the request that was in
   flight. */
TEST_F (CrashCheckTest, CrashIsLoggedWithRequestFingerprint)
{
  target_server *target = add_target ("t1");
  target_server_faults (target)->crash = 1;
  start ();
  put_service (usual_routes);
  auto call = make ("POST", "/crash", "r1");
  call->body = "date=2027-02-14";
  finish (call.get ());
  EXPECT_EQ (call->status, 502);
  ASSERT_TRUE (run_until ([this] { return crash_count () == 1; }));
  const std::string text = logged ();
  const size_t broken = text.find ("attempt-broken");
  const size_t crashed = text.find ("target-crashed");
  ASSERT_NE (broken, std::string::npos) << text;
  ASSERT_NE (crashed, std::string::npos) << text;
  const std::string key = "fingerprint=";
  const size_t size = key.size () + 32;
  EXPECT_EQ (text.substr (text.find (key, broken), size),
             text.substr (text.find (key, crashed), size));
}

/* An exiting target may still accept the first probe; the crash must not be
   missed. */
TEST_F (CrashCheckTest, CrashOfTargetThatClosesListenerLastIsDetected)
{
  auto target = std::make_unique<RawTarget> (loop);
  start ();
  put_service_at (target->address ());
  EXPECT_EQ (make_and_finish ("POST", "/holds")->status, 502);
  target.reset ();
  EXPECT_TRUE (run_until ([this] { return crash_count () == 1; }));
}

/* A running target that closes a connection must not be reported as
   crashed. */
TEST_F (CrashCheckTest, ConnectionClosedByRunningTargetIsNotACrash)
{
  target_server *target = add_target ("t1");
  target_server_faults (target)->close = 100;
  start ();
  put_service (usual_routes);
  EXPECT_EQ (get ("/calendar", "r1")->status, 502);
  ASSERT_TRUE (run_until ([&] {
    const target_counts counts = target_server_counts (target);
    return counts.connections > counts.runs;
  }));
  EXPECT_EQ (get ("/calendar", "r2")->status, 502);
  EXPECT_EQ (crash_count (), 0) << logged ();
}

/* A host that is cut from all targets is refused by targets that run.  Three
   such reports would block the request at all hosts. */
TEST_F (CrashCheckTest, CutHostReportsNoCrash)
{
  auto target = std::make_unique<RawTarget> (loop);
  start ();
  post_service (two_targets (target->address (), "127.0.0.1:1"), usual_routes,
                "");
  send_until_broken ();
  target.reset ();
  EXPECT_TRUE (run_until ([this] {
    return logged ().find ("target-crash-unconfirmed") != std::string::npos;
  })) << logged ();
  EXPECT_EQ (crash_count (), 0) << logged ();
}

/* One of two targets crashes: the host reaches the other one, so it isn't
   cut. */
TEST_F (CrashCheckTest, CrashOfOneOfTwoTargetsIsReported)
{
  auto target = std::make_unique<RawTarget> (loop);
  target_server *other = add_target ("t2");
  start ();
  post_service (
      two_targets (target->address (), target_server_address (other)),
      usual_routes, "");
  send_until_broken ();
  target.reset ();
  EXPECT_TRUE (run_until ([this] { return crash_count () == 1; }))
      << logged ();
}
