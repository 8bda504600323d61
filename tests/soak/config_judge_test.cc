/** The judgement itself: it must be able to fail. */
#include <gtest/gtest.h>

#include <limits>

#include "tests/soak/config_judge.h"

namespace
{

const char *const path = "/move/";

ConfigVersion
version (int64_t at_ms, const std::string &service)
{
  ConfigVersion made{ at_ms, at_ms + 10, {} };
  if (!service.empty ())
    made.services[path] = service;
  return made;
}

ConfigRequest
request (int64_t sent_ms, const std::string &ran_by, int lifetime = 1)
{
  return { "r",
           1,
           lifetime,
           path,
           sent_ms,
           sent_ms + 20,
           ran_by.empty () ? 404 : 200,
           ran_by };
}

const std::vector<ConfigVersion> versions
    = { version (0, "a"), version (10000, "b"), version (20000, "") };

size_t
count_wrong (const std::vector<ConfigRequest> &requests,
             const std::vector<ConfigDisturbance> &disturbances = {})
{
  return config_judge ({}, versions, disturbances, requests).wrong.size ();
}

TEST (ConfigJudge, EachVersionMayHandleUntilItsSuccessorIsDue)
{
  EXPECT_EQ (count_wrong ({ request (12009, "a") }), 0U);
  EXPECT_EQ (count_wrong ({ request (12010, "a") }), 1U);
  EXPECT_EQ (count_wrong ({ request (10000, "b") }), 0U);
  EXPECT_EQ (count_wrong ({ request (22009, "b") }), 0U);
  EXPECT_EQ (count_wrong ({ request (22010, "b") }), 1U);
}

TEST (ConfigJudge, ServiceThatNoVersionNamesIsWrong)
{
  EXPECT_EQ (count_wrong ({ request (5000, "c") }), 1U);
  EXPECT_EQ (count_wrong ({ request (5000, "b") }), 1U);
}

TEST (ConfigJudge, NotFoundIsAllowedOnlyWithoutTheRoute)
{
  EXPECT_EQ (count_wrong ({ request (5000, "") }), 1U);
  EXPECT_EQ (count_wrong ({ request (20000, "") }), 0U);
}

TEST (ConfigJudge, DisturbanceExcusesUntilTheProcessIsStable)
{
  const std::vector<ConfigDisturbance> pause = { { 1, 11000, 13000 } };
  EXPECT_EQ (count_wrong ({ request (16000, "a") }, pause), 0U);
  EXPECT_EQ (count_wrong ({ request (16001, "a") }, pause), 1U);
  EXPECT_EQ (count_wrong ({ request (13000, "a") }, { { 2, 11000, 13000 } }),
             1U);
  EXPECT_EQ (count_wrong ({ request (13000, "a") }, { { 0, 11000, 13000 } }),
             0U);
}

TEST (ConfigJudge, UnstablePlatformStretchesTheBound)
{
  const std::vector<ConfigDisturbance> compaction
      = { { 0, 11000, 11000, true }, { 0, 14000, 14000, true } };
  EXPECT_EQ (count_wrong ({ request (13000, "a") }, compaction), 0U);
  EXPECT_EQ (count_wrong ({ request (17000, "a") }, compaction), 0U);
  EXPECT_EQ (count_wrong ({ request (17001, "a") }, compaction), 1U);
  const std::vector<ConfigDisturbance> later = { { 0, 17000, 17000, true } };
  EXPECT_EQ (count_wrong ({ request (17009, "a") }, later), 0U);
  EXPECT_EQ (count_wrong ({ request (17010, "a") }, later), 1U);
}

TEST (ConfigJudge, ProcessThatGoesBackIsWrongAlsoWhileDisturbed)
{
  const std::vector<ConfigDisturbance> always
      = { { 1, 0, std::numeric_limits<int64_t>::max () } };
  EXPECT_EQ (
      count_wrong ({ request (10100, "b"), request (10370, "a") }, always),
      1U);
  EXPECT_EQ (
      count_wrong ({ request (10100, "b"), request (10360, "a") }, always),
      0U);
  EXPECT_EQ (
      count_wrong ({ request (10100, "b"), request (10400, "a", 2) }, always),
      0U);
}

} // namespace
