#include "caller_fixture.h"

namespace
{

class ConnectionLimitTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    settings.limits.connections = 10;
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
  }

  /** Connect a caller that stays connected after its response unless it gets
   * "Connection: close". */
  std::unique_ptr<RawCaller>
  connect_and_get (int number)
  {
    auto raw = connect_raw ();
    raw->write ("GET /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: c"
                + std::to_string (number) + "\r\n\r\n");
    EXPECT_TRUE (run_until ([&raw] {
      return raw->received.find ("\r\n\r\n") != std::string::npos;
    })) << number;
    return raw;
  }

  static bool
  is_closing (const RawCaller &raw)
  {
    return raw.received.find ("Connection: close") != std::string::npos;
  }

  target_server *target = nullptr;
};

/* After other hosts fail, their callers all connect to the remaining ones.  If
   each keeps its connection after its response, the connection limit is soon
   reached and further callers wait until they time out, although the host has
   little load.  Above nine tenths of the limit, connections must be closed
   after their responses. */
TEST_F (ConnectionLimitTest, ConnectionsAreClosedAfterResponsesNearLimit)
{
  std::vector<std::unique_ptr<RawCaller>> kept;
  for (int i = 0; i < 8; i++)
    {
      kept.push_back (connect_and_get (i));
      EXPECT_FALSE (is_closing (*kept.back ())) << i;
    }
  for (int i = 8; i < 30; i++)
    {
      auto raw = connect_and_get (i);
      ASSERT_NE (raw->received.find (" 200 "), std::string::npos) << i;
      if (!is_closing (*raw))
        kept.push_back (std::move (raw));
      else
        EXPECT_TRUE (run_until ([&raw] { return raw->closed; })) << i;
    }
  EXPECT_EQ (kept.size (), 8u);
  EXPECT_EQ (target_server_max_runs (target), 1u);
  for (auto &raw : kept)
    raw->hang_up ();
}

} // namespace
