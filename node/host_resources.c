#include "node/host_resources.h"

enum
{
  /* Memory of a connection with a request in flight: the buffers of the HTTP
     library and of the request, and its part of a connection to a target.  It
     is the slope of peak memory over connections on hosts with 500 to 3,000 of
     them. */
  CONNECTION_KIB = 60,
  /* The rest is for the process itself and for long bodies. */
  MEMORY_PERCENT = 75,
  /* The rest is for connections to targets, peers and the platform. */
  FILES_PERCENT = 55,
  KIB_PER_MIB = 1024
};

void
host_resources_read (struct options *top, struct host_resources *resources)
{
  struct options options;
  double cpu_share = 0;
  int64_t speed = 1;
  if (!options_object (top, "resources", false, &options))
    return;
  options_double (&options, "cpu_share", 0, 4096, &cpu_share);
  options_int (&options, "core_speed", 1, 1000, &speed);
  double link_mbps = 0;
  options_double (&options, "link_mbps", 0, 4000000, &link_mbps);
  options_uint32 (&options, "memory_mb", 0, 100000000, &resources->memory_mb);
  options_uint32 (&options, "files", 0, 100000000, &resources->files);
  resources->cpu_percent = (uint32_t)(cpu_share * (double)speed * 100 + 0.5);
  resources->link_mbps = (uint32_t)(link_mbps + 0.5);
  options_end_child (top, &options);
}

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

uint32_t
host_resources_max_connections (const struct host_resources *resources,
                                uint32_t unknown)
{
  uint64_t max_connections = UINT32_MAX;
  if (resources->memory_mb > 0)
    max_connections = (uint64_t)resources->memory_mb * KIB_PER_MIB
                      * MEMORY_PERCENT / 100 / CONNECTION_KIB;
  if (resources->files > 0)
    max_connections = min_u64 (max_connections, (uint64_t)resources->files
                                                    * FILES_PERCENT / 100);
  if (max_connections == UINT32_MAX)
    return unknown;
  return max_connections > 0 ? (uint32_t)max_connections : 1;
}
