/** @file
 * One attempt: a request sent to one target, and its answer as it comes.
 *
 * Whether the request may have run is told by a mark that libcurl sets just
 * before it writes the first byte (CURLOPT_PREREQFUNCTION).  A zero connect
 * time would be no such mark: it is zero on a reused connection as well.
 *
 * Guards against libcurl's own resend: when a reused connection closes before
 * the first byte of an answer, libcurl sends the request again, and a POST
 * runs twice while its caller sees one answer.  The mark comes before each
 * sending, so the second one is aborted here, whatever the method.  A `fresh`
 * call moreover takes a connection that never carried a request, so that an
 * unrepeatable request doesn't end unknown just because a kept connection
 * had died.  That costs a connection each; `reuse_idle_ms` bounds what dies
 * unseen instead, since targets close connections that were idle for long.
 */
#ifndef NODE_CALLER_TARGET_CALL_H
#define NODE_CALLER_TARGET_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/caller/header_list.h"
#include "wire/curl_loop.h"

struct target_call;

/** How far a call got. */
enum target_call_end
{
  TARGET_CALL_NOT_SENT, /**< no byte of the request left this host */
  TARGET_CALL_BROKEN,   /**< perhaps sent; no whole answer came */
  TARGET_CALL_COMPLETE  /**< the answer came whole */
};

/** Returned by `read` when there is nothing to send yet. */
#define TARGET_CALL_PAUSE SIZE_MAX

/** The head of a final answer. */
struct target_head
{
  uint32_t status;
  int64_t length_bytes; /**< as announced; -1 when it wasn't */
  const struct header_list *headers;
};

/** What a call tells its owner, from the loop; each may be called within
 * libcurl, so none may start or end a transfer of its own but through
 * curl_loop.h. */
struct target_call_events
{
  /** Bytes of the request's body into DATA.
   * @return their number, 0 at the body's end, or TARGET_CALL_PAUSE */
  size_t (*read) (void *owner, char *data, size_t size);
  void (*head) (void *owner, const struct target_head *head);
  /** Bytes of the answer's body.
   * @return false to be given them again after target_call_unpause() */
  bool (*body) (void *owner, const char *data, size_t size);
  /** The last event; the call is gone after it. */
  void (*end) (void *owner, enum target_call_end end, const char *message);
};

struct target_call_options
{
  struct curl_loop *curl;
  const struct target_call_events *events;
  void *owner;
  const char *address; /**< IP:PORT */
  const char *method;
  const char *uri; /**< path and query, as sent */
  const struct header_list *headers;
  const char *const
      *extra_fields; /**< whole fields "Name: value"; ends in NULL */
  bool has_body;
  int64_t body_bytes; /**< -1 when not known: sent in chunks */
  bool force_new_connection;
  uint32_t
      reuse_idle_max_ms; /**< longest a kept connection may have been idle */
  uint32_t connect_timeout_ms;
};

/** Start a call; its end is told even if it can't be made. */
struct target_call *
target_call_start (const struct target_call_options *options);

/** Give up: no event follows, and the target sees its connection close. */
void target_call_cancel (struct target_call *call);

/** May the target have seen a byte of the request? */
bool target_call_may_have_sent (const struct target_call *call);

/** Call `read` (SEND) or `body` (RECEIVE) again, if it paused. */
void target_call_unpause (struct target_call *call, bool send, bool receive);

#endif
