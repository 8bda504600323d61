#include <gtest/gtest.h>

extern "C"
{
#include "node/host_resources.h"
}

namespace
{

TEST (HostResources, UsesDefaultIfUnknown)
{
  const host_resources unknown = {};
  EXPECT_EQ (host_resources_max_connections (&unknown, 1000), 1000u);
}

/* Two of three hosts of a set are killed, and all their callers connect to the
 * third, which has the capacity to serve them.  With a limit of 2,000
 * connections it accepts no more: callers give up after a second, and their
 * requests are still forwarded when the connections are accepted five seconds
 * later. */
TEST (HostResources, LargeHostAcceptsCallersOfFailedHosts)
{
  const host_resources large = { 50, 200, 512, 8192 };
  EXPECT_EQ (host_resources_max_connections (&large, 1000), 4505u);
}

TEST (HostResources, LimitedByMemoryOrFiles)
{
  const host_resources low_memory = { 10, 10, 160, 100000 };
  EXPECT_EQ (host_resources_max_connections (&low_memory, 1000), 2048u);
  const host_resources few_files = { 10, 10, 100000, 1000 };
  EXPECT_EQ (host_resources_max_connections (&few_files, 1000), 550u);
  const host_resources minimum = { 0, 0, 0, 1 };
  EXPECT_EQ (host_resources_max_connections (&minimum, 1000), 1u);
}

} // namespace
