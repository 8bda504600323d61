/** @file
 * The failed targets of one service, which a host of the service's set sends
 * to hosts outside it.
 *
 * Requests can reach a host outside the set, for example from a caller with
 * an old list of addresses.  Such a host uses each target too rarely to detect
 * which ones fail, and has few retries to compensate.
 */
#ifndef NODE_CONTROL_OUTCOME_DIGEST_H
#define NODE_CONTROL_OUTCOME_DIGEST_H

#include <stddef.h>
#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  OUTCOME_DIGEST_TARGETS_MAX = 128, /**< the latest failures are kept */
  OUTCOME_DIGEST_HOSTS_MAX = 64,    /**< the latest recipients are kept */
  OUTCOME_DIGEST_AGE_MAX_MS = 4000, /**< older failures matter little */
  OUTCOME_DIGEST_INTERVAL_MS = 500, /**< minimum, between digests for a host */
};

/** A target whose last known attempt failed. */
struct outcome_digest_target
{
  uint64_t key;
  uint64_t host; /**< key of the host that observed the failure */
  int64_t failed_ms;
  enum attempt_end end;
};

/** A host outside the set. */
struct outcome_digest_host
{
  uint64_t key;
  int64_t sent_ms;
};

/** A zero-initialised digest is empty. */
struct outcome_digest
{
  struct outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
  uint32_t target_count;
  struct outcome_digest_host hosts[OUTCOME_DIGEST_HOSTS_MAX];
  uint32_t host_count;
};

/** Record that an attempt of the host with key HOST at the target with key
 * TARGET ended. */
void outcome_digest_add (struct outcome_digest *digest, int64_t now_ms,
                         uint64_t host, uint64_t target, enum attempt_end end);

/** Collect what to send to the host with key HOST: targets that have failed
 * since the last digest for it, or none if that was sent less than
 * OUTCOME_DIGEST_INTERVAL_MS ago.  Failures that it has observed itself are
 * left out, since it would count them twice.
 * @param targets receives up to OUTCOME_DIGEST_TARGETS_MAX
 * @return the number of targets */
size_t outcome_digest_collect (struct outcome_digest *digest, int64_t now_ms,
                               uint64_t host,
                               struct outcome_digest_target *targets);

#endif
