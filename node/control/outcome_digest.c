#include "node/control/outcome_digest.h"

#include <stdbool.h>

static uint32_t
find_target (const struct outcome_digest *digest, uint64_t key)
{
  uint32_t i = 0;
  while (i < digest->target_count && digest->targets[i].key != key)
    i++;
  return i;
}

/* The index for a new target: a free one, or that of the oldest failure. */
static uint32_t
find_slot (struct outcome_digest *digest)
{
  if (digest->target_count < OUTCOME_DIGEST_TARGETS_MAX)
    return digest->target_count++;
  uint32_t oldest = 0;
  for (uint32_t i = 1; i < digest->target_count; i++)
    if (digest->targets[i].failed_ms < digest->targets[oldest].failed_ms)
      oldest = i;
  return oldest;
}

static bool
is_failure (enum attempt_end end)
{
  return end == ATTEMPT_FAILED || end == ATTEMPT_CUT
         || end == ATTEMPT_TIMED_OUT;
}

void
outcome_digest_add (struct outcome_digest *digest, int64_t now_ms,
                    uint64_t host, uint64_t target, enum attempt_end end)
{
  uint32_t index = find_target (digest, target);
  const bool is_known = index < digest->target_count;
  if (is_failure (end))
    {
      if (!is_known)
        index = find_slot (digest);
      digest->targets[index] = (struct outcome_digest_target){
        .key = target, .host = host, .failed_ms = now_ms, .end = end
      };
    }
  else if (is_known && end == ATTEMPT_ANSWERED)
    digest->targets[index] = digest->targets[--digest->target_count];
}

/* The entry of a host.  A new one replaces the entry that was sent a digest
   the longest ago. */
static struct outcome_digest_host *
find_or_add_host (struct outcome_digest *digest, int64_t now_ms, uint64_t key)
{
  uint32_t oldest = 0;
  for (uint32_t i = 0; i < digest->host_count; i++)
    {
      if (digest->hosts[i].key == key)
        return &digest->hosts[i];
      if (digest->hosts[i].sent_ms < digest->hosts[oldest].sent_ms)
        oldest = i;
    }
  if (digest->host_count < OUTCOME_DIGEST_HOSTS_MAX)
    oldest = digest->host_count++;
  digest->hosts[oldest] = (struct outcome_digest_host){
    .key = key, .sent_ms = now_ms - OUTCOME_DIGEST_AGE_MAX_MS
  };
  return &digest->hosts[oldest];
}

size_t
outcome_digest_collect (struct outcome_digest *digest, int64_t now_ms,
                        uint64_t host, struct outcome_digest_target *targets)
{
  struct outcome_digest_host *recipient
      = find_or_add_host (digest, now_ms, host);
  if (now_ms - recipient->sent_ms < OUTCOME_DIGEST_INTERVAL_MS)
    return 0;
  int64_t since_ms = now_ms - OUTCOME_DIGEST_AGE_MAX_MS;
  if (since_ms < recipient->sent_ms)
    since_ms = recipient->sent_ms;
  recipient->sent_ms = now_ms;
  size_t count = 0;
  for (uint32_t i = 0; i < digest->target_count; i++)
    if (digest->targets[i].failed_ms >= since_ms
        && digest->targets[i].host != host)
      targets[count++] = digest->targets[i];
  return count;
}
