/** @file
 * Evaluates the head of a target's response: whether it may be forwarded, and
 * what it reports about the target.
 */
#ifndef NODE_CALLER_RESPONSE_CHECK_H
#define NODE_CALLER_RESPONSE_CHECK_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** Check whether the response with HEAD is the one to the attempt of X in
 * flight.  If it isn't, nothing that it says holds for X or its target, and
 * the request may have run.
 * @return NULL, or an error message */
const char *response_check_origin (const struct exchange *x,
                                   const struct target_head *head);

/** The target refused the request and states that it has not run it. */
bool response_check_is_shed (const struct exchange *x);

/** Return an error message if the response can't be forwarded, or NULL. */
const char *response_check_error (const struct exchange *x);

/** The response would tell the caller that the request was not run, but no
 * target has stated that. */
bool response_check_is_unsigned_refusal (const struct exchange *x);

/** The head is larger than what can be sent to the caller. */
bool response_check_is_too_large (const struct exchange *x);

/** Store the retry time that was sent by a target that shed the request. */
void response_check_store_retry_after (struct exchange *x);

/** Update what the response reports about its target: whether it is leaving,
 * and its idle timeout of connections. */
void response_check_update_target (struct exchange *x);

/** In the response to a host that passed a request on: the name of the target,
 * if that is leaving. */
extern const char response_check_leaving_field[];

/** The target of X has said that it is leaving. */
bool response_check_is_leaving (const struct exchange *x);

/** Update what the response of another host reports about the target that it
 * chose. */
void response_check_update_chosen_target (struct exchange *x);

#endif
