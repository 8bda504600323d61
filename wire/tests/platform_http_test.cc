#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "tests/standins/platform_process.h"
#include "wire/tests/platform_outcome.h"

extern "C"
{
#include "wire/platform_http.h"
#include "wire/platform_http_reply.h"
}

namespace
{

/* Nothing listens at port 1 of this address. */
const char *const closed_address = "127.0.0.2:1";

class PlatformHttp : public testing::Test
{
protected:
  PlatformProcess standin;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct platform *platform = nullptr;

  void
  connect (std::vector<const char *> addresses, uint32_t timeout_ms = 20000)
  {
    platform_destroy (platform);
    struct platform_http_options options = {};
    options.loop = loop;
    options.addresses = addresses.data ();
    options.count = addresses.size ();
    options.timeout_ms = timeout_ms;
    platform = platform_http_create (&options);
    ASSERT_NE (platform, nullptr);
  }

  void
  SetUp () override
  {
    connect ({ standin.address.c_str () });
  }

  void
  TearDown () override
  {
    platform_destroy (platform);
    ev_loop_destroy (loop);
  }

  outcome
  finish (outcome *end)
  {
    while (end->ends == 0)
      ev_run (loop, 0);
    return *end;
  }

  outcome
  get (const char *kind, const char *name)
  {
    outcome end{ loop };
    platform_get (platform, kind, name, on_end, &end);
    return finish (&end);
  }

  outcome
  list (const char *kind)
  {
    outcome end{ loop };
    platform_list (platform, kind, PLATFORM_READ_LATEST, on_end, &end);
    return finish (&end);
  }

  outcome
  put (const char *kind, const char *name, uint64_t expected,
       const char *value)
  {
    outcome end{ loop };
    platform_put (platform, kind, name, expected, value, on_end, &end);
    return finish (&end);
  }
};

TEST_F (PlatformHttp, WritesAreConditional)
{
  outcome end = put ("service", "a b/c", PLATFORM_VERSION_NONE, "{\"n\":1}");
  ASSERT_EQ (end.status, STATUS_OK) << end.message;
  ASSERT_EQ (end.objects.size (), 1u);
  EXPECT_EQ (end.objects[0].name, "a b/c");
  const uint64_t first = end.objects[0].version;
  EXPECT_EQ (put ("service", "a b/c", PLATFORM_VERSION_NONE, "{}").status,
             STATUS_REFUSED);
  end = put ("service", "a b/c", first, "{\"n\":2}");
  ASSERT_EQ (end.status, STATUS_OK);
  const uint64_t second = end.objects[0].version;
  EXPECT_GT (second, first);
  end = put ("service", "a b/c", first, "{\"n\":3}");
  EXPECT_EQ (end.status, STATUS_REFUSED);
  ASSERT_EQ (end.objects.size (), 1u);
  EXPECT_EQ (end.objects[0].version, second);
  EXPECT_EQ (end.objects[0].value, "{\"n\":2}");
  end = get ("service", "a b/c");
  EXPECT_EQ (end.objects.at (0).value, "{\"n\":2}");
  end = list ("service");
  ASSERT_EQ (end.objects.size (), 1u);
  EXPECT_EQ (end.revision, second);
  EXPECT_TRUE (list ("other").objects.empty ());
}

/* A service may be removed and declared again with the same name.  If its
   versions started over, hosts, which keep the highest version, would continue
   to use the removed one. */
TEST_F (PlatformHttp, VersionsIncreaseAcrossARemoval)
{
  const uint64_t first
      = put ("service", "a", PLATFORM_VERSION_NONE, "1").objects[0].version;
  EXPECT_EQ (put ("service", "a", first, nullptr).status, STATUS_OK);
  EXPECT_EQ (get ("service", "a").status, STATUS_NOT_FOUND);
  outcome end = put ("service", "a", first, "2");
  EXPECT_EQ (end.status, STATUS_REFUSED);
  EXPECT_TRUE (end.objects.empty ());
  end = put ("service", "a", PLATFORM_VERSION_NONE, "2");
  ASSERT_EQ (end.status, STATUS_OK);
  EXPECT_GT (end.objects[0].version, first);
}

TEST_F (PlatformHttp, WatchEndsWithTheChange)
{
  const uint64_t first
      = put ("service", "a", PLATFORM_VERSION_NONE, "1").objects[0].version;
  outcome watched{ loop };
  platform_watch (platform, "service", first, 60000, PLATFORM_READ_LATEST,
                  on_end, &watched);
  put ("service", "a", first, nullptr);
  finish (&watched);
  EXPECT_EQ (watched.status, STATUS_OK) << watched.message;
  ASSERT_EQ (watched.objects.size (), 1u);
  EXPECT_EQ (watched.objects[0].value, "(removed)");
  EXPECT_EQ (watched.revision, watched.objects[0].version);
  outcome quiet{ loop };
  platform_watch (platform, "service", watched.revision, 1,
                  PLATFORM_READ_LATEST, on_end, &quiet);
  finish (&quiet);
  EXPECT_EQ (quiet.status, STATUS_OK);
  EXPECT_TRUE (quiet.objects.empty ());
  outcome unknown{ loop };
  platform_watch (platform, "service", 999, 1, PLATFORM_READ_LATEST, on_end,
                  &unknown);
  EXPECT_EQ (finish (&unknown).status, STATUS_REFUSED);
  EXPECT_EQ (standin.calls ("watches"), 3);
}

/* If a reused connection closes after a write took effect but before its
   response, libcurl assumes that the request wasn't sent and resends it.  The
   platform refuses the second write, which would be reported to the operator
   as a conflicting change. */
TEST_F (PlatformHttp, AWriteOnAClosedConnectionRunsOnce)
{
  ASSERT_EQ (get ("service", "a").status, STATUS_NOT_FOUND);
  standin.tell ("lose_answers=1");
  const outcome end = put ("service", "a", PLATFORM_VERSION_NONE, "1");
  EXPECT_EQ (end.status, STATUS_LOST_ANSWER) << end.message;
  EXPECT_EQ (standin.calls ("writes"), 1);
  EXPECT_EQ (get ("service", "a").objects.at (0).value, "1");
}

TEST_F (PlatformHttp, ALostWriteIsNotRetriedAtTheNextAddress)
{
  connect ({ standin.address.c_str (), standin.address.c_str () });
  standin.tell ("lose_answers=1");
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE, "1").status,
             STATUS_LOST_ANSWER);
  EXPECT_EQ (standin.calls ("writes"), 1);
}

TEST_F (PlatformHttp, AnUnsentCallIsRetriedAtTheNextAddress)
{
  connect ({ closed_address, standin.address.c_str () });
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE, "1").status,
             STATUS_OK);
  EXPECT_EQ (platform->calls, 2u);
  EXPECT_EQ (get ("service", "a").status, STATUS_OK);
  EXPECT_EQ (platform->calls, 3u)
      << "later calls start with the address that responded";
}

TEST_F (PlatformHttp, CallsAreUnreachableDuringAnOutage)
{
  ASSERT_EQ (get ("service", "a").status, STATUS_NOT_FOUND);
  standin.tell ("down=1");
  outcome end = put ("service", "a", PLATFORM_VERSION_NONE, "1");
  EXPECT_EQ (end.status, STATUS_UNREACHABLE);
  EXPECT_NE (end.message.find (standin.address), std::string::npos);
  EXPECT_EQ (get ("service", "a").status, STATUS_UNREACHABLE);
  standin.tell ("down=0");
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE, "1").status,
             STATUS_OK);
}

/* A write that times out at a slow platform may take effect later, so it must
   not be reported as unreachable. */
TEST_F (PlatformHttp, AWriteThatTimesOutHasALostResponse)
{
  connect ({ standin.address.c_str () }, 50);
  standin.tell ("slow_ms=600000");
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE, "1").status,
             STATUS_LOST_ANSWER);
  EXPECT_EQ (get ("service", "a").status, STATUS_LOST_ANSWER);
}

TEST_F (PlatformHttp, TheListOfHostsLags)
{
  standin.tell ("lag_ms=600000");
  ASSERT_EQ (put ("host", "h", PLATFORM_VERSION_NONE, "{}").status, STATUS_OK);
  ASSERT_EQ (put ("service", "s", PLATFORM_VERSION_NONE, "{}").status,
             STATUS_OK);
  EXPECT_TRUE (list ("host").objects.empty ());
  EXPECT_EQ (list ("service").objects.size (), 1u);
  standin.tell ("lag_ms=0");
  EXPECT_EQ (list ("host").objects.size (), 1u);
}

TEST_F (PlatformHttp, BadValuesAreRefused)
{
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE, "{").status,
             STATUS_INVALID);
  const std::string large (PLATFORM_VALUE_MAX_BYTES, '1');
  EXPECT_EQ (put ("service", "a", PLATFORM_VERSION_NONE,
                  ("\"" + large + "\"").c_str ())
                 .status,
             STATUS_INVALID);
  EXPECT_EQ (get ("service", "a").status, STATUS_NOT_FOUND);
}

TEST_F (PlatformHttp, CancelledCallsDoNotCallBack)
{
  outcome watched{ loop };
  outcome kept{ loop };
  platform_watch (platform, "service", 0, 60000, PLATFORM_READ_LATEST, on_end,
                  &watched);
  platform_get (platform, "service", "a", on_end, &watched);
  platform_get (platform, "service", "a", on_end, &kept);
  platform_cancel (platform, &watched);
  finish (&kept);
  EXPECT_EQ (get ("service", "a").status, STATUS_NOT_FOUND);
  EXPECT_EQ (watched.ends, 0);
}

void
cancel_all_of_owner (void *owner, const struct platform_reply *reply)
{
  auto *platform = *static_cast<struct platform **> (owner);
  platform_cancel (platform, owner);
}

/* From the callback of a call, its owner may cancel all of its calls,
   including the one that is completing. */
TEST_F (PlatformHttp, AnOwnerMayCancelWithinItsCallback)
{
  platform_watch (platform, "service", 0, 60000, PLATFORM_READ_LATEST, on_end,
                  &platform);
  platform_get (platform, "service", "a", cancel_all_of_owner, &platform);
  EXPECT_EQ (get ("service", "b").status, STATUS_NOT_FOUND);
  EXPECT_EQ (get ("service", "b").status, STATUS_NOT_FOUND);
}

TEST_F (PlatformHttp, DestroyCancelsCallsWithoutCallback)
{
  outcome end{ loop };
  platform_watch (platform, "service", 0, 60000, PLATFORM_READ_LATEST, on_end,
                  &end);
  platform_get (platform, "service", "a", on_end, &end);
  ev_run (loop, EVRUN_NOWAIT);
  platform_destroy (platform);
  platform = nullptr;
  EXPECT_EQ (end.ends, 0);
}

TEST (PlatformHttpOptions, AnAddressIsRequired)
{
  struct platform_http_options options = {};
  EXPECT_EQ (platform_http_create (&options), nullptr);
  EXPECT_NE (strstr (status_message (), "platform addresses"), nullptr);
}

TEST (PlatformHttpReply, InvalidBodiesAreRefused)
{
  for (const char *text :
       { "", "{", "[]", "{}", "null", "{\"name\":\"a\",\"version\":1}",
         "{\"name\":\"a\",\"version\":-1,\"value\":1}",
         "{\"name\":1,\"version\":1,\"value\":1}", "{\"revision\":1}",
         "{\"revision\":1,\"objects\":{}}",
         "{\"revision\":1,\"objects\":[null]}",
         "{\"revision\":1,\"objects\":[{\"name\":\"a\"}]}" })
    {
      struct platform_http_reply reply;
      EXPECT_EQ (platform_http_reply_object (&reply, text, strlen (text)),
                 STATUS_INVALID)
          << text;
      platform_http_reply_release (&reply);
      EXPECT_EQ (platform_http_reply_list (&reply, text, strlen (text)),
                 STATUS_INVALID)
          << text;
      EXPECT_EQ (reply.count, 0u);
      platform_http_reply_release (&reply);
    }
}

} // namespace
