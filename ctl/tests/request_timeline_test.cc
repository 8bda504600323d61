#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

extern "C"
{
#include "ctl/request_timeline.h"
}

namespace
{

const std::string time_prefix = "2026-12-02T21:41:0";

class RequestTimeline : public testing::Test
{
protected:
  request_timeline *timeline = request_timeline_create ("ab12");

  void
  TearDown () override
  {
    request_timeline_destroy (timeline);
  }

  void
  read (const char *source, std::string text)
  {
    FILE *file = fmemopen (text.data (), text.size (), "r");
    request_timeline_read (timeline, source, file);
    fclose (file);
  }

  std::string
  finish_and_print ()
  {
    char *text = nullptr;
    size_t size = 0;
    FILE *out = open_memstream (&text, &size);
    request_timeline_finish (timeline);
    request_timeline_print (timeline, out);
    fclose (out);
    const std::string result (text, size);
    free (text);
    return result;
  }
};

#define EXPECT_HAS(text, part)                                                \
  EXPECT_NE ((text).find (part), std::string::npos) << (text)
#define EXPECT_LACKS(text, part)                                              \
  EXPECT_EQ ((text).find (part), std::string::npos) << (text)

/* A caller has a 502 and doesn't know whether its request ran.  Two hosts have
   lines on it, since the caller sent it to a second host. */
TEST_F (RequestTimeline, SortsLinesOfAllHostsAndFindsCause)
{
  read ("h2",
        time_prefix
            + "2.100Z warning caller refused id=ab12 status=502 "
              "outcome=unknown reason=cut attempts=1\n"
            + time_prefix
            + "2.000Z warning caller attempt-failed id=ab12 target=t9 "
              "attempt=1 end=cut status=0 took_us=7000 "
              "believed_failing_permille=12\n"
            + time_prefix
            + "1.500Z info caller route id=ab12 verdict=send target=t9\n"
            + time_prefix + "1.600Z info caller route id=cd34 target=t8\n"
            + time_prefix + "1.000Z info registry target-gone target=t9\n"
            + time_prefix + "1.000Z info registry target-gone target=t8\n");
  read ("h3", time_prefix + "1.000Z info registry target-gone target=t9\n");
  read ("h1", time_prefix
                  + "0.900Z warning caller refused id=ab12 status=503 "
                    "outcome=not-run reason=no-settings attempts=0\n");
  const std::string text = finish_and_print ();
  EXPECT_TRUE (request_timeline_is_found (timeline));
  EXPECT_LT (text.find ("h1 refused"), text.find ("h2 route"));
  EXPECT_LT (text.find ("h2 route"), text.find ("h2 attempt-failed"));
  EXPECT_HAS (text, "target-gone target=t9");
  EXPECT_LACKS (text, "t8");
  EXPECT_LACKS (text, "h3");
  EXPECT_HAS (text, "cause: host h2 answered 502 by itself (cut), and it may "
                    "have run");
  EXPECT_HAS (text, "target t9 broke off after 7 ms, believed to fail 12");
  EXPECT_LACKS (text, "missing");
}

TEST_F (RequestTimeline, ReportsFailureOfTarget)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller attempt-failed id=ab12 target=t9 "
                    "attempt=1 end=failed status=500 took_us=7000\n");
  const std::string text = finish_and_print ();
  EXPECT_HAS (text, "cause: target t9 answered with a failure of its own "
                    "(500)");
  EXPECT_HAS (text, "missing: why its targets were chosen");
}

/* A request over quota is refused before a target is looked for, so no line on
   the choice of a target is missing. */
TEST_F (RequestTimeline, ExhaustedQuotaIsTheCause)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller refused id=ab12 workspace=june "
                    "status=429 outcome=not-run reason=over-quota "
                    "retry_after_ms=960 attempts=0\n");
  const std::string text = finish_and_print ();
  EXPECT_HAS (text, "cause: host h1 answered 429 by itself (over-quota), and "
                    "it never ran, since its workspace had used up its quota");
  EXPECT_LACKS (text, "missing");
}

/* A request that was queued for a target has a line on the decision. */
TEST_F (RequestTimeline, ReportsMissingDecisionLine)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller refused id=ab12 status=503 "
                    "outcome=not-run reason=queue-full attempts=0\n");
  EXPECT_HAS (finish_and_print (), "missing: why its targets were chosen");
}

TEST_F (RequestTimeline, ReportsDisconnectedCaller)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller abandoned id=ab12 stage=waiting "
                    "attempts=0\n");
  EXPECT_HAS (finish_and_print (),
              "the caller went away while the request was waiting");
}

/* Guards against a connection that the host closed and that is put down to the
   caller. */
TEST_F (RequestTimeline, ReportsConnectionClosedByTheHost)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller abandoned id=ab12 stage=sent "
                    "why=host-stops attempts=1\n");
  EXPECT_HAS (finish_and_print (),
              "the host stopped while the request was sent");
}

/* A host suppresses lines beyond its limit.  The missing ones must be listed,
   or an incomplete timeline looks complete. */
TEST_F (RequestTimeline, ReportsMissingLines)
{
  read ("h1", time_prefix
                  + "2.000Z warning caller refused id=ab12 status=502 "
                    "outcome=unknown reason=attempts attempts=2\n"
                  + time_prefix
                  + "1.000Z warning caller attempt-failed id=ab12 target=t9 "
                    "attempt=2 end=cut status=0 took_us=7000\n"
                  + time_prefix
                  + "2.500Z info caller log-withheld repeated=route "
                    "withheld=170\n");
  const std::string text = finish_and_print ();
  EXPECT_HAS (text, "missing: how attempt 1 of 2 ended");
  EXPECT_LACKS (text, "how attempt 2 of 2");
  EXPECT_HAS (text, "host h1 left out 170 lines of the event route");
}

TEST_F (RequestTimeline, ReportsRequestWithoutLines)
{
  read ("h1", "garbage\n" + time_prefix + "2.000Z info caller route id=zz\n");
  const std::string text = finish_and_print ();
  EXPECT_FALSE (request_timeline_is_found (timeline));
  EXPECT_HAS (text, "missing: every line on it");
}

/* A host loses power with a request in flight.  Its log ends in the middle of
   the request and continues with a restart, twice. */
TEST_F (RequestTimeline, StoppedHostIsTheCause)
{
  read ("h1", time_prefix + "1.000Z info main serving host=h1\n" + time_prefix
                  + "2.000Z info caller route id=ab12 verdict=send target=t9\n"
                  + time_prefix + "4.000Z info main serving host=h1\n"
                  + time_prefix + "8.000Z info main serving host=h1\n");
  read ("h2", time_prefix + "3.000Z info main serving host=h2\n");
  const std::string text = finish_and_print ();
  EXPECT_HAS (text, "host h1 sent it to target t9 and wrote no end");
  EXPECT_HAS (text, "started anew at " + time_prefix + "4.000Z");
  EXPECT_LACKS (text, "8.000Z");
  EXPECT_LACKS (text, "3.000Z");
}

TEST_F (RequestTimeline, NamesRestartedHostsWithoutLines)
{
  read ("h1", time_prefix + "4.000Z info main serving host=h1\n");
  EXPECT_HAS (finish_and_print (),
              "what host h1 had in flight before it started at " + time_prefix
                  + "4.000Z");
}

TEST_F (RequestTimeline, FormatsJson)
{
  read ("h1", time_prefix + "2.000Z info caller route id=ab12 target=t9\n");
  request_timeline_finish (timeline);
  struct json_object *tree = request_timeline_json (timeline);
  EXPECT_STREQ (json_object_get_string (json_object_object_get (tree, "id")),
                "ab12");
  EXPECT_EQ (json_object_array_length (json_object_object_get (tree, "lines")),
             1u);
  EXPECT_NE (json_object_object_get (tree, "cause"), nullptr);
  EXPECT_NE (json_object_object_get (tree, "missing"), nullptr);
  json_object_put (tree);
}

} // namespace
