/** Commands of the operators' program against a real fleet. */
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
  expect_accepted (std::vector<std::string> args)
  {
    int code = -1;
    const std::string output = fleet.jaystair (1, args, &code);
    EXPECT_EQ (code, 0) << output;
    EXPECT_NE (output.find ("accepted"), std::string::npos) << output;
  }

  /* Waits until both hosts show PART in the row of TABLE that matches
     CONDITION. */
  void
  expect_shown (const std::string &table, const std::string &condition,
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
  expect_accepted ({ "drain", "target-1" });
  expect_shown ("targets", "target=target-1", "\"drained\"");
  expect_accepted ({ "undrain", "holds/target-1" });
  expect_shown ("targets", "target=target-1", "\"active\"");
}

TEST_F (Command, FloorAndPause)
{
  expect_accepted ({ "set", "floor", "holds", "8" });
  expect_shown ("services", "floor_capacity=8", "holds");
  expect_accepted ({ "pause", "ejection", "holds" });
  expect_shown ("services", "service=holds", "paused");
  expect_accepted ({ "resume", "ejection", "holds" });
  expect_shown ("services", "service=holds", "automatic");
}

/* With three targets of four slots and a floor of four, an operator can eject
   two targets; the third ejection is refused, and an ejected target can be
   reinstated. */
TEST_F (Command, ManualEjectionKeepsFloor)
{
  ASSERT_TRUE (wait_until ([&] {
    int code = -1;
    fleet.jaystair (1, { "eject", "target-1" }, &code);
    return code == 0;
  })) << fleet.logs ();
  expect_accepted ({ "eject", "target-2" });
  expect_shown ("targets", "target=target-2", "\"ejected\"");
  int code = -1;
  const std::string output
      = fleet.jaystair (1, { "eject", "target-3" }, &code);
  EXPECT_EQ (code, 1) << output;
  EXPECT_NE (output.find ("floor"), std::string::npos) << output;
  expect_accepted ({ "reinstate", "target-2" });
  expect_shown ("targets", "target=target-2", "\"active\"");
}

TEST_F (Command, ShowExplainAndAddresses)
{
  for (const char *table :
       { "services", "targets", "hosts", "routes", "settings", "decisions",
         "counters", "ejections" })
    {
      int code = -1;
      const std::string output = fleet.jaystair (1, { "show", table }, &code);
      EXPECT_EQ (code, 0) << output;
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

TEST_F (Command, WatchShowsChanges)
{
  Process watch ({ JAYSTAIR, "--host", fleet.addresses.at (11, 8082),
                   "--watch", "show", "targets" });
  size_t from = 0;
  EXPECT_TRUE (watch.wait_line ({ "target-1", "active" }, &from));
  EXPECT_TRUE (watch.wait_line ({ "target-1", "active" }, &from));
  expect_accepted ({ "drain", "target-1" });
  EXPECT_TRUE (watch.wait_line ({ "target-1", "drained" }, &from))
      << watch.tail ();
}

/* A command without the secret must change nothing. */
TEST_F (Command, WithoutTheSecretNothingChanges)
{
  Process without_secret ({ JAYSTAIR, "--host", fleet.addresses.at (11, 8082),
                            "drain", "target-1" });
  EXPECT_EQ (without_secret.wait (), 6) << without_secret.tail ();
  expect_shown ("targets", "target=target-1", "\"active\"");
}

} // namespace
