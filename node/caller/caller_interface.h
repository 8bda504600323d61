/** @file
 * The header, path and parameter names of the HTTP interface to callers and
 * targets.
 *
 * caller_interface_own holds jaystair's names.  Another set of names serves a
 * fleet whose callers and targets use a variant of the same protocol; the
 * decisions don't depend on it.
 */
#ifndef NODE_CALLER_CALLER_INTERFACE_H
#define NODE_CALLER_CALLER_INTERFACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

/** A host listed in the response to an address request. */
struct address_entry
{
  const char *address; /**< IP:PORT */
  const char *dc;
};

/** The content of a response to an address request. */
struct address_list
{
  const char *service; /**< the service that the request was matched to */
  const struct address_entry *entries;
  size_t count;
  uint32_t keep_ms; /**< how long the caller may use it */
};

/** A name that is NULL stands for a field that this interface lacks. */
struct caller_interface
{
  /** Identifies one request as sent by a caller. */
  const char *request_id;
  /** Targets repeat the request's identity in each response; a different one
   * shows that the response belongs to another request. */
  bool targets_echo_request_id;
  /** How long the caller waits for the response, in milliseconds. */
  const char *deadline_ms;
  /** In responses to callers: enum request_outcome. */
  const char *outcome;
  /** In a target's response: the target has not run the request. */
  const char *not_run;
  const char *not_run_value; /**< its value then; NULL: any */
  /** In each successful response of a target; one that lacks it doesn't come
   * from a target. */
  const char *signature;
  /** In requests to a target: the identity of the intended target. */
  const char *intended_target;
  /** In requests to a target: the workspace of the request. */
  const char *workspace;
  /** In responses with Retry-After: the same time in milliseconds. */
  const char *retry_after_ms;
  /** Retry-After may have decimals; otherwise it is rounded up to seconds. */
  bool retry_after_has_decimals;
  /** Callers request bodies without a content coding, so a response with one
   * counts as incomplete. */
  bool rejects_content_coding;
  /** In a target's response: its limit on the requests per second from all
   * hosts together. */
  const char *target_limit;
  /** With a target's 503: how many seconds it wants no request from this
   * host. */
  const char *rest;
  /** In a target's response: it takes no new work. */
  const char *leaving;
  /** A target that leaves never comes back under its name. */
  bool leaving_is_final;

  /** Path of address requests, and the names of their query parameters. */
  const char *addresses_path;
  const char *service_parameter;
  const char *host_parameter; /**< the Host of the requests to be sent */
  const char *dc_parameter;   /**< the caller's data centre */
  /** Format the body of the response to an address request.
   * @return a new object */
  struct json_object *(*format_addresses) (const struct address_list *list);

  /** Responses to address requests include tickets, and requests may carry
   * one. */
  bool has_tickets;

  /** Path of requests for this host's readiness to take work. */
  const char *readiness_path;
};

extern const struct caller_interface caller_interface_own;

#endif
