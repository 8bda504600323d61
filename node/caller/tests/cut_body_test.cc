/* Answers that end within their body.  What a caller gets of them must not
   look whole (RFC 9112, 8). */
#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/scripted_target.h"

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{

const size_t block_bytes = 16 * 1024;

/* How a caller sends its request, and whether its answer may be delimited by
   the end of the connection. */
struct Caller
{
  const char *name;
  const char *version;
  const char *fields;
};

const Caller callers[] = { { "keeps its connection", "1.1", "" },
                           { "closes", "1.1", "Connection: close\r\n" },
                           { "is old", "1.0", "" },
                           { "is old and keeps its connection", "1.0",
                             "Connection: keep-alive\r\n" } };

enum class Framing
{
  length,
  chunks,
  end /* of the connection */
};

std::string
hex (size_t number)
{
  char text[20];
  snprintf (text, sizeof text, "%zx", number);
  return text;
}

/* A response with the first KEPT bytes of a body of SIZE bytes. */
std::string
response (Framing framing, size_t size, size_t kept)
{
  const std::string body (size, 'b');
  const std::string start = "HTTP/1.1 200 OK\r\n";
  switch (framing)
    {
    case Framing::length:
      return start + "Content-Length: " + std::to_string (size) + "\r\n\r\n"
             + body.substr (0, kept);
    case Framing::chunks:
      return start + "Transfer-Encoding: chunked\r\n\r\n" + hex (size) + "\r\n"
             + body.substr (0, kept);
    case Framing::end:
      return start + "\r\n" + body.substr (0, kept);
    }
  return "";
}

bool
has (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

/* Whether a caller that got these bytes takes the response for whole. */
bool
looks_whole (const RawCaller &caller)
{
  const std::string &text = caller.received;
  const size_t end = text.find ("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  const std::string head = text.substr (0, end + 2);
  const std::string body = text.substr (end + 4);
  const std::string length_field = "\r\nContent-Length: ";
  if (has (head, "\r\nTransfer-Encoding: chunked\r\n"))
    return has (body, "\r\n0\r\n") || body.rfind ("0\r\n", 0) == 0;
  if (has (head, length_field))
    return body.size () >= std::stoul (
               head.substr (head.find (length_field) + length_field.size ()));
  return caller.closed && !caller.reset;
}

class CutBody : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = std::make_unique<ScriptedTarget> (loop);
    start ();
    put_service_at (target->address ());
  }

  void
  TearDown () override
  {
    caller_task_destroy (task);
    task = nullptr;
    target.reset ();
    CallerTest::TearDown ();
  }

  void
  answer (const std::string &bytes, ScriptedEnd end)
  {
    target->script = [bytes] (const ScriptedRequest &) { return bytes; };
    target->end = [end] (const ScriptedRequest &) { return end; };
  }

  std::unique_ptr<RawCaller>
  send (const Caller &caller)
  {
    return send (caller, caller_task_address (task));
  }

  std::unique_ptr<RawCaller>
  send (const Caller &caller, const std::string &address)
  {
    auto raw = connect_raw (address);
    raw->write (std::string ("POST /holds HTTP/") + caller.version
                + "\r\nHost: h\r\n" + caller.fields
                + "Content-Length: 0\r\n\r\n");
    return raw;
  }

  /* Checks what CALLER gets of an answer whose target ends its connection
     as END after BYTES. */
  void
  expect_not_whole (const Caller &caller, const std::string &bytes,
                    ScriptedEnd end)
  {
    answer (bytes, end);
    const auto raw = send (caller);
    const auto is_refused
        = [&] { return has (raw->received, " 502 Bad Gateway\r\n"); };
    ASSERT_TRUE (run_until ([&] {
      return raw->closed || (is_refused () && looks_whole (*raw));
    })) << caller.name;
    EXPECT_TRUE (is_refused () || !looks_whole (*raw))
        << caller.name << " " << bytes.substr (0, 80) << "\n-> "
        << raw->received.substr (0, 300) << " " << raw->received.size ();
    raw->hang_up ();
  }

  std::unique_ptr<ScriptedTarget> target;
};

/* Guards against a cut answer that looks whole to its caller, also if it is
   cut where a block of the host ends. */
TEST_F (CutBody, NeverLooksWhole)
{
  for (const Caller &caller : callers)
    for (const Framing framing :
         { Framing::length, Framing::chunks, Framing::end })
      for (const ScriptedEnd end : { ScriptedEnd::close, ScriptedEnd::reset })
        for (const size_t kept :
             { (size_t)0, (size_t)1, block_bytes - 1, block_bytes,
               block_bytes + 1, 2 * block_bytes, 4 * block_bytes,
               5 * block_bytes - 1, 5 * block_bytes })
          {
            /* These are whole. */
            if ((framing == Framing::end && end == ScriptedEnd::close)
                || (framing == Framing::length && kept == 5 * block_bytes))
              continue;
            expect_not_whole (caller,
                              response (framing, 5 * block_bytes, kept), end);
          }
}

/* Guards against the same where the answer ends within the framing of its
   chunks or its trailer. */
TEST_F (CutBody, CutFramingNeverLooksWhole)
{
  const std::string whole
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5;name=value\r\nfirst\r\n6\r\nsecond\r\n0\r\nX-Sum: 1\r\n\r\n";
  const size_t head_size = whole.find ("\r\n\r\n") + 4;
  for (const Caller &caller : callers)
    for (const ScriptedEnd end : { ScriptedEnd::close, ScriptedEnd::reset })
      for (size_t kept = head_size; kept < whole.size () - 1; kept++)
        expect_not_whole (caller, whole.substr (0, kept), end);
}

/* Guards against an answer that looks whole since its host is stopped while it
   is passed on. */
TEST_F (CutBody, OfAStoppedHostNeverLooksWhole)
{
  for (const Caller &caller : callers)
    for (const Framing framing :
         { Framing::length, Framing::chunks, Framing::end })
      {
        answer (response (framing, 5 * block_bytes, 4 * block_bytes),
                ScriptedEnd::keep);
        const auto raw = send (caller);
        ASSERT_TRUE (run_until (
            [&] { return raw->received.size () >= 4 * block_bytes; }));
        caller_task_destroy (task);
        task = nullptr;
        ASSERT_TRUE (run_until ([&] { return raw->closed; })) << caller.name;
        EXPECT_FALSE (looks_whole (*raw)) << caller.name << "\n"
                                          << raw->received.substr (0, 200);
        raw->hang_up ();
        start ();
        put_service_at (target->address ());
      }
}

/* A host in a process of its own, until it is killed. */
class HostProcess
{
public:
  /** RUN is called in the process: it starts the host, calls its argument with
   * the host's address, and runs until it is killed. */
  explicit HostProcess (
      const std::function<void (const std::function<void (const char *)> &)>
          &run)
  {
    int fds[2];
    char text[64] = "";
    EXPECT_EQ (pipe (fds), 0);
    pid_ = fork ();
    if (pid_ == 0)
      {
        prctl (PR_SET_PDEATHSIG, SIGKILL);
        run ([&] (const char *at) {
          if (write (fds[1], at, strlen (at) + 1) < 0)
            _exit (1);
        });
        _exit (0);
      }
    EXPECT_GT (read (fds[0], text, sizeof text - 1), 0);
    close (fds[0]);
    close (fds[1]);
    address = text;
  }

  ~HostProcess ()
  {
    kill_now ();
  }

  void
  kill_now ()
  {
    if (pid_ <= 0)
      return;
    kill (pid_, SIGKILL);
    waitpid (pid_, nullptr, 0);
    pid_ = 0;
  }

  std::string address;

private:
  pid_t pid_;
};

/* Guards against an answer that looks whole since its host is killed while it
   is passed on: an old caller takes the end of the connection for that of the
   body. */
TEST_F (CutBody, OfAKilledHostNeverLooksWhole)
{
  for (const Caller &caller : callers)
    for (const Framing framing :
         { Framing::length, Framing::chunks, Framing::end })
      {
        answer (response (framing, 5 * block_bytes, 4 * block_bytes),
                ScriptedEnd::keep);
        HostProcess process ([this] (const auto &tell) {
          CallerTest::SetUp ();
          start ();
          put_service_at (target->address ());
          tell (caller_task_address (task));
          ev_run (loop, 0);
        });
        const auto raw = send (caller, process.address);
        ASSERT_TRUE (run_until ([&] {
          return raw->received.size () >= 4 * block_bytes;
        })) << raw->received.size ();
        process.kill_now ();
        ASSERT_TRUE (run_until ([&] { return raw->closed; })) << caller.name;
        EXPECT_FALSE (looks_whole (*raw)) << caller.name << "\n"
                                          << raw->received.substr (0, 200);
        raw->hang_up ();
      }
}

/* Guards against tests that take a cut head of a host for a whole answer. */
TEST_F (CutBody, CutHeadFailsACallOfTests)
{
  answer ("HTTP/1.1 200 OK\r\nServer: s\r\n", ScriptedEnd::close);
  Call call;
  call.url = "http://" + target->address () + "/";
  finish (&call);
  EXPECT_EQ (call.status, 200);
  EXPECT_EQ (call.code, CURLE_PARTIAL_FILE);
}

/* Guards against an answer of unknown length that is reset though it is
   whole. */
TEST_F (CutBody, WholeAnswersLookWhole)
{
  for (const Caller &caller : callers)
    for (const Framing framing :
         { Framing::length, Framing::chunks, Framing::end })
      for (const size_t size : { (size_t)0, (size_t)1, 5 * block_bytes })
        {
          std::string bytes = response (framing, size, size);
          if (framing == Framing::chunks)
            bytes += size == 0 ? "\r\n" : "\r\n0\r\n\r\n";
          answer (bytes, ScriptedEnd::close);
          const auto raw = send (caller);
          EXPECT_TRUE (run_until ([&] { return looks_whole (*raw); }))
              << caller.name << " " << size << "\n"
              << raw->received.substr (0, 200) << raw->reset;
          EXPECT_GE (raw->received.size (), size);
          EXPECT_FALSE (raw->reset);
          raw->hang_up ();
        }
}

} // namespace
