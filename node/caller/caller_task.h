/** @file
 * The caller side of a host: accepts requests over HTTP, lets the policy of
 * their service decide, and proxies each to a target and the response back.
 *
 * The task owns the listening socket, the connections to targets, and for
 * each service in force its policy.  It receives services, ejections and host
 * sets over the bus, and runs only on the event loop.
 */
#ifndef NODE_CALLER_CALLER_TASK_H
#define NODE_CALLER_CALLER_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "base/counters.h"
#include "base/fingerprint.h"
#include "node/bus.h"
#include "node/host_settings.h"
#include "node/leave_times.h"

struct caller_interface;
struct caller_task;
struct detection_recorder;
struct tables;

/** The dependencies of the task, all of which must outlive it. */
struct caller_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct counters *counters;
  struct tables *tables; /**< registry of operator tables; may be NULL */
  /** NULL: caller_interface_own. */
  const struct caller_interface *interface;
  uint64_t seed;        /**< of random decisions; 0: a random one */
  uint64_t incarnation; /**< of this process, in tickets; 0: a random one */
};

/** Start serving on the caller address of the settings (port 0 takes a free
 * one).
 * @return NULL on failure; status_message() names the remedy. */
struct caller_task *
caller_task_create (const struct caller_task_options *options);

/** Stop at once, which breaks off the requests in flight. */
void caller_task_destroy (struct caller_task *task);

/** IP:PORT where callers reach the task. */
const char *caller_task_address (const struct caller_task *task);

typedef void caller_task_left_callback (void *owner);

/** Leave gracefully: this host is no longer listed in responses to address
 * requests, responses close their connections, and requests are served until
 * all responses that list this host have expired and nothing is in flight.
 * Then DONE is called, once. */
void caller_task_begin_leaving (struct caller_task *task,
                                caller_task_left_callback *done, void *owner);

/** While leaving, keep to TIMES instead of those that count from
 * caller_task_begin_leaving(). */
void caller_task_set_leave_times (struct caller_task *task,
                                  const struct leave_times *times);

/** The same as caller_task_answer_all_now(), for the requests that may be
 * given up while a target works on them.
 * @return whether others wait for a target's response */
bool caller_task_answer_early_now (struct caller_task *task);

/** End leaving when its time is over: respond at once to all requests that
 * wait for a target or its response, with the outcome that is known for
 * certain, so that no caller gets a broken connection.  DONE of
 * caller_task_begin_leaving() is called when these responses, and those that
 * were already being sent, are written. */
void caller_task_answer_all_now (struct caller_task *task);

/** Whether the host takes work: the settings that it routes by are in force,
 * and it isn't leaving. */
bool caller_task_is_ready (const struct caller_task *task);

/** Accepted requests whose response isn't completely sent. */
uint32_t caller_task_in_flight (const struct caller_task *task);

/** Connections that callers have open. */
uint32_t caller_task_connection_count (const struct caller_task *task);

/** The outcomes by target, since they were last drained, of the service called
 * NAME; NULL if no such service is in force. */
struct detection_recorder *caller_task_recorder (struct caller_task *task,
                                                 const char *name);

/** Clear a request that crashed targets and announce this to the other hosts.
 * @return false if this host has no state for FINGERPRINT */
bool caller_task_clear_poison (struct caller_task *task,
                               const struct fingerprint *fingerprint);

/** The recent maximum of requests of the service called NAME that were at
 * targets or queued for one at the same time; 0 if it isn't in force. */
uint32_t caller_task_demand (struct caller_task *task, const char *name);

#endif
