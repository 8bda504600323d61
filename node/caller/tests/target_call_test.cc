/* Calls that are cancelled within libcurl's callbacks of other calls.  Their
   requests are reported as not sent, so they must not be sent. */
#include <gtest/gtest.h>

#include <functional>
#include <string>

extern "C"
{
#include "node/caller/target_call.h"
#include "tests/standins/target_server.h"
}

namespace
{

class TargetCallTest : public testing::Test
{
protected:
  struct Owner
  {
    std::function<void ()> on_head;
    bool ended = false;
    target_call_end end = TARGET_CALL_NOT_SENT;
  };

  TargetCallTest ()
  {
    loop = ev_loop_new (EVFLAG_AUTO);
    curl_loop_options options = {};
    options.connections_host_max = 1;
    curl = curl_loop_create (loop, &options);
    server = target_server_create (loop, "127.0.0.1:0", "t1");
  }

  ~TargetCallTest () override
  {
    curl_loop_destroy (curl);
    target_server_destroy (server);
    header_list_release (&headers);
    ev_loop_destroy (loop);
  }

  target_call *
  begin (Owner *owner, const char *id)
  {
    static const target_call_events events = {
      [] (void *, char *, size_t) -> size_t { return 0; },
      [] (void *data, const target_head *) -> const char * {
        auto *call = static_cast<Owner *> (data);
        if (call->on_head)
          call->on_head ();
        return nullptr;
      },
      [] (void *, const char *, size_t) { return true; },
      [] (void *data, target_call_end end, const char *) {
        auto *call = static_cast<Owner *> (data);
        call->ended = true;
        call->end = end;
      },
    };
    const std::string field = std::string ("X-Request-Id: ") + id;
    const char *const extra[] = { field.c_str (), nullptr };
    target_call_options options = {};
    options.curl = curl;
    options.events = &events;
    options.owner = owner;
    options.address = target_server_address (server);
    options.method = "GET";
    options.uri = "/holds";
    options.headers = &headers;
    options.extra_fields = extra;
    options.reuse_idle_max_ms = 10000;
    options.connect_timeout_ms = 10000;
    return target_call_start (&options);
  }

  void
  wait_for (const Owner &owner)
  {
    while (!owner.ended)
      ev_run (loop, EVRUN_ONCE);
  }

  struct ev_loop *loop = nullptr;
  curl_loop *curl = nullptr;
  target_server *server = nullptr;
  header_list headers = {};
};

/* The second call waits for the connection of the first one, which becomes
   free in the same call of libcurl in which the second one is cancelled. */
TEST_F (TargetCallTest, CallCancelledInACallbackIsNotSent)
{
  Owner first, second, third;
  begin (&first, "first");
  target_call *cancelled = begin (&second, "second");
  bool sent = true;
  first.on_head = [&] {
    sent = target_call_may_have_sent (cancelled);
    target_call_cancel (cancelled);
  };
  wait_for (first);
  EXPECT_EQ (first.end, TARGET_CALL_COMPLETE);
  EXPECT_FALSE (sent);
  begin (&third, "third");
  wait_for (third);
  EXPECT_FALSE (second.ended);
  EXPECT_EQ (target_server_runs (server, "third"), 1u);
  EXPECT_EQ (target_server_runs (server, "second"), 0u);
}

} // namespace
