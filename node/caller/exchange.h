/** @file
 * One request's life at this host, from its head to the last byte of its
 * answer.
 *
 * An exchange is driven from three sides: libmicrohttpd's callbacks (the
 * caller), libcurl's (the target) and the policy.  Each of them only changes
 * state and buffers and then kicks the exchange; what follows from the new
 * state is done by exchange_pump(), which runs from the loop and so never
 * within one of the libraries.
 *
 * An answer is bound to its exchange by the attempt that it came from; an
 * attempt that was given up tells no more events, so a late answer goes
 * nowhere.
 */
#ifndef NODE_CALLER_EXCHANGE_H
#define NODE_CALLER_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <microhttpd.h>

#include "node/caller/body_prefix.h"
#include "node/caller/caller_context.h"
#include "node/caller/caller_service.h"
#include "node/caller/local_response.h"
#include "node/caller/request_head.h"
#include "node/caller/stream_buffer.h"
#include "node/caller/target_call.h"

enum exchange_state
{
  EXCHANGE_NEW,            /**< its head was not looked at yet */
  EXCHANGE_WAITING,        /**< for the policy to name a target */
  EXCHANGE_SENT,           /**< an attempt is under way, no answer chosen */
  EXCHANGE_FORWARDING,     /**< a target's answer is chosen */
  EXCHANGE_LOCAL_RESPONSE, /**< an answer of the fleet's own is chosen */
  EXCHANGE_FINISHED        /**< nothing more happens but its release */
};

/** What a request waits for before its service is asked for a target. */
enum exchange_wait
{
  EXCHANGE_WAIT_NONE,
  EXCHANGE_WAIT_SETTINGS,  /**< a host that starts has none yet */
  EXCHANGE_WAIT_FRESHNESS, /**< that its key may be judged */
  EXCHANGE_WAIT_TOKEN,     /**< of its workspace's quota */
  EXCHANGE_WAIT_BODY       /**< body prefix, needed for the fingerprint */
};

/** The attempt under way, or the one that was answered. */
struct exchange_attempt
{
  struct target_call *call; /**< NULL once it ended */
  uint64_t key;             /**< of the target */
  char target[SERVICE_NAME_SIZE];
  int64_t started_us;
  int64_t response_head_us;
  int64_t upload_stall_us; /**< it waited so long for the caller's body */
  int64_t upload_stall_start_us; /**< since when it waits; 0 when it doesn't */
  int64_t head_timeout_us;    /**< without a head; ATTEMPT_NO_TIMEOUT: none */
  uint32_t reuse_idle_max_ms; /**< of the connection that it may take */
  bool is_relay;          /**< to another host, which decides in our place */
  bool head_received;     /**< status, length_bytes and headers are good */
  bool outcome_pending;   /**< the policy waits for its end */
  bool retry_unavailable; /**< hangs, and there was nowhere else to go */
  bool caller_was_slow;   /**< the caller was slower than the target */
  uint32_t status;
  int64_t length_bytes;
  struct header_list headers;
};

struct exchange
{
  struct caller_waiter waiter;
  struct caller_context *context;
  struct exchange *prev;
  struct exchange *next;
  uint64_t id;

  struct MHD_Connection *connection; /**< NULL once released by the library */
  char *uri;
  struct request_head head;
  struct stream_buffer upload;
  struct stream_buffer response_body;
  uint64_t upload_bytes; /**< of the body, as read so far */
  struct body_prefix body_prefix;

  struct caller_service *service;
  char route[SERVICE_NAME_SIZE];      /**< its prefix, cut to fit */
  char route_host[SERVICE_NAME_SIZE]; /**< its host; "": any */
  char workspace[SERVICE_NAME_SIZE]; /**< whose key it bears; "" is nobody's */
  uint64_t workspace_key;            /**< hash of its name */
  int64_t token_expiry_ms;     /**< end of the token that was taken; 0: none */
  int64_t token_wait_start_us; /**< since when one is waited for; 0: isn't */
  uint64_t ticket_sequence;

  int64_t started_us; /**< when its head was complete */
  int64_t deadline_us;
  int64_t goal_us; /**< an answer is late after it; 0: there is no goal */
  int64_t last_progress_us; /**< when bytes of the answer last came */
  ev_timer timer;
  ev_prepare run_watcher; /**< never started; only fed */

  struct exchange_attempt attempt;
  uint64_t tried_targets[POLICY_TRIED_MAX];
  struct local_response local_response;

  enum exchange_state state;
  enum exchange_wait waits_for;
  int fd;
  uint32_t timeout_ms;   /**< most time until the answer begins */
  uint32_t attempts_max; /**< targets that it may be sent to */
  uint32_t attempt_count;
  uint32_t unsent_count; /**< attempts of which no byte was sent */
  uint32_t tried_count;
  uint32_t target_retry_after_ms; /**< as a target that shed it said */

  bool in_flight_counted; /**< as in flight */
  bool is_unrouted;    /**< answered without a route, not counted by service */
  bool hangup_watched; /**< for the caller's going away */
  bool is_suspended;
  bool upload_complete;   /**< the library has all of the body */
  bool response_queued;   /**< a response was handed to the library */
  bool raw_response_sent; /**< an own answer was written past the library */
  bool caller_disconnected;
  bool response_truncated; /**< what was buffered of it is all that comes */
  bool repeatable;
  bool needs_key;
  bool has_quota;         /**< its workspace has one */
  bool has_route_timeout; /**< timeout_ms holds beside the caller's deadline */
  bool ticket_claimed;
  bool run_scheduled;
  bool last_attempt_unsent; /**< the last attempt that ended is among them */
  bool is_trial;            /**< sent as the trial of a blocked request */
  bool may_have_run;        /**< an attempt that was given up may have run */
};

/** A new exchange for the request that begins on CONNECTION. */
struct exchange *exchange_create (struct caller_context *context,
                                  struct MHD_Connection *connection,
                                  const char *uri);

/** Count X as in flight from now on. */
void exchange_count_in_flight (struct exchange *x);

/** The head is complete: choose a route, check limits, ask the policy. */
void exchange_start (struct exchange *x, const char *method,
                     const char *version);

/** Go on with a request that was held up before its service was asked. */
void exchange_check_and_admit (struct exchange *x);

/** What X waited for has come, or never will: look at it again. */
void exchange_resume (struct exchange *x);

/** Go on with all that wait for WHAT. */
void exchange_resume_all (struct caller_context *context,
                          enum exchange_wait what);

/** Have X wait for WHAT, for at most LIMIT_US; exchange_resume() follows. */
void exchange_wait_for (struct exchange *x, enum exchange_wait what,
                        int64_t limit_us);

/** The library has released the request.  OK says that all of a response was
 * written. */
void exchange_request_completed (struct exchange *x, bool ok);

/** Have exchange_pump() run from the loop. */
void exchange_schedule_run (struct exchange *x);

/** The caller can't be answered any more: give up all work. */
void exchange_cancel (struct exchange *x);

/** Choose an answer of the fleet's own. */
void exchange_respond_locally (struct exchange *x,
                               const struct local_response *own);

/** Refuse X, which no target has seen, with MESSAGE for people.
 * RETRY_AFTER_MS as in struct local_response. */
void exchange_refuse (struct exchange *x, uint32_t status, const char *reason,
                      uint32_t retry_after_ms, const char *message);

/** What may truly be said of the request when no answer is had. */
enum request_outcome exchange_outcome (const struct exchange *x);

/** The host stops now: answer X, unless an answer is chosen already. */
void exchange_abort_pending (struct exchange *x);

/** An answer of the target is chosen. */
void exchange_forward_response (struct exchange *x);

/** The deadline's timer, in AFTER_US. */
void exchange_set_timer (struct exchange *x, int64_t after_us);

#endif
