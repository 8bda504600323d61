#include "wire/platform_version.h"

#include <assert.h>

/* From the highest bit on: 20 of the era, 42 of the revision, 2 of the
   rank. */
enum
{
  RANK_BITS = 2,
  ERA_SHIFT = 44,
};

static const uint64_t RANK_MASK = (1U << RANK_BITS) - 1;

uint64_t
platform_version_make (uint64_t era, uint64_t revision)
{
  assert (era <= PLATFORM_ERA_MAX);
  return era == 0 ? revision : era << ERA_SHIFT | revision << RANK_BITS;
}

uint64_t
platform_version_era (uint64_t version)
{
  return version >> ERA_SHIFT;
}

uint64_t
platform_version_revision (uint64_t version)
{
  return platform_version_era (version) == 0
             ? version
             : version >> RANK_BITS & PLATFORM_REVISION_MAX;
}

enum platform_version_rank
platform_version_rank (uint64_t version)
{
  return platform_version_era (version) == 0
             ? PLATFORM_RANK_STORED
             : (enum platform_version_rank) (version & RANK_MASK);
}

uint64_t
platform_version_with_rank (uint64_t version, enum platform_version_rank rank)
{
  assert (platform_version_era (version) > 0);
  return (version & ~RANK_MASK) | rank;
}
