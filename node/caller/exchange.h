/** @file
 * The state of one request at this host, from its head to the last byte of its
 * response.
 *
 * An exchange is driven by libmicrohttpd's callbacks (the caller), libcurl's
 * callbacks (the target) and the policy.  Each of them only changes state and
 * buffers and then calls exchange_schedule_run(). exchange_run() acts on the
 * new state; it runs from the event loop and therefore never inside a callback
 * of one of the libraries.
 *
 * A response belongs to the attempt that it came from.  A cancelled attempt
 * reports no more events, so a late response is discarded.
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
#include "node/caller/half_close.h"
#include "node/caller/local_response.h"
#include "node/caller/request_head.h"
#include "node/caller/stream_buffer.h"
#include "node/caller/target_call.h"
#include "policy/choice/run_record.h"

enum exchange_state
{
  EXCHANGE_NEW,            /**< its head has not been read yet */
  EXCHANGE_WAITING,        /**< for settings, checks or a target */
  EXCHANGE_SENT,           /**< an attempt is in flight */
  EXCHANGE_FORWARDING,     /**< a target's response is forwarded */
  EXCHANGE_LOCAL_RESPONSE, /**< this host responds */
  EXCHANGE_FINISHED        /**< only its release is left */
};

/** What a request waits for before the policy is asked for a target. */
enum exchange_wait
{
  EXCHANGE_WAIT_NONE,
  EXCHANGE_WAIT_SETTINGS,  /**< not received yet after the start */
  EXCHANGE_WAIT_CONTACT,   /**< the settings may be old */
  EXCHANGE_WAIT_FRESHNESS, /**< proof that the configuration is fresh */
  EXCHANGE_WAIT_TOKEN,     /**< of the workspace's quota */
  EXCHANGE_WAIT_UPLOAD,    /**< whole, at a leaving host */
  EXCHANGE_WAIT_BODY       /**< prefix, for the fingerprint */
};

/** The attempt in flight, or the last one. */
struct exchange_attempt
{
  struct target_call *call; /**< NULL after its end */
  uint64_t key;             /**< of the target */
  char target[SERVICE_NAME_SIZE];
  int64_t started_us;
  int64_t response_head_us;
  int64_t upload_stall_us; /**< time spent waiting for the caller's body */
  int64_t upload_stall_start_us; /**< 0: not waiting */
  int64_t head_timeout_us;       /**< or ATTEMPT_NO_TIMEOUT */
  uint32_t expected_us;          /**< work; 0: unknown */
  uint32_t reuse_idle_max_ms;    /**< of the connection that it may use */
  bool is_relay;        /**< sent to another host, which selects the target */
  bool is_forwarded;    /**< passed on whole; is_relay is set as well */
  bool is_indirect;     /**< sent to the target through another host */
  bool head_received;   /**< status, length_bytes and headers are valid */
  bool outcome_pending; /**< not reported to the policy yet */
  bool retry_unavailable; /**< timed out, but no retry was possible */
  bool caller_was_slow;   /**< the response buffer was full */
  bool on_new_connection; /**< if head_received: it carried no other request */
  bool is_identified;     /**< if head_received: it has the id of X */
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

  struct MHD_Connection *connection; /**< NULL after its release */
  char *uri;
  struct request_head head;
  struct stream_buffer upload;
  struct stream_buffer response_body;
  uint64_t upload_bytes; /**< of the body, received so far */
  struct body_prefix body_prefix;

  struct caller_service *service;
  char route[SERVICE_NAME_SIZE];      /**< path prefix, truncated */
  char route_host[SERVICE_NAME_SIZE]; /**< host name; "": any */
  uint64_t config_version; /**< by which it was routed; of the service where
                                there is no fleet configuration; 0: not yet */
  uint32_t config_age_ms;  /**< of its proof then; see freshness.h */
  char workspace[SERVICE_NAME_SIZE]; /**< owner of its key; "": none */
  uint64_t workspace_key;            /**< hash of the workspace's name */
  int64_t token_expiry_ms;           /**< of the token taken; 0: none */
  int64_t token_wait_start_us;       /**< 0: not waiting for a token */
  uint64_t ticket_sequence;

  int64_t started_us;    /**< when its head was received */
  int64_t upload_end_ms; /**< when its end was, if upload_complete */
  int64_t deadline_us;
  int64_t goal_us;          /**< a response after this is late; 0: no goal */
  int64_t last_progress_us; /**< when the last bytes of the response came */
  int64_t last_read_us;     /**< when the caller last took bytes of it */
  ev_timer timer;
  bool has_read_pending;  /**< the loop has run since the timer expired */
  ev_prepare run_watcher; /**< never started, only fed */
  struct half_close half_close;

  struct exchange_attempt attempt;
  struct run_record run_record;
  uint64_t tried_targets[POLICY_TRIED_MAX];
  struct local_response local_response;

  enum exchange_state state;
  enum exchange_wait waits_for;
  int fd;
  uint32_t timeout_ms;   /**< maximum until the response begins */
  uint32_t attempts_max; /**< limit on attempts at targets */
  uint32_t route_priority;
  uint32_t workspace_priority; /**< if has_workspace_priority */
  uint32_t attempt_count;
  uint32_t unsent_count; /**< attempts with no byte sent */
  uint32_t tried_count;
  uint32_t forward_count;         /**< hosts that it was passed on to */
  uint32_t target_retry_after_ms; /**< from a target that shed the request */

  bool in_flight_counted; /**< counted in context->in_flight */
  bool is_unrouted;    /**< served without a route; not counted by service */
  bool hangup_watched; /**< the caller's connection is in the hangup_watch */
  bool is_suspended;
  bool upload_complete;   /**< the library has received the whole body */
  bool response_queued;   /**< the library has the response */
  bool raw_response_sent; /**< a local response was written to the socket */
  bool caller_disconnected;
  bool response_truncated; /**< ends after the bytes in response_body */
  bool repeatable;
  bool needs_key;
  bool has_quota; /**< the workspace has a quota */
  bool has_workspace_priority;
  bool has_route_timeout; /**< timeout_ms also limits the caller's deadline */
  bool ticket_claimed;
  bool run_scheduled;
  bool last_attempt_unsent; /**< the last attempt is in unsent_count */
  bool is_trial;            /**< trial of a blocked request */
  bool targets_unreached;   /**< refused, since this host is cut from them */
};

/** Create the exchange of the request that begins on CONNECTION. */
struct exchange *exchange_create (struct caller_context *context,
                                  struct MHD_Connection *connection,
                                  const char *uri);

void exchange_count_in_flight (struct exchange *x);

/** The head is complete: select a route, check limits, ask the policy. */
void exchange_start (struct exchange *x, const char *method,
                     const char *version);

/** A host that leaves refuses all new requests: there is no time left. */
bool exchange_start_refuses_all (const struct caller_context *context);

/** Run the checks that precede the first attempt, then ask the policy for a
 * target.  Called again after a check had to wait. */
void exchange_check_and_admit (struct exchange *x);

/** End the wait of X, whether it succeeded or timed out, and check X again. */
void exchange_resume (struct exchange *x);

/** Resume all exchanges that wait for WHAT. */
void exchange_resume_all (struct caller_context *context,
                          enum exchange_wait what);

/** Let X wait for WHAT, at most LIMIT_US; exchange_resume() follows. */
void exchange_wait_for (struct exchange *x, enum exchange_wait what,
                        int64_t limit_us);

/** The library has released the request.  CODE: whether the whole response was
 * written, or why not. */
void exchange_request_completed (struct exchange *x,
                                 enum MHD_RequestTerminationCode code);

/** Run exchange_run() from the event loop. */
void exchange_schedule_run (struct exchange *x);

/** No response can be sent to the caller any more: cancel all work. */
void exchange_cancel (struct exchange *x);

/** Respond with RESPONSE instead of a target's response.  No attempt may be in
 * flight.  Outcome and status are set by what is known of X's attempts. */
void exchange_respond_locally (struct exchange *x,
                               const struct local_response *response);

/** Refuse X, of which no target has received a byte.  MESSAGE is for people,
 * RETRY_AFTER_MS as in struct local_response. */
void exchange_refuse (struct exchange *x, uint32_t status, const char *reason,
                      uint32_t retry_after_ms, const char *message);

/** Refuse X, which has waited for its body until its deadline. */
void exchange_refuse_late_body (struct exchange *x);

/** The age to log of the configuration that X was routed by; -1: unknown. */
int64_t exchange_config_age_ms (const struct exchange *x);

/** The outcome to report when there is no response of a target. */
enum request_outcome exchange_outcome (const struct exchange *x);

/** The host stops now: respond to X unless a response has been selected. */
void exchange_abort_pending (struct exchange *x);

/** Forward the target's response. */
void exchange_forward_response (struct exchange *x);

/** Set the timer of X to expire in AFTER_US. */
void exchange_set_timer (struct exchange *x, int64_t after_us);

#endif
