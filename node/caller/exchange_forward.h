/** @file
 * Requests that this host passes on whole to another host, because it is cut
 * from all targets.
 *
 * The other host treats such a request like one of its own callers: it checks
 * keys, quotas and tickets' requests, chooses targets and retries.  So it is
 * passed on before this host counts anything of it.  One that was tried here
 * already takes the number of its attempts along.
 */
#ifndef NODE_CALLER_EXCHANGE_FORWARD_H
#define NODE_CALLER_EXCHANGE_FORWARD_H

#include "node/caller/exchange.h"

/** In the response of a host that is cut from all targets as well. */
extern const char exchange_forward_unreached_field[];

/** Pass X on to another host, if this host is cut from all targets and another
 * one may reach them.
 * @return false if X stays here */
bool exchange_forward (struct exchange *x);

/** X came from another host, and this one is cut from all targets as well. */
bool exchange_forward_is_useless (const struct exchange *x);

/** Whether the other host has refused X since it is cut as well. */
bool exchange_forward_was_refused (const struct exchange *x);

/** Don't pass on requests to the host of X's attempt for a while. */
void exchange_forward_avoid_host (struct exchange *x);

/** This host was found to be cut from all targets: pass on the requests that
 * wait.  SENT: also repeatable ones that were sent to a target. */
void exchange_forward_all (struct caller_context *context, bool sent);

#endif
