#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>

#include "node/operator/tests/operator_fixture.h"

extern "C"
{
#include "ctl/exit_code.h"
}

struct run_result
{
  int code;
  std::string text; /**< standard output and standard error */
};

static struct run_result
run (const std::string &arguments)
{
  const std::string line
      = std::string (JAYSTAIR_PROGRAM) + " " + arguments + " 2>&1";
  struct run_result result = {};
  FILE *pipe = popen (line.c_str (), "r");
  char text[4096];
  while (size_t size = fread (text, 1, sizeof text, pipe))
    result.text.append (text, size);
  result.code = WEXITSTATUS (pclose (pipe));
  return result;
}

static struct run_result
run (const OperatorFixture &fixture, const std::string &arguments)
{
  return run ("--host " + fixture.address () + " " + arguments);
}

static bool
contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

/** Accepts one connection, reads once from it and passes it to PEER. */
class OneConnectionServer
{
public:
  explicit OneConnectionServer (std::function<void (int)> peer)
  {
    struct sockaddr_in in = {};
    socklen_t size = sizeof in;
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    fd = socket (AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ (bind (fd, reinterpret_cast<struct sockaddr *> (&in), size), 0);
    EXPECT_EQ (listen (fd, 1), 0);
    getsockname (fd, reinterpret_cast<struct sockaddr *> (&in), &size);
    address = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
    thread = std::thread ([this, peer] {
      char text[4096];
      const int connection = accept (fd, nullptr, nullptr);
      recv (connection, text, sizeof text, 0);
      peer (connection);
      close (connection);
    });
  }

  ~OneConnectionServer ()
  {
    thread.join ();
    close (fd);
  }

  std::string address;

private:
  int fd;
  std::thread thread;
};

static const char targets[]
    = "[{\"service\":\"holds\",\"target\":\"holds-1\",\"state\":\"ejected\","
      "\"slots\":4},"
      "{\"service\":\"holds\",\"target\":\"holds-2\",\"state\":\"active\","
      "\"slots\":12},"
      "{\"service\":\"a\",\"target\":\"both\",\"state\":\"active\","
      "\"suspect\":true},"
      "{\"service\":\"b\",\"target\":\"both\",\"state\":\"drained\"}]";

TEST (Program, HelpVersionAndUsage)
{
  EXPECT_EQ (run ("--help").code, EXIT_CODE_DONE);
  EXPECT_TRUE (contains (run ("--help").text, "Exit codes"));
  EXPECT_EQ (run ("--version").code, EXIT_CODE_DONE);
  for (const char *arguments :
       { "", "--bogus", "show", "show dragons", "--watch drain t",
         "--secret-file /nowhere show hosts", "drain t at version x" })
    {
      const struct run_result result = run (arguments);
      EXPECT_EQ (result.code, EXIT_CODE_USAGE) << arguments;
      EXPECT_EQ (result.text.find ('\n'), result.text.size () - 1)
          << "one line: " << result.text;
    }
}

TEST (Program, ShowsMatchingRows)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", targets);
  struct run_result result
      = run (fixture, "show targets where 'slots>5' and state=ACTIVE");
  EXPECT_EQ (result.code, EXIT_CODE_DONE);
  EXPECT_EQ (result.text, "SERVICE  TARGET   STATE   SLOTS\n"
                          "holds    holds-2  active     12\n"
                          "-- host h1, news 0.3 s old, not heard from: h3\n");
  result = run (fixture, "--json show targets where 'slots>5'");
  EXPECT_EQ (result.text,
             "{\"host\":\"h1\",\"table\":\"targets\",\"rows\":[{\"service\":"
             "\"holds\",\"target\":\"holds-2\",\"state\":\"active\",\"slots\":"
             "12}],\"age_ms\":340,\"not_heard_from\":[\"h3\"]}\n");
  result = run (fixture, "show targets where sttae=ejected");
  EXPECT_EQ (result.code, EXIT_CODE_USAGE);
  EXPECT_EQ (run (fixture, "show routes").code, EXIT_CODE_NOT_FOUND);
}

TEST (Program, ExplainsTarget)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", targets);
  fixture.add_table ("ejections", "[{\"service\":\"holds\",\"target\":"
                                  "\"holds-1\",\"epoch\":3}]");
  const struct run_result result = run (fixture, "explain target holds-1");
  EXPECT_EQ (result.code, EXIT_CODE_DONE);
  EXPECT_TRUE (contains (result.text, "jaystair reinstate holds/holds-1"))
      << result.text;
  EXPECT_TRUE (contains (result.text, "EPOCH")) << result.text;
  EXPECT_TRUE (contains (run (fixture, "explain target b/both").text,
                         "jaystair undrain b/both"));
  EXPECT_TRUE (contains (run (fixture, "explain target a/both").text,
                         "successful responses to the few"));
  EXPECT_EQ (run (fixture, "explain target both").code, EXIT_CODE_USAGE);
  EXPECT_EQ (run (fixture, "explain target x").code, EXIT_CODE_NOT_FOUND);
  EXPECT_TRUE (contains (run (fixture, "--json explain target holds-1").text,
                         "\"brought_back_by\""));
}

TEST (Program, CommandsAndTheirExitCodes)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", targets);
  struct run_result result = run (fixture, "drain holds-1 at version 7");
  EXPECT_EQ (result.code, EXIT_CODE_DONE);
  EXPECT_EQ (result.text,
             "drain holds/holds-1: accepted, version 7 -> 8; in force on 2 of "
             "3 hosts, not heard from: h3\n");
  EXPECT_EQ (fixture.backend.last_command.version, 7u);
  EXPECT_EQ (run (fixture, "set floor holds 24").code, EXIT_CODE_DONE);
  EXPECT_EQ (fixture.backend.last_command.floor_capacity, 24u);
  fixture.backend.message = "the service changed meanwhile";
  fixture.backend.changed = "floor_capacity 24 -> 20";
  const struct
  {
    enum status status;
    int code;
  } ends[] = { { STATUS_REFUSED, EXIT_CODE_CONFLICT },
               { STATUS_INVALID, EXIT_CODE_USAGE },
               { STATUS_UNREACHABLE, EXIT_CODE_UNREACHABLE },
               { STATUS_LOST_ANSWER, EXIT_CODE_UNKNOWN },
               { STATUS_TIMEOUT, EXIT_CODE_UNKNOWN },
               { STATUS_SYSTEM, EXIT_CODE_UNKNOWN },
               { STATUS_NOT_FOUND, EXIT_CODE_NOT_FOUND } };
  for (const auto &end : ends)
    {
      fixture.backend.status = end.status;
      result = run (fixture, "pause ejection holds");
      EXPECT_EQ (result.code, end.code) << result.text;
      EXPECT_TRUE (contains (result.text, "floor_capacity 24 -> 20"));
      EXPECT_EQ (result.text.find ('\n'), result.text.size () - 1);
    }
}

TEST (Program, ReadsSecretFile)
{
  char path[] = "/tmp/jaystair-secret-XXXXXX";
  const int fd = mkstemp (path);
  ASSERT_EQ (write (fd, "0123456789abcdef\n", 17), 17);
  close (fd);
  {
    OperatorFixture fixture (path);
    EXPECT_EQ (run (fixture, "drain s/t").code, EXIT_CODE_NOT_AUTHORISED);
    EXPECT_EQ (
        run (fixture, std::string ("--secret-file ") + path + " drain s/t")
            .code,
        EXIT_CODE_DONE);
  }
  unlink (path);
}

/* A host receives a command and dies before it responds.  "Unreachable" would
   tell the operator that nothing happened, though the write may have taken
   effect. */
TEST (Program, CommandWithoutResponseIsUnknown)
{
  {
    OneConnectionServer dying_host ([] (int) {});
    EXPECT_EQ (run ("--host " + dying_host.address + " drain t").code,
               EXIT_CODE_UNKNOWN);
  }
  {
    OneConnectionServer dying_host ([] (int) {});
    EXPECT_EQ (run ("--host " + dying_host.address + " show hosts").code,
               EXIT_CODE_UNREACHABLE);
  }
  EXPECT_EQ (run ("--host 127.0.0.1:1 drain t").code, EXIT_CODE_UNREACHABLE);
}

/* Guards against a command whose cut answer is taken for that of another
   server, though the command may have taken effect. */
TEST (Program, CommandWithCutAnswerIsUnknown)
{
  const std::string body = "{\"status\":\"refused\",\"message\":\"no\"}";
  const std::string length = std::to_string (body.size ());
  const std::string with_length
      = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body;
  const std::string in_chunks
      = "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n"
        + body + "\r\n0\r\n\r\n";
  const std::string after_interim
      = "HTTP/1.1 102 Processing\r\nX-I: 1\r\n\r\n"
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  for (const std::string &answer : { with_length, in_chunks, after_interim })
    for (size_t size = 0; size < answer.size (); size += 3)
      for (const bool is_reset : { false, true })
        {
          OneConnectionServer host ([&] (int fd) {
            const linger now = { is_reset, 0 };
            send (fd, answer.data (), size, MSG_NOSIGNAL);
            setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
          });
          const run_result result
              = run ("--host " + host.address + " drain t");
          EXPECT_EQ (result.code, EXIT_CODE_UNKNOWN)
              << answer.substr (0, size);
          EXPECT_TRUE (contains (result.text, "may have taken effect"))
              << answer.substr (0, size) << "\n-> " << result.text;
        }
}

TEST (Program, RefusesResponsesOfOtherServers)
{
  const auto page = [] (int fd) {
    const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    send (fd, text, sizeof text - 1, MSG_NOSIGNAL);
  };
  OneConnectionServer reads (page);
  EXPECT_EQ (run ("--host " + reads.address + " show hosts").code,
             EXIT_CODE_UNREACHABLE);
  OneConnectionServer commands (page);
  EXPECT_EQ (run ("--host " + commands.address + " drain t").code,
             EXIT_CODE_UNKNOWN);
}

TEST (Program, RequestsAddressesFromCallerAddress)
{
  OneConnectionServer caller ([] (int fd) {
    const char text[]
        = "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n"
          "{\"service\":\"s\",\"addresses\":[{\"address\":\"127.0.0.2:80\","
          "\"dc\":\"a\"}],\"keep_ms\":5000}";
    send (fd, text, sizeof text - 1, MSG_NOSIGNAL);
  });
  const std::string hosts
      = "[{\"host\":\"h1\",\"caller_address\":\"" + caller.address + "\"}]";
  OperatorFixture fixture;
  fixture.add_table ("hosts", hosts.c_str ());
  const struct run_result result = run (fixture, "addresses s");
  EXPECT_EQ (result.code, EXIT_CODE_DONE) << result.text;
  EXPECT_EQ (result.text, "ADDRESS       DC\n"
                          "127.0.0.2:80  a\n"
                          "-- callers keep this answer for 5000 ms\n");
}
