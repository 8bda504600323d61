#include <gtest/gtest.h>

extern "C"
{
#include "node/host_resources.h"
}

namespace
{

TEST (HostResources, UnknownOnesGiveTheUsualNumber)
{
  const host_resources unknown = {};
  EXPECT_EQ (host_resources_max_connections (&unknown, 1000), 1000u);
}

/* Two of three hosts of a set are killed, and all their callers come to the
 * third, which could carry them.  At its limit of 2,000 connections it accepts
 * nobody else: callers wait a second, give up, and their requests are still
 * sent on when the connection is accepted at last, five seconds later. */
TEST (HostResources, AStrongHostTakesTheCallersOfOthers)
{
  const host_resources strong = { 50, 200, 512, 8192 };
  EXPECT_EQ (host_resources_max_connections (&strong, 1000), 4505u);
}

TEST (HostResources, MemoryOrFilesBind)
{
  const host_resources little_memory = { 10, 10, 160, 100000 };
  EXPECT_EQ (host_resources_max_connections (&little_memory, 1000), 2048u);
  const host_resources few_files = { 10, 10, 100000, 1000 };
  EXPECT_EQ (host_resources_max_connections (&few_files, 1000), 550u);
  const host_resources least = { 0, 0, 0, 1 };
  EXPECT_EQ (host_resources_max_connections (&least, 1000), 1u);
}

} // namespace
