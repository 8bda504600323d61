#include "node/ejection/ejection_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/xmalloc.h"

void
ejection_paths_set (struct ejection_service *service,
                    const struct detection_path *paths, size_t count)
{
  service->path_faults = xreallocarray (service->path_faults, count + 1,
                                        sizeof *service->path_faults);
  if (count > 0)
    memcpy (service->path_faults, paths, count * sizeof *paths);
  service->path_fault_count = count;
}

static bool
is_for_poller (const struct detection_path *path,
               const struct ejection_poller *poller)
{
  return path->dc_key == hash_string (poller->dc)
         && (path->host_key == 0
             || path->host_key == hash_string (poller->host));
}

size_t
ejection_paths_for_poller (const struct ejection_service *service,
                           const struct ejection_poller *poller,
                           char (*names)[PEER_NAME_SIZE])
{
  size_t count = 0;
  for (size_t i = 0;
       i < service->path_fault_count && count < EJECTION_AVOIDED_MAX; i++)
    {
      const struct detection_path *path = &service->path_faults[i];
      const char *name = ejection_target_name (service, path->target_key);
      if (name != NULL && is_for_poller (path, poller))
        memcpy (names[count++], name, strlen (name) + 1);
    }
  return count;
}

void
ejection_paths_post (struct ejection_service *service,
                     const char (*names)[PEER_NAME_SIZE], size_t count)
{
  bool same = count == service->avoided.count;
  for (size_t i = 0; same && i < count; i++)
    same = ejection_names_has (&service->avoided, names[i]);
  if (same)
    return;
  ejection_names_assign (&service->avoided, names, count);
  struct bus_message message
      = { .topic = BUS_PATH_FAULTS,
          .path_faults = { .targets = xcalloc (count + 1, sizeof *names),
                           .count = count } };
  memcpy (message.path_faults.service, service->name, sizeof service->name);
  if (count > 0)
    memcpy (message.path_faults.targets, names, count * sizeof *names);
  bus_post (service->task->options.bus, &message);
}
