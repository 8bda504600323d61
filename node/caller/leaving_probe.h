/** @file
 * Detects that a target which reported that it is leaving is back.
 *
 * A leaving target gets no new work, so no response would ever show that it
 * has been restarted in place.  It is probed at an interval with `OPTIONS *`,
 * which is no work: a response without `Jaystair-Leaving` shows that it is
 * back.
 */
#ifndef NODE_CALLER_LEAVING_PROBE_H
#define NODE_CALLER_LEAVING_PROBE_H

#include "node/caller/caller_context.h"

struct leaving_probe;

struct leaving_probe *leaving_probe_create (struct caller_context *context);
void leaving_probe_destroy (struct leaving_probe *probe);

#endif
