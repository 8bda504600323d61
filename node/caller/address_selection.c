#include "node/caller/address_selection.h"

#include <stdbool.h>
#include <string.h>

enum
{
  /** With a single local host, its loss would leave a caller only the remote
   * one, and one host would get all requests of a data centre. */
  LOCAL_HOSTS_MIN = 2,
  /** For callers that have lost all their local hosts. */
  REMOTE_HOSTS_MAX = 1,
};

static bool
is_local (const struct address_selection_options *options, size_t i)
{
  return options->caller_dc != NULL
         && strcmp (options->hosts[i].dc, options->caller_dc) == 0;
}

static size_t
count_local (const struct address_selection_options *options)
{
  size_t count = 0;
  for (size_t i = 0; i < options->count; i++)
    count += (size_t)is_local (options, i);
  return count;
}

/* Append at most LIMIT hosts that are in the caller's data centre, or that
   aren't. */
static size_t
append_hosts (const struct address_selection_options *options, bool local,
              size_t limit, const struct bus_host_entry **selected,
              size_t used, size_t max)
{
  const size_t end = used + limit < max ? used + limit : max;
  for (size_t i = 0; i < options->count && used < end; i++)
    {
      const size_t index = (options->rotation + i) % options->count;
      if (is_local (options, index) == local)
        selected[used++] = &options->hosts[index];
    }
  return used;
}

size_t
address_selection_fill (const struct address_selection_options *options,
                        const struct bus_host_entry **selected, size_t max)
{
  struct address_selection_options all = *options;
  if (count_local (options) < LOCAL_HOSTS_MIN)
    {
      all.caller_dc = NULL;
      return append_hosts (&all, false, max, selected, 0, max);
    }
  const size_t used = append_hosts (options, true, max, selected, 0, max);
  return append_hosts (options, false, REMOTE_HOSTS_MAX, selected, used, max);
}
