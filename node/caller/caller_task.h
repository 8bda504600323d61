/** @file
 * The caller side of a host: takes requests over HTTP, decides with the
 * policy of their service, and carries each to a target and its answer back.
 *
 * The task owns the listening socket, the connections to targets, and for
 * each service in force its policy.  It learns services, ejections and host
 * sets from the bus, and runs on the loop alone.
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

struct caller_interface;
struct caller_task;
struct detection_recorder;
struct tables;

/** What the task stands on; all of it outlives the task. */
struct caller_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct counters *counters;
  struct tables *tables; /**< operator rows are added here; may be NULL */
  /** Names in which callers and targets are spoken to; NULL: jaystair's. */
  const struct caller_interface *interface;
  uint64_t seed;        /**< of the choices; 0 takes one from the system */
  uint64_t incarnation; /**< of this process, in tickets; 0: a random one */
};

/** Start serving on the caller address of the settings (port 0 takes a free
 * one).
 * @return NULL on failure; status_message() names the remedy. */
struct caller_task *
caller_task_create (const struct caller_task_options *options);

/** Stop at once: whatever is still in flight is cut. */
void caller_task_destroy (struct caller_task *task);

/** IP:PORT where callers reach the task. */
const char *caller_task_address (const struct caller_task *task);

typedef void caller_task_left_callback (void *owner);

/** Leave gracefully: address answers leave this host out, answers close their
 * connections, and requests are served until the longest kept address answer
 * is over and nothing is in flight.  Then DONE is called, once. */
void caller_task_begin_leaving (struct caller_task *task,
                                caller_task_left_callback *done, void *owner);

/** The time to leave is over: answer all that waits for a target or for its
 * answer at once, with what is truly known, so that no caller is left with a
 * broken connection.  DONE of caller_task_begin_leaving() follows when those
 * answers, and the ones that were under way, are written. */
void caller_task_answer_all_now (struct caller_task *task);

/** Does it take work: is what it routes by in force, and isn't it leaving? */
bool caller_task_is_ready (const struct caller_task *task);

/** Requests taken in and not yet answered to the end. */
uint32_t caller_task_in_flight (const struct caller_task *task);

/** Outcomes by target since they were last drained, of the service called
 * NAME; NULL when there is no such service in force. */
struct detection_recorder *caller_task_recorder (struct caller_task *task,
                                                 const char *name);

/** Clear a request that crashed targets and announce this to the other hosts.
 * @return false if this host has no state for FINGERPRINT */
bool caller_task_clear_poison (struct caller_task *task,
                               const struct fingerprint *fingerprint);

/** The most requests of the service called NAME that were at targets or
 * waited for one at once lately; 0 when it isn't in force. */
uint32_t caller_task_demand (struct caller_task *task, const char *name);

#endif
