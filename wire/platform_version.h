/** @file
 * Versions of objects and revisions of kinds, ordered across restores.
 *
 * A platform that comes back from an older copy gives its revisions out again,
 * with an era that is one higher.  A version orders by era first, then by
 * revision, and in one era like the platform's own revisions.  In era 0, that
 * of a platform without eras, it equals the revision.
 */
#ifndef WIRE_PLATFORM_VERSION_H
#define WIRE_PLATFORM_VERSION_H

#include <stdint.h>

/** Maximum of an era, and of a revision in an era above 0. */
#define PLATFORM_ERA_MAX ((UINT64_C (1) << 20) - 1)
#define PLATFORM_REVISION_MAX ((UINT64_C (1) << 42) - 1)

/** Order of what hosts hold at the same era and revision. */
enum platform_version_rank
{
  PLATFORM_RANK_STORED, /**< the platform's own object */
  /** A state that the platform acknowledged in an earlier era and has lost. */
  PLATFORM_RANK_KEPT,
  /** The platform's own object again, in place of a kept state. */
  PLATFORM_RANK_RELEASED,
};

uint64_t platform_version_make (uint64_t era, uint64_t revision);
uint64_t platform_version_era (uint64_t version);
uint64_t platform_version_revision (uint64_t version);
enum platform_version_rank platform_version_rank (uint64_t version);

/** VERSION, which is of an era above 0, with another RANK. */
uint64_t platform_version_with_rank (uint64_t version,
                                     enum platform_version_rank rank);

#endif
