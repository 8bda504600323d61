/** jaystaird as a program: command line, signals and ports. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <fstream>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/caller.h"

namespace
{

std::string
write_file (const std::string &text)
{
  char path[] = "/tmp/jaystair-daemon-XXXXXX";
  close (mkstemp (path));
  std::ofstream (path) << text;
  return path;
}

std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  return { std::istreambuf_iterator<char> (in), {} };
}

int
run (const std::vector<std::string> &args, std::string *output)
{
  std::vector<std::string> all = { JAYSTAIRD };
  all.insert (all.end (), args.begin (), args.end ());
  Process process (all);
  const int code = process.wait ();
  *output = process.tail ();
  return code;
}

/* A truncated settings file, as an interrupted save leaves it, must be
   rejected by --check with the position of the error, wherever it ends; a host
   must not start with it. */
TEST (Daemon, TruncatedSettingsAreRejected)
{
  const std::string complete = read_file (SOURCE_DIR "/examples/host.json");
  std::string output;
  for (size_t size = complete.rfind ('}') - 7; size > 8; size /= 2)
    {
      const std::string path = write_file (complete.substr (0, size));
      EXPECT_EQ (run ({ "--check", "--settings", path }, &output), 2);
      EXPECT_NE (output.find (path + ":"), std::string::npos) << output;
      EXPECT_EQ (run ({ "--settings", path }, &output), 2);
      unlink (path.c_str ());
    }
}

TEST (Daemon, CommandLineErrorsAreReported)
{
  std::string output;
  EXPECT_EQ (
      run ({ "--check", "--settings", SOURCE_DIR "/examples/host.json" },
           &output),
      0);
  EXPECT_NE (output.find ("in order"), std::string::npos);
  EXPECT_EQ (run ({}, &output), 2);
  EXPECT_NE (output.find ("--settings FILE"), std::string::npos);
  EXPECT_EQ (run ({ "--colour" }, &output), 2);
  EXPECT_EQ (run ({ "--help" }, &output), 0);
  EXPECT_EQ (run ({ "--version" }, &output), 0);
  EXPECT_EQ (run ({ "--settings", "/nonexistent" }, &output), 2);
  EXPECT_NE (output.find ("/nonexistent"), std::string::npos);
}

class RunningHost : public testing::Test
{
protected:
  Fleet fleet{ [] {
    FleetOptions options;
    options.hosts = 1;
    options.targets = 1;
    return options;
  }() };

  void
  SetUp () override
  {
    ASSERT_TRUE (fleet.start ());
  }

  Process &
  host ()
  {
    return *fleet.hosts[0];
  }

  void
  expect_serving (const std::string &id)
  {
    const Record record
        = send_and_classify (fleet.caller_url (1, ""), id, true);
    EXPECT_EQ (record.outcome, RequestOutcome::ran)
        << record.detail << host ().tail ();
  }
};

TEST_F (RunningHost, ReloadKeepsSettingsThatNeedRestart)
{
  const std::string path = fleet.settings_path (1);
  std::string text = read_file (path);
  text.replace (text.find ("\"dc\": \"north-a\""), 15, "\"dc\": \"north-z\"");
  std::ofstream (path) << text;
  host ().signal (SIGHUP);
  EXPECT_TRUE (host ().wait_line ({ "reloaded", "all else that changed" }))
      << host ().tail ();
  std::ofstream (path) << text.substr (0, text.size () / 2);
  host ().signal (SIGHUP);
  EXPECT_TRUE (host ().wait_line ({ "reload-refused", path }))
      << host ().tail ();
  expect_serving ("after-reload");
}

/* Random bytes sent to the peer and operator ports must not affect requests of
   callers or the host's orderly exit. */
TEST_F (RunningHost, RandomBytesOnPortsAreHarmless)
{
  std::mt19937 random (7);
  for (int round = 0; round < 20; round++)
    for (const int port : { 8081, 8082 })
      {
        const std::string address = fleet.addresses.at (11, port);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons (static_cast<uint16_t> (port));
        inet_pton (AF_INET, address.substr (0, address.find (':')).c_str (),
                   &to.sin_addr);
        const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ASSERT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof to),
                   0);
        std::string bytes (random () % 5000, '\0');
        for (char &byte : bytes)
          byte = static_cast<char> (random ());
        EXPECT_GE (send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL), -1);
        close (fd);
        expect_serving ("g" + std::to_string (round * 10000 + port));
      }
  host ().signal (SIGTERM);
  EXPECT_EQ (host ().wait (), 0) << host ().tail ();
}

/* Guards against a stop that is announced more than once, as by a supervisor
   and its group, and breaks off requests at which targets are at work. */
TEST_F (RunningHost, RepeatedSignalsBreakNoRequestOff)
{
  ASSERT_TRUE (
      fleet.post_control (fleet.target_url (1, "/control/set?delay_ms=700")));
  Record record;
  std::thread caller ([&] {
    record = send_and_classify (fleet.caller_url (1, ""), "slow", true);
  });
  ASSERT_TRUE (host ().wait_line ({ "\"route\"", "\"slow\"" }));
  size_t from = 0;
  for (int i = 0; i < 3; i++)
    {
      host ().signal (SIGTERM);
      ASSERT_TRUE (host ().wait_line ({ "\"leave\"" }, &from));
    }
  caller.join ();
  EXPECT_EQ (record.outcome, RequestOutcome::ran) << record.detail;
  EXPECT_EQ (host ().wait (), 0) << host ().tail ();
}

/* A host that leaves is interrupted while an unrepeatable request hangs at its
   target.  It must exit soon, and the request must be reported as unknown. */
TEST_F (RunningHost, InterruptEndsHangingRequests)
{
  ASSERT_TRUE (
      fleet.post_control (fleet.target_url (1, "/control/set?hang=100")));
  Record record;
  std::thread caller ([&] {
    record = send_and_classify (fleet.caller_url (1, ""), "hangs", true);
  });
  ASSERT_TRUE (wait_until ([&] { return fleet.runs_of ("hangs") == 1; }));
  host ().signal (SIGTERM);
  ASSERT_TRUE (host ().wait_line ({ "\"leave\"" }));
  host ().signal (SIGINT);
  EXPECT_EQ (host ().wait (), 0) << host ().tail ();
  caller.join ();
  EXPECT_EQ (record.outcome, RequestOutcome::unknown) << record.detail;
  EXPECT_NE (record.detail.find ("unknown"), std::string::npos)
      << record.detail;
}

} // namespace
