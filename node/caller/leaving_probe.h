/** @file
 * Finds out whether a target that said it leaves is back.
 *
 * A target that leaves gets no new work, so nothing would ever tell that it
 * has been restarted in place.  It is asked now and then with `OPTIONS *`,
 * which is no work: an answer without `Jaystair-Leaving` says that it is
 * back.
 */
#ifndef NODE_CALLER_LEAVING_PROBE_H
#define NODE_CALLER_LEAVING_PROBE_H

#include "node/caller/caller_context.h"

struct leaving_probe;

struct leaving_probe *leaving_probe_create (struct caller_context *context);
void leaving_probe_destroy (struct leaving_probe *probe);

#endif
