#include "node/caller/address_selection.h"

#include <stdbool.h>
#include <string.h>

enum
{
  /** With a single host near by, its loss would leave a caller with the one
   * far away, and one host would get all requests of a data centre. */
  NEAR_LEAST = 2,
  /** For callers whose near hosts are all lost. */
  FAR_MOST = 1,
};

static bool
is_near (const struct address_selection_options *options, size_t i)
{
  return options->caller_dc != NULL
         && strcmp (options->hosts[i].dc, options->caller_dc) == 0;
}

static size_t
count_near (const struct address_selection_options *options)
{
  size_t count = 0;
  for (size_t i = 0; i < options->count; i++)
    count += (size_t)is_near (options, i);
  return count;
}

/* Add at most MOST hosts that are near, or that aren't. */
static size_t
add (const struct address_selection_options *options, bool near, size_t most,
     const struct bus_set_host **chosen, size_t used, size_t max)
{
  const size_t until = used + most < max ? used + most : max;
  for (size_t i = 0; i < options->count && used < until; i++)
    {
      const size_t at = (options->rotation + i) % options->count;
      if (is_near (options, at) == near)
        chosen[used++] = &options->hosts[at];
    }
  return used;
}

size_t
address_selection_fill (const struct address_selection_options *options,
                        const struct bus_set_host **chosen, size_t max)
{
  struct address_selection_options all = *options;
  if (count_near (options) < NEAR_LEAST)
    {
      all.caller_dc = NULL;
      return add (&all, false, max, chosen, 0, max);
    }
  const size_t used = add (options, true, max, chosen, 0, max);
  return add (options, false, FAR_MOST, chosen, used, max);
}
