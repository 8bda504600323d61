#include "caller_fixture.h"

namespace
{

class CrowdedTest : public CallerTest
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

  /** A caller that stays connected after its answer, unless told to go. */
  std::unique_ptr<RawCaller>
  stay (int number)
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
  told_to_go (const RawCaller &raw)
  {
    return raw.received.find ("Connection: close") != std::string::npos;
  }

  target_server *target = nullptr;
};

/* Hosts are lost, and all their callers come to one that is left.  Each keeps
 * its connection after its answer, and soon nobody else's is accepted: whoever
 * comes waits until he gives up, though the host has little to do.  From nine
 * tenths on, connections must end with their answers. */
TEST_F (CrowdedTest, CallersGoWithTheirAnswersBeforeAllConnectionsAreTaken)
{
  std::vector<std::unique_ptr<RawCaller>> kept;
  for (int i = 0; i < 8; i++)
    {
      kept.push_back (stay (i));
      EXPECT_FALSE (told_to_go (*kept.back ())) << i;
    }
  for (int i = 8; i < 30; i++)
    {
      auto raw = stay (i);
      ASSERT_NE (raw->received.find (" 200 "), std::string::npos) << i;
      if (!told_to_go (*raw))
        kept.push_back (std::move (raw));
      else
        EXPECT_TRUE (run_until ([&raw] { return raw->closed; })) << i;
    }
  EXPECT_EQ (kept.size (), 8u);
  EXPECT_EQ (target_server_most_runs (target), 1u);
  for (auto &raw : kept)
    raw->hang_up ();
}

} // namespace
