/** @file
 * The names and forms in which callers and targets are spoken to.
 *
 * jaystair's own are caller_interface_own.  Another set of names serves a
 * fleet whose callers and targets speak another dialect of the same exchange;
 * what is decided doesn't depend on it.
 */
#ifndef NODE_CALLER_CALLER_INTERFACE_H
#define NODE_CALLER_CALLER_INTERFACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

/** One host to hand out. */
struct address_entry
{
  const char *address; /**< IP:PORT */
  const char *dc;
};

/** What an address answer says. */
struct address_list
{
  const char *service; /**< it serves what was asked for */
  const struct address_entry *entries;
  size_t count;
  uint32_t keep_ms;
};

/** A name of NULL is a field that this interface doesn't have. */
struct caller_interface
{
  /** Identity of one sending of a caller. */
  const char *request_id;
  /** Every answer of a target repeats the request's identity; another one
   * shows that the answer is some other request's. */
  bool targets_echo_request_id;
  /** Milliseconds for which the answer is waited for. */
  const char *deadline_ms;
  /** In answers to callers: enum request_outcome. */
  const char *outcome;
  /** In a target's answer: it has not run the request. */
  const char *not_run;
  const char *not_run_value; /**< what it says then; NULL: anything */
  /** Borne by each success of a target; one without it isn't a target's. */
  const char *signature;
  /** To a target: the identity that the request is meant for. */
  const char *intended_target;
  /** To a target: the workspace that the request is of. */
  const char *workspace;
  /** In answers beside Retry-After: the same in milliseconds. */
  const char *retry_after_ms;
  /** Retry-After may have decimals; else it is rounded up to seconds. */
  bool retry_after_has_decimals;
  /** Callers ask for bodies without coding, so a coded one is not whole. */
  bool rejects_content_coding;
  /** In a target's answer: its limit on the requests a second from all hosts
   * together. */
  const char *target_limit;
  /** In a target's answer: it takes no new work. */
  const char *leaving;

  /** Path of the question for addresses, and names in its query. */
  const char *addresses_path;
  const char *service_parameter;
  const char *host_parameter; /**< the name that requests will bear */
  const char *dc_parameter;   /**< the caller's own data centre */
  /** Members of an address answer.
   * @return a new object */
  struct json_object *(*format_addresses) (const struct address_list *list);

  /** Answers hand out tickets as well, and requests may bear them. */
  bool has_tickets;

  /** Path at which it is asked whether this host takes work. */
  const char *readiness_path;
};

extern const struct caller_interface caller_interface_own;

#endif
