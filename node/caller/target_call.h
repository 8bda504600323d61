/** @file
 * One attempt: sends a request to one target and receives its response.
 *
 * Whether the request may have run is recorded by a callback that libcurl
 * calls just before it writes the first byte (CURLOPT_PREREQFUNCTION).  A
 * connect time of zero would not show it: it is zero on a reused connection as
 * well.
 *
 * When a reused connection closes before the first byte of a response, libcurl
 * sends the request again by itself; a POST would run twice while its caller
 * sees one response.  The callback runs before each sending, so the second one
 * is aborted here, whatever the method.
 *
 * With `force_new_connection` the call uses a connection that never carried a
 * request, so that an unrepeatable request doesn't end with an unknown outcome
 * just because a kept connection had been closed.  This costs one connection
 * per request.  Otherwise `reuse_idle_max_ms` limits the risk of a connection
 * that was closed unnoticed, since targets close connections after a long idle
 * time.
 *
 * Kept connections are reused within a `pool` only.  A target may restart at
 * its address while its former process still serves the connections that it
 * has: requests sent over these would run in the former process.
 */
#ifndef NODE_CALLER_TARGET_CALL_H
#define NODE_CALLER_TARGET_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "node/caller/header_list.h"
#include "wire/curl_loop.h"

struct target_call;

/** The result of a call. */
enum target_call_end
{
  TARGET_CALL_NOT_SENT, /**< no byte of the request was sent */
  TARGET_CALL_BROKEN,   /**< may have been sent; no complete response */
  TARGET_CALL_REJECTED, /**< `head` rejected the response */
  TARGET_CALL_COMPLETE  /**< the response is complete */
};

/** Returned by `read` when no data is available yet. */
#define TARGET_CALL_PAUSE SIZE_MAX

/** The head of a final (not 1xx) response. */
struct target_head
{
  uint32_t status;
  int64_t length_bytes; /**< as announced; -1: not announced */
  /** The connection has carried no other request. */
  bool is_first_on_connection;
  const struct header_list *headers;
};

/** Events of a call, from the event loop.  Each may be called within libcurl,
 * so a handler may start or end a transfer only through curl_loop.h. */
struct target_call_events
{
  /** Read bytes of the request's body into DATA.
   * @return their number, 0 at the body's end, or TARGET_CALL_PAUSE */
  size_t (*read) (void *owner, char *data, size_t size);
  /** Check the head of the response.
   * @return NULL, or why it is rejected: a constant, which ends the call and
   * closes its connection */
  const char *(*head) (void *owner, const struct target_head *head);
  /** Receive bytes of the response body.
   * @return false to get the same bytes again after target_call_unpause() */
  bool (*body) (void *owner, const char *data, size_t size);
  /** The last event; the call is released after it. */
  void (*end) (void *owner, enum target_call_end end, const char *message);
};

struct target_call_options
{
  struct curl_loop *curl;
  const struct target_call_events *events;
  void *owner;
  const char *address; /**< IP:PORT */
  /** Whose connections may be reused: the key of a target's process, or 0. */
  uint64_t pool;
  const char *method;
  const char *uri; /**< path and query, as received */
  const struct header_list *headers;
  const char *const *extra_fields; /**< lines "Name: value"; NULL-terminated */
  bool has_body;
  int64_t body_bytes; /**< -1: unknown, sent in chunks */
  bool force_new_connection;
  uint32_t reuse_idle_max_ms; /**< of a reused connection */
  uint32_t connect_timeout_ms;
};

/** Start a call.  Its end is reported even if it can't be made. */
struct target_call *
target_call_start (const struct target_call_options *options);

/** Cancel the call: no event follows, and the target's connection is closed.
 */
void target_call_cancel (struct target_call *call);

/** Return whether the target may have received a byte of the request. */
bool target_call_may_have_sent (const struct target_call *call);

/** Call `read` (SEND) or `body` (RECEIVE) again if it paused. */
void target_call_unpause (struct target_call *call, bool send, bool receive);

#endif
