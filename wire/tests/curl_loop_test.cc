#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/standins/platform_process.h"

extern "C"
{
#include "wire/curl_loop.h"
}

namespace
{

/* A transfer, and what it does when it receives its first byte. */
struct transfer
{
  struct ev_loop *loop = nullptr;
  struct curl_loop *cl = nullptr;
  CURL *easy = nullptr;
  CURL *cancel_at_data = nullptr;
  struct transfer *start_at_data = nullptr;
  bool pause_at_data = false;
  bool within_start = false;
  int completions = 0;
  CURLcode code = CURLE_OK;
  size_t bytes = 0;
};

void
on_done (void *owner, CURLcode code, CURL *easy)
{
  auto *t = static_cast<struct transfer *> (owner);
  EXPECT_FALSE (t->within_start);
  EXPECT_EQ (easy, t->easy);
  t->completions++;
  t->code = code;
  ev_break (t->loop, EVBREAK_ONE);
}

void
start (struct transfer *t)
{
  t->within_start = true;
  curl_loop_start (t->cl, t->easy, on_done, t);
  t->within_start = false;
}

size_t
on_data (char *data, size_t size, size_t count, void *owner)
{
  auto *t = static_cast<struct transfer *> (owner);
  if (t->pause_at_data)
    return CURL_WRITEFUNC_PAUSE;
  if (t->start_at_data != nullptr)
    start (t->start_at_data);
  t->start_at_data = nullptr;
  if (t->cancel_at_data != nullptr)
    curl_loop_cancel (t->cl, t->cancel_at_data);
  t->cancel_at_data = nullptr;
  t->bytes += size * count;
  return size * count;
}

class CurlLoop : public testing::Test
{
protected:
  PlatformProcess standin;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct curl_loop *cl = nullptr;

  void
  SetUp () override
  {
    const struct curl_loop_options options = {};
    cl = curl_loop_create (loop, &options);
  }

  void
  TearDown () override
  {
    curl_loop_destroy (cl);
    ev_loop_destroy (loop);
  }

  void
  prepare (struct transfer *t, const std::string &path)
  {
    const std::string url = "http://" + standin.address + path;
    t->loop = loop;
    t->cl = cl;
    t->easy = curl_loop_create_easy ();
    curl_easy_setopt (t->easy, CURLOPT_URL, url.c_str ());
    curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  }

  void
  finish (struct transfer *t)
  {
    while (t->completions == 0)
      ev_run (loop, 0);
  }
};

const char *const long_poll_path = "/watch/service?timeout_ms=600000";

TEST_F (CurlLoop, ATransferCompletesOnce)
{
  struct transfer t;
  prepare (&t, "/objects/service");
  start (&t);
  EXPECT_EQ (curl_loop_running (cl), 1u);
  finish (&t);
  EXPECT_EQ (t.code, CURLE_OK);
  EXPECT_GT (t.bytes, 0u);
  EXPECT_EQ (curl_loop_running (cl), 0u);
  start (&t); /* the handle may be reused */
  t.completions = 0;
  finish (&t);
  EXPECT_EQ (t.code, CURLE_OK);
  curl_easy_cleanup (t.easy);
}

TEST_F (CurlLoop, CancelCompletesLaterWithAborted)
{
  struct transfer t;
  prepare (&t, long_poll_path);
  start (&t);
  ev_run (loop, EVRUN_NOWAIT);
  curl_loop_cancel (cl, t.easy);
  EXPECT_EQ (t.completions, 0);
  finish (&t);
  EXPECT_EQ (t.code, CURLE_ABORTED_BY_CALLBACK);
  curl_easy_cleanup (t.easy);
}

/* While the first bytes of a response are forwarded, its owner may cancel
   transfers and start another one.  libcurl forbids both in its callbacks: the
   handles would be corrupted. */
TEST_F (CurlLoop, CancelAndStartWithinACallback)
{
  struct transfer other;
  struct transfer third;
  struct transfer self;
  prepare (&other, long_poll_path);
  prepare (&third, "/objects/service");
  prepare (&self, "/objects/service");
  self.start_at_data = &third;
  self.cancel_at_data = other.easy;
  third.cancel_at_data = third.easy;
  start (&other);
  start (&self);
  finish (&self);
  finish (&other);
  finish (&third);
  EXPECT_EQ (self.code, CURLE_OK);
  EXPECT_EQ (other.code, CURLE_ABORTED_BY_CALLBACK);
  EXPECT_EQ (third.code, CURLE_ABORTED_BY_CALLBACK);
  ev_run (loop, EVRUN_NOWAIT);
  for (const struct transfer *t : { &other, &third, &self })
    {
      EXPECT_EQ (t->completions, 1);
      curl_easy_cleanup (t->easy);
    }
}

/* A response is paused while its caller reads slowly.  Resuming it runs the
   write callback from within curl_loop_pause(), and the owner may cancel the
   transfer there. */
TEST_F (CurlLoop, CancelWhileResuming)
{
  struct transfer t;
  prepare (&t, "/objects/service");
  t.pause_at_data = true;
  start (&t);
  double head_s = 0;
  while (head_s == 0)
    {
      ev_run (loop, EVRUN_ONCE);
      curl_easy_getinfo (t.easy, CURLINFO_STARTTRANSFER_TIME, &head_s);
    }
  t.pause_at_data = false;
  t.cancel_at_data = t.easy;
  curl_loop_pause (cl, t.easy, CURLPAUSE_CONT);
  finish (&t);
  EXPECT_EQ (t.code, CURLE_ABORTED_BY_CALLBACK);
  curl_easy_cleanup (t.easy);
}

TEST_F (CurlLoop, ATimeoutFiresOnAnIdleLoop)
{
  struct transfer t;
  prepare (&t, long_poll_path);
  curl_easy_setopt (t.easy, CURLOPT_TIMEOUT_MS, 30L);
  start (&t);
  finish (&t);
  EXPECT_EQ (t.code, CURLE_OPERATION_TIMEDOUT);
  curl_easy_cleanup (t.easy);
}

TEST_F (CurlLoop, DestroyAbortsAllTransfers)
{
  struct transfer a;
  struct transfer b;
  prepare (&a, long_poll_path);
  prepare (&b, long_poll_path);
  start (&a);
  start (&b);
  ev_run (loop, EVRUN_NOWAIT);
  curl_loop_cancel (cl, b.easy);
  curl_loop_destroy (cl);
  cl = nullptr;
  for (const struct transfer *t : { &a, &b })
    {
      EXPECT_EQ (t->completions, 1);
      EXPECT_EQ (t->code, CURLE_ABORTED_BY_CALLBACK);
      curl_easy_cleanup (t->easy);
    }
}

} // namespace
