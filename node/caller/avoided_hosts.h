/** @file
 * Hosts that requests are not passed on to for a while, since they couldn't be
 * reached or can't reach targets either.
 */
#ifndef NODE_CALLER_AVOIDED_HOSTS_H
#define NODE_CALLER_AVOIDED_HOSTS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  AVOIDED_HOSTS_MAX = 128
};

/** All zero at the start.  The oldest entry is replaced. */
struct avoided_hosts
{
  struct
  {
    uint64_t key; /**< hash of the host's name */
    int64_t end_ms;
  } entries[AVOIDED_HOSTS_MAX];
  uint32_t next;
};

/** Avoid the host called NAME from NOW_MS on. */
void avoided_hosts_add (struct avoided_hosts *hosts, const char *name,
                        int64_t now_ms);

bool avoided_hosts_has (const struct avoided_hosts *hosts, const char *name,
                        int64_t now_ms);

#endif
