/** @file
 * Which hosts of a set a caller is told of.
 *
 * A caller takes any of the addresses that it was told.  Told of the whole
 * set, most callers send their requests to another data centre, and each byte
 * crosses over twice.  Told of the hosts near by alone, callers have nowhere
 * to go while these are lost, until they ask again.  So a caller is told of
 * the near ones, and of one host of another data centre.
 */
#ifndef NODE_CALLER_ADDRESS_SELECTION_H
#define NODE_CALLER_ADDRESS_SELECTION_H

#include <stddef.h>

#include "node/bus.h"

/** The hosts to choose from, and for whom. */
struct address_selection_options
{
  const struct bus_set_host *hosts; /**< the set, without those that leave */
  size_t count;
  const char *caller_dc; /**< NULL: not told */
  size_t
      rotation; /**< counts answers, so that each begins with another host */
};

/** Fill CHOSEN, which has room for MAX, with hosts in the order to be told.
 * All hosts go out where the caller's data centre has too few.
 * @return how many */
size_t address_selection_fill (const struct address_selection_options *options,
                               const struct bus_set_host **chosen, size_t max);

#endif
