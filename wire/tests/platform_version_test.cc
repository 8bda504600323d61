#include <gtest/gtest.h>

extern "C"
{
#include "wire/platform_version.h"
}

namespace
{

/* Guards against versions of a platform without eras that differ from its
   revisions. */
TEST (PlatformVersion, EqualsTheRevisionWithoutEras)
{
  EXPECT_EQ (platform_version_make (0, 66), 66U);
  EXPECT_EQ (platform_version_era (66), 0U);
  EXPECT_EQ (platform_version_revision (66), 66U);
  EXPECT_EQ (platform_version_rank (66), PLATFORM_RANK_STORED);
}

/* Guards against a state that is ordered by a revision of another era. */
TEST (PlatformVersion, OrdersByEraThenRevisionThenRank)
{
  const uint64_t lost = platform_version_make (1, PLATFORM_REVISION_MAX);
  const uint64_t stored = platform_version_make (2, 62);
  const uint64_t kept
      = platform_version_with_rank (stored, PLATFORM_RANK_KEPT);
  const uint64_t released
      = platform_version_with_rank (kept, PLATFORM_RANK_RELEASED);
  EXPECT_LT (platform_version_make (0, PLATFORM_REVISION_MAX), lost);
  EXPECT_LT (lost, stored);
  EXPECT_LT (stored, kept);
  EXPECT_LT (kept, released);
  EXPECT_LT (released, platform_version_make (2, 63));
  for (const uint64_t version : { stored, kept, released })
    {
      EXPECT_EQ (platform_version_era (version), 2U);
      EXPECT_EQ (platform_version_revision (version), 62U);
    }
  EXPECT_EQ (platform_version_rank (kept), PLATFORM_RANK_KEPT);
  EXPECT_EQ (platform_version_rank (released), PLATFORM_RANK_RELEASED);
  EXPECT_EQ (
      platform_version_era (platform_version_make (PLATFORM_ERA_MAX, 1)),
      PLATFORM_ERA_MAX);
}

} // namespace
