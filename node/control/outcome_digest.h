/** @file
 * The failed targets of one service, as a host of its set tells them to hosts
 * outside it.
 *
 * Guards against requests that reach a host outside the set, as of a caller
 * with an old address answer: such a host meets each target too seldom to know
 * which ones fail, and has few retries to make that good.
 */
#ifndef NODE_CONTROL_OUTCOME_DIGEST_H
#define NODE_CONTROL_OUTCOME_DIGEST_H

#include <stddef.h>
#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  OUTCOME_DIGEST_TARGETS_MAX = 128, /**< the latest ones are kept */
  OUTCOME_DIGEST_HOSTS_MAX = 64,    /**< the latest ones that were told */
  OUTCOME_DIGEST_AGE_MAX_MS = 4000, /**< older failures say little */
  OUTCOME_DIGEST_INTERVAL_MS = 500  /**< between two digests for one host */
};

/** A target whose last known attempt failed. */
struct outcome_digest_target
{
  uint64_t key;
  uint64_t host; /**< that saw it fail */
  int64_t failed_ms;
  enum attempt_end end;
};

/** A host outside the set. */
struct outcome_digest_host
{
  uint64_t key;
  int64_t sent_ms;
};

/** Empty when it is all zeros. */
struct outcome_digest
{
  struct outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
  uint32_t target_count;
  struct outcome_digest_host hosts[OUTCOME_DIGEST_HOSTS_MAX];
  uint32_t host_count;
};

/** An attempt of the host with key HOST at the target with key TARGET ended.
 */
void outcome_digest_add (struct outcome_digest *digest, int64_t now_ms,
                         uint64_t host, uint64_t target, enum attempt_end end);

/** What the host with key HOST is to be told: targets that have failed since
 * it was told last, none if that was a moment ago.  What it has seen itself is
 * left out: it would count twice.
 * @param targets receives up to OUTCOME_DIGEST_TARGETS_MAX
 * @return how many */
size_t outcome_digest_collect (struct outcome_digest *digest, int64_t now_ms,
                               uint64_t host,
                               struct outcome_digest_target *targets);

#endif
