/** @file
 * Which hosts of a set are listed in the response to an address request.
 *
 * A caller uses any of the listed addresses.  If the whole set were listed,
 * most callers would send their requests to another data centre, and each byte
 * would cross between data centres twice.  If only the hosts of the caller's
 * data centre were listed, callers would have no host to use from the loss of
 * these until their next address request.  So the response lists the hosts of
 * the caller's data centre and one host of another.
 */
#ifndef NODE_CALLER_ADDRESS_SELECTION_H
#define NODE_CALLER_ADDRESS_SELECTION_H

#include <stddef.h>

#include "node/bus.h"

/** The candidate hosts and the caller that they are selected for. */
struct address_selection_options
{
  const struct bus_host_entry *hosts; /**< the set without leaving hosts */
  size_t count;
  const char *caller_dc; /**< NULL: unknown */
  /** Counts responses, so that each starts with another host. */
  size_t rotation;
};

/** Fill SELECTED, of capacity MAX, with hosts in the order to list them.  All
 * hosts are selected if the caller's data centre has too few.
 * @return their number */
size_t address_selection_fill (const struct address_selection_options *options,
                               const struct bus_host_entry **selected,
                               size_t max);

#endif
