/** Every command of the operators' program against a real fleet. */
#include <gtest/gtest.h>

#include "tests/harness/fleet.h"

namespace
{

class Command : public testing::Test
{
protected:
  Fleet fleet{ [] {
    FleetOptions options;
    options.hosts = 2;
    options.targets = 3;
    options.secret = true;
    options.times = "\"evidence_ms\":100,\"enforce_ms\":600,"
                    "\"owner_lease_ms\":1200";
    return options;
  }() };

  void
  SetUp () override
  {
    ASSERT_TRUE (fleet.start ());
  }

  void
  expect_done (std::vector<std::string> args)
  {
    int code = -1;
    const std::string answer = fleet.jaystair (1, args, &code);
    EXPECT_EQ (code, 0) << answer;
    EXPECT_NE (answer.find ("accepted"), std::string::npos) << answer;
  }

  /* Until both hosts show PART in the row of TABLE that meets CONDITION. */
  void
  expect_seen (const std::string &table, const std::string &condition,
               const std::string &part)
  {
    for (int host = 1; host <= 2; host++)
      EXPECT_TRUE (wait_until ([&] {
        return fleet
                   .jaystair (host,
                              { "--json", "show", table, "where", condition })
                   .find (part)
               != std::string::npos;
      })) << table
          << " " << part << fleet.logs ();
  }
};

TEST_F (Command, DrainAndUndrain)
{
  expect_done ({ "drain", "target-1" });
  expect_seen ("targets", "target=target-1", "\"drained\"");
  expect_done ({ "undrain", "holds/target-1" });
  expect_seen ("targets", "target=target-1", "\"active\"");
}

TEST_F (Command, FloorAndPause)
{
  expect_done ({ "set", "floor", "holds", "8" });
  expect_seen ("services", "floor_capacity=8", "holds");
  expect_done ({ "pause", "ejection", "holds" });
  expect_seen ("services", "service=holds", "paused");
  expect_done ({ "resume", "ejection", "holds" });
  expect_seen ("services", "service=holds", "automatic");
}

/* Three targets of four slots, a floor of four: two may be taken out by hand,
   the third is refused and stays, and what was taken out comes back. */
TEST_F (Command, EjectionByHandKeepsTheFloor)
{
  ASSERT_TRUE (wait_until ([&] {
    int code = -1;
    fleet.jaystair (1, { "eject", "target-1" }, &code);
    return code == 0;
  })) << fleet.logs ();
  expect_done ({ "eject", "target-2" });
  expect_seen ("targets", "target=target-2", "\"ejected\"");
  int code = -1;
  const std::string answer
      = fleet.jaystair (1, { "eject", "target-3" }, &code);
  EXPECT_EQ (code, 1) << answer;
  EXPECT_NE (answer.find ("floor"), std::string::npos) << answer;
  expect_done ({ "reinstate", "target-2" });
  expect_seen ("targets", "target=target-2", "\"active\"");
}

TEST_F (Command, QuestionsAreAnswered)
{
  for (const char *table :
       { "services", "targets", "hosts", "routes", "settings", "decisions",
         "counters", "ejections" })
    {
      int code = -1;
      const std::string answer = fleet.jaystair (1, { "show", table }, &code);
      EXPECT_EQ (code, 0) << answer;
    }
  int code = -1;
  EXPECT_NE (fleet.jaystair (1, { "explain", "target", "target-1" }, &code)
                 .find ("target-1"),
             std::string::npos);
  EXPECT_EQ (code, 0);
  EXPECT_NE (
      fleet.jaystair (1, { "addresses", "holds" }, &code).find (":8080"),
      std::string::npos);
  EXPECT_EQ (code, 0);
  fleet.jaystair (1, { "drain", "no-such-target" }, &code);
  EXPECT_EQ (code, 5);
  fleet.jaystair (1, { "drian", "target-1" }, &code);
  EXPECT_EQ (code, 2);
}

TEST_F (Command, WatchRepeatsAndShowsWhatChanged)
{
  Process watch ({ JAYSTAIR, "--host", fleet.addresses.at (11, 8082),
                   "--watch", "show", "targets" });
  size_t from = 0;
  EXPECT_TRUE (watch.wait_line ({ "target-1", "active" }, &from));
  EXPECT_TRUE (watch.wait_line ({ "target-1", "active" }, &from));
  expect_done ({ "drain", "target-1" });
  EXPECT_TRUE (watch.wait_line ({ "target-1", "drained" }, &from))
      << watch.tail ();
}

/* Somebody without the secret gives a command.  Nothing may change. */
TEST_F (Command, WithoutTheSecretNothingChanges)
{
  Process stranger ({ JAYSTAIR, "--host", fleet.addresses.at (11, 8082),
                      "drain", "target-1" });
  EXPECT_EQ (stranger.wait (), 6) << stranger.tail ();
  expect_seen ("targets", "target=target-1", "\"active\"");
}

} // namespace
