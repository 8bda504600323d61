#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "node/operator/tests/operator_fixture.h"

struct answer
{
  long code = 0;
  std::string body;
};

static size_t
collect (char *data, size_t size, size_t count, void *body)
{
  static_cast<std::string *> (body)->append (data, size * count);
  return size * count;
}

static struct answer
ask (const OperatorFixture &fixture, const std::string &path,
     const char *command = nullptr,
     std::vector<std::string> headers = { "Content-Type: application/json" })
{
  struct answer answer;
  CURL *curl = curl_easy_init ();
  struct curl_slist *list = nullptr;
  for (const std::string &header : headers)
    list = curl_slist_append (list, header.c_str ());
  curl_easy_setopt (curl, CURLOPT_URL,
                    ("http://" + fixture.address () + path).c_str ());
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer.body);
  if (command != nullptr)
    curl_easy_setopt (curl, CURLOPT_COPYPOSTFIELDS, command);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &answer.code);
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
  return answer;
}

static const char drain[]
    = "{\"command\":\"drain\",\"service\":\"holds\",\"target\":\"holds-1\"}";

TEST (OperatorTask, ReadsATableWithItsAgeAndWhoWasNotHeardFrom)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[{\"target\":\"holds-1\"}]");
  const struct answer answer = ask (fixture, "/v1/targets");
  EXPECT_EQ (answer.code, 200);
  EXPECT_EQ (answer.body,
             "{\"host\":\"h1\",\"table\":\"targets\",\"rows\":[{\"target\":"
             "\"holds-1\"}],\"age_ms\":340,\"not_heard_from\":[\"h3\"]}");
  const struct answer unknown = ask (fixture, "/v1/dragons");
  EXPECT_EQ (unknown.code, 404);
  EXPECT_NE (unknown.body.find ("targets"), std::string::npos);
  EXPECT_EQ (ask (fixture, "/elsewhere").code, 404);
  EXPECT_EQ (ask (fixture, "/v1/targets", "{}").code, 405);
  EXPECT_EQ (ask (fixture, "/v1/command").code, 405);
}

TEST (OperatorTask, CountsItsRequestsInTheExposition)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[]");
  ask (fixture, "/v1/targets");
  const struct answer answer = ask (fixture, "/metrics");
  EXPECT_EQ (answer.code, 200);
  EXPECT_NE (answer.body.find ("jaystair_operator_requests_total{kind=\"table"
                               "\",code=\"200\"} 1\n"),
             std::string::npos);
  const struct answer table = ask (fixture, "/v1/counters");
  EXPECT_NE (table.body.find ("{\"counter\":\"jaystair_operator_requests_total"
                              "\",\"labels\":\"kind=\\\"table\\\",code="
                              "\\\"200\\\"\",\"value\":1}"),
             std::string::npos)
      << table.body;
}

TEST (OperatorTask, AcceptedCommandSaysWhereItIsInForce)
{
  OperatorFixture fixture;
  const struct answer answer = ask (fixture, "/v1/command", drain);
  EXPECT_EQ (answer.code, 200);
  EXPECT_EQ (answer.body,
             "{\"status\":\"ok\",\"command\":\"drain\",\"service\":\"holds\","
             "\"target\":\"holds-1\",\"accepted\":true,\"acted_on_version\":7,"
             "\"version\":8,\"in_force\":{\"hosts\":3,\"in_force\":2,"
             "\"not_heard_from\":[\"h3\"]}}");
  EXPECT_EQ (fixture.backend.service_calls, 1);
  ask (fixture, "/v1/command",
       "{\"command\":\"eject\",\"service\":\"s\",\"target\":\"t\"}");
  EXPECT_EQ (fixture.backend.ejection_calls, 1);
}

TEST (OperatorTask, TellsApartHowACommandFailed)
{
  const struct
  {
    enum status status;
    long code;
    const char *part;
  } cases[] = { { STATUS_REFUSED, 409, "\"accepted\":false" },
                { STATUS_NOT_FOUND, 404, "\"accepted\":false" },
                { STATUS_UNREACHABLE, 503, "\"accepted\":false" },
                { STATUS_LOST_ANSWER, 504, "\"status\":\"lost-answer\"" } };
  OperatorFixture fixture;
  fixture.backend.changed = "floor 24 -> 20";
  for (const auto &c : cases)
    {
      fixture.backend.status = c.status;
      const struct answer answer = ask (fixture, "/v1/command", drain);
      EXPECT_EQ (answer.code, c.code);
      EXPECT_NE (answer.body.find (c.part), std::string::npos) << answer.body;
      EXPECT_EQ (answer.body.find ("in_force"), std::string::npos);
      EXPECT_NE (answer.body.find ("floor 24 -> 20"), std::string::npos);
    }
}

/* An operator reads "not accepted", drains again and finds it done twice.
   The write's answer was lost and the host, not knowing, said "no". */
TEST (OperatorTask, ALostAnswerIsNeverCalledNotAccepted)
{
  OperatorFixture fixture;
  for (const enum status status :
       { STATUS_LOST_ANSWER, STATUS_TIMEOUT, STATUS_SYSTEM })
    {
      fixture.backend.status = status;
      const struct answer answer = ask (fixture, "/v1/command", drain);
      EXPECT_EQ (answer.body.find ("accepted"), std::string::npos)
          << answer.body;
    }
}

/* An operator on another team's machine drains a target by mistake: the port
   answered anybody.  With a secret set, a command without it does nothing. */
TEST (OperatorTask, CommandsNeedTheSecret)
{
  char path[] = "/tmp/operator-secret-XXXXXX";
  const int fd = mkstemp (path);
  ASSERT_EQ (write (fd, "0123456789abcdef\n", 17), 17);
  close (fd);
  {
    OperatorFixture fixture (path);
    ASSERT_EQ (fixture.status, STATUS_OK);
    const struct answer none = ask (fixture, "/v1/command", drain);
    EXPECT_EQ (none.code, 401);
    EXPECT_NE (none.body.find ("--secret-file"), std::string::npos);
    const std::string type = "Content-Type: application/json";
    const std::string wrong = "Authorization: Bearer 0123456789abcdeg";
    EXPECT_EQ (ask (fixture, "/v1/command", drain, { type, wrong }).code, 401);
    EXPECT_EQ (fixture.backend.service_calls, 0);
    const std::string right = "Authorization: Bearer 0123456789abcdef";
    EXPECT_EQ (ask (fixture, "/v1/command", drain, { type, right }).code, 200);
    EXPECT_EQ (fixture.backend.service_calls, 1);
  }
  unlink (path);
}

/* A page in an operator's browser sends a form to the loopback port of a host
   without a secret, and a target is drained that nobody meant to. */
TEST (OperatorTask, AFormFromABrowserIsNoCommand)
{
  OperatorFixture fixture;
  EXPECT_EQ (ask (fixture, "/v1/command", drain, {}).code, 400);
  EXPECT_EQ (
      ask (fixture, "/v1/command", drain, { "Content-Type: text/plain" }).code,
      400);
  EXPECT_EQ (fixture.backend.service_calls, 0);
}

TEST (OperatorTask, RefusesCommandsThatAreNone)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[{\"service\":\"a\",\"target\":\"t\"}]");
  EXPECT_EQ (ask (fixture, "/v1/command", "{\"command\":\"reboot\"}").code,
             400);
  EXPECT_EQ (ask (fixture, "/v1/command", "").code, 400);
  EXPECT_EQ (
      ask (fixture, "/v1/command", (drain + std::string (20000, ' ')).c_str ())
          .code,
      400);
  EXPECT_EQ (
      ask (fixture, "/v1/command", "{\"command\":\"drain\",\"target\":\"x\"}")
          .code,
      404);
  EXPECT_EQ (
      ask (fixture, "/v1/command", "{\"command\":\"drain\",\"target\":\"t\"}")
          .code,
      200);
  EXPECT_STREQ (fixture.backend.last.service, "a");
}

static int
connect_to (uint16_t port)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_port = htons (port);
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (
      connect (fd, reinterpret_cast<struct sockaddr *> (&in), sizeof in), 0);
  return fd;
}

TEST (OperatorTask, GarbageOnThePortHarmsNobodyElse)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[]");
  std::mt19937 random (7);
  for (int i = 0; i < 40; i++)
    {
      std::string bytes (random () % 40000, '\0');
      for (char &byte : bytes)
        byte = static_cast<char> (random ());
      const int fd = connect_to (fixture.port);
      send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
      if (i % 2 == 0)
        shutdown (fd, SHUT_WR);
      close (fd);
      EXPECT_EQ (ask (fixture, "/v1/targets").code, 200);
    }
}

/* An operator's command is under way when its host leaves.  The write may
   have taken effect, so the answer must not be "no", and must come. */
TEST (OperatorTask, ALeavingHostSaysThatItDoesNotKnow)
{
  OperatorFixture fixture;
  fixture.backend.never_answers = true;
  const int fd = connect_to (fixture.port);
  const std::string body = drain;
  const std::string request = "POST /v1/command HTTP/1.1\r\nHost: h\r\n"
                              "Content-Type: application/json\r\n"
                              "Content-Length: "
                              + std::to_string (body.size ()) + "\r\n\r\n"
                              + body;
  send (fd, request.data (), request.size (), MSG_NOSIGNAL);
  /* The command has arrived once another connection was served after it. */
  while (ask (fixture, "/metrics").code == 200
         && fixture.backend.service_calls == 0)
    ;
  fixture.finish ();
  EXPECT_EQ (fixture.backend.cancels, 1);
  char text[4096];
  std::string answer;
  ssize_t size;
  while ((size = recv (fd, text, sizeof text, 0)) > 0)
    answer.append (text, static_cast<size_t> (size));
  close (fd);
  EXPECT_NE (answer.find ("504"), std::string::npos) << answer;
  EXPECT_NE (answer.find ("lost-answer"), std::string::npos) << answer;
}

TEST (OperatorTask, SaysWhyItCannotListen)
{
  OperatorFixture fixture ("/nowhere/secret");
  EXPECT_EQ (fixture.status, STATUS_SYSTEM);
  EXPECT_NE (std::string (status_message ()).find ("/nowhere/secret"),
             std::string::npos);
}
