#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "node/operator/tests/operator_fixture.h"

struct http_response
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

static struct http_response
send_request (const OperatorFixture &fixture, const std::string &path,
              const char *command = nullptr,
              std::vector<std::string> headers
              = { "Content-Type: application/json" })
{
  struct http_response response;
  CURL *curl = curl_easy_init ();
  struct curl_slist *list = nullptr;
  for (const std::string &header : headers)
    list = curl_slist_append (list, header.c_str ());
  curl_easy_setopt (curl, CURLOPT_URL,
                    ("http://" + fixture.address () + path).c_str ());
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &response.body);
  if (command != nullptr)
    curl_easy_setopt (curl, CURLOPT_COPYPOSTFIELDS, command);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response.code);
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
  return response;
}

static const char drain[]
    = "{\"command\":\"drain\",\"service\":\"holds\",\"target\":\"holds-1\"}";

TEST (OperatorTask, ReadsTableWithAgeAndUnresponsiveHosts)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[{\"target\":\"holds-1\"}]");
  const struct http_response response = send_request (fixture, "/v1/targets");
  EXPECT_EQ (response.code, 200);
  EXPECT_EQ (response.body,
             "{\"host\":\"h1\",\"table\":\"targets\",\"rows\":[{\"target\":"
             "\"holds-1\"}],\"age_ms\":340,\"not_heard_from\":[\"h3\"]}");
  const struct http_response unknown = send_request (fixture, "/v1/dragons");
  EXPECT_EQ (unknown.code, 404);
  EXPECT_NE (unknown.body.find ("targets"), std::string::npos);
  EXPECT_EQ (send_request (fixture, "/elsewhere").code, 404);
  EXPECT_EQ (send_request (fixture, "/v1/targets", "{}").code, 405);
  EXPECT_EQ (send_request (fixture, "/v1/command").code, 405);
}

TEST (OperatorTask, CountsRequestsInExposition)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[]");
  send_request (fixture, "/v1/targets");
  const struct http_response response = send_request (fixture, "/metrics");
  EXPECT_EQ (response.code, 200);
  EXPECT_NE (
      response.body.find ("jaystair_operator_requests_total{kind=\"table"
                          "\",code=\"200\"} 1\n"),
      std::string::npos);
  const struct http_response table = send_request (fixture, "/v1/counters");
  EXPECT_NE (table.body.find ("{\"counter\":\"jaystair_operator_requests_total"
                              "\",\"labels\":\"kind=\\\"table\\\",code="
                              "\\\"200\\\"\",\"value\":1}"),
             std::string::npos)
      << table.body;
}

TEST (OperatorTask, AcceptedCommandReportsWhereItIsInForce)
{
  OperatorFixture fixture;
  const struct http_response response
      = send_request (fixture, "/v1/command", drain);
  EXPECT_EQ (response.code, 200);
  EXPECT_EQ (response.body,
             "{\"status\":\"ok\",\"command\":\"drain\",\"service\":\"holds\","
             "\"target\":\"holds-1\",\"accepted\":true,\"acted_on_version\":7,"
             "\"version\":8,\"in_force\":{\"hosts\":3,\"in_force\":2,"
             "\"not_heard_from\":[\"h3\"]}}");
  EXPECT_EQ (fixture.backend.service_calls, 1);
  send_request (fixture, "/v1/command",
                "{\"command\":\"eject\",\"service\":\"s\",\"target\":\"t\"}");
  EXPECT_EQ (fixture.backend.ejection_calls, 1);
}

TEST (OperatorTask, DistinguishesFailures)
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
      const struct http_response response
          = send_request (fixture, "/v1/command", drain);
      EXPECT_EQ (response.code, c.code);
      EXPECT_NE (response.body.find (c.part), std::string::npos)
          << response.body;
      EXPECT_EQ (response.body.find ("in_force"), std::string::npos);
      EXPECT_NE (response.body.find ("floor 24 -> 20"), std::string::npos);
    }
}

/* An operator who reads "not accepted" repeats the command, and it is done
   twice if the write took effect.  After a lost response the host doesn't
   know, so it must not report "not accepted". */
TEST (OperatorTask, LostAnswerIsNotReportedAsNotAccepted)
{
  OperatorFixture fixture;
  for (const enum status status :
       { STATUS_LOST_ANSWER, STATUS_TIMEOUT, STATUS_SYSTEM })
    {
      fixture.backend.status = status;
      const struct http_response response
          = send_request (fixture, "/v1/command", drain);
      EXPECT_EQ (response.body.find ("accepted"), std::string::npos)
          << response.body;
    }
}

/* Anybody who can connect to the port could drain a target by mistake.  With a
   secret configured, a command without it has no effect. */
TEST (OperatorTask, CommandsRequireSecret)
{
  char path[] = "/tmp/operator-secret-XXXXXX";
  const int fd = mkstemp (path);
  ASSERT_EQ (write (fd, "0123456789abcdef\n", 17), 17);
  close (fd);
  {
    OperatorFixture fixture (path);
    ASSERT_EQ (fixture.status, STATUS_OK);
    const struct http_response without_secret
        = send_request (fixture, "/v1/command", drain);
    EXPECT_EQ (without_secret.code, 401);
    EXPECT_NE (without_secret.body.find ("--secret-file"), std::string::npos);
    const std::string type = "Content-Type: application/json";
    const std::string wrong = "Authorization: Bearer 0123456789abcdeg";
    EXPECT_EQ (
        send_request (fixture, "/v1/command", drain, { type, wrong }).code,
        401);
    EXPECT_EQ (fixture.backend.service_calls, 0);
    const std::string right = "Authorization: Bearer 0123456789abcdef";
    EXPECT_EQ (
        send_request (fixture, "/v1/command", drain, { type, right }).code,
        200);
    EXPECT_EQ (fixture.backend.service_calls, 1);
  }
  unlink (path);
}

/* A web page in an operator's browser can send a form to the loopback port of
   a host without a secret.  It must not be taken as a command. */
TEST (OperatorTask, RefusesBrowserForms)
{
  OperatorFixture fixture;
  EXPECT_EQ (send_request (fixture, "/v1/command", drain, {}).code, 400);
  EXPECT_EQ (send_request (fixture, "/v1/command", drain,
                           { "Content-Type: text/plain" })
                 .code,
             400);
  EXPECT_EQ (fixture.backend.service_calls, 0);
}

TEST (OperatorTask, RefusesInvalidCommands)
{
  OperatorFixture fixture;
  fixture.add_table ("targets", "[{\"service\":\"a\",\"target\":\"t\"}]");
  EXPECT_EQ (
      send_request (fixture, "/v1/command", "{\"command\":\"reboot\"}").code,
      400);
  EXPECT_EQ (send_request (fixture, "/v1/command", "").code, 400);
  EXPECT_EQ (send_request (fixture, "/v1/command",
                           (drain + std::string (20000, ' ')).c_str ())
                 .code,
             400);
  EXPECT_EQ (send_request (fixture, "/v1/command",
                           "{\"command\":\"drain\",\"target\":\"x\"}")
                 .code,
             404);
  EXPECT_EQ (send_request (fixture, "/v1/command",
                           "{\"command\":\"drain\",\"target\":\"t\"}")
                 .code,
             200);
  EXPECT_STREQ (fixture.backend.last_command.service, "a");
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

TEST (OperatorTask, GarbageDoesNotAffectOtherRequests)
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
      EXPECT_EQ (send_request (fixture, "/v1/targets").code, 200);
    }
}

/* A command is in flight when its host leaves.  The write may have taken
   effect, so the response must not report a refusal, and there must be one. */
TEST (OperatorTask, LeavingHostReportsUnknownOutcome)
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
  /* The loop below ends once the command has arrived. */
  while (send_request (fixture, "/metrics").code == 200
         && fixture.backend.service_calls == 0)
    ;
  fixture.finish ();
  EXPECT_EQ (fixture.backend.cancels, 1);
  char text[4096];
  std::string response;
  ssize_t size;
  while ((size = recv (fd, text, sizeof text, 0)) > 0)
    response.append (text, static_cast<size_t> (size));
  close (fd);
  EXPECT_NE (response.find ("504"), std::string::npos) << response;
  EXPECT_NE (response.find ("lost-answer"), std::string::npos) << response;
}

TEST (OperatorTask, ReportsUnreadableSecretFile)
{
  OperatorFixture fixture ("/nowhere/secret");
  EXPECT_EQ (fixture.status, STATUS_SYSTEM);
  EXPECT_NE (std::string (status_message ()).find ("/nowhere/secret"),
             std::string::npos);
}
