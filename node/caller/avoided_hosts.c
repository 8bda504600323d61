#include "node/caller/avoided_hosts.h"

#include "base/hash.h"

enum
{
  AVOID_MS = 2000
};

void
avoided_hosts_add (struct avoided_hosts *hosts, const char *name,
                   int64_t now_ms)
{
  hosts->entries[hosts->next].key = hash_string (name);
  hosts->entries[hosts->next].end_ms = now_ms + AVOID_MS;
  hosts->next = (hosts->next + 1) % AVOIDED_HOSTS_MAX;
}

bool
avoided_hosts_has (const struct avoided_hosts *hosts, const char *name,
                   int64_t now_ms)
{
  const uint64_t key = hash_string (name);
  for (uint32_t i = 0; i < AVOIDED_HOSTS_MAX; i++)
    if (hosts->entries[i].key == key && hosts->entries[i].end_ms > now_ms)
      return true;
  return false;
}
