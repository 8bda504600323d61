/** @file
 * The task that ejects targets and brings them back, for all services of a
 * host.
 *
 * Each host of a service's set sends what it saw of the targets to the
 * service's owner, at most once every evidence_ms, and only of targets that
 * had outcomes.  That report is also the poll that the owner's decision
 * answers; the host enforces the decision from its poll on (floor_view.h) and
 * posts BUS_EJECTIONS when the enforced set changes.  The report also tells
 * how many slots the host wants, and the decision which part of them it gets;
 * BUS_SLOT_SHARES is posted when that changes or lapses.
 *
 * The owner is the host named by the record at the platform.  When it hasn't
 * been heard from for owner_lease_ms, the first host of the set takes over
 * (floor_owner.h); each further one waits a lease longer.  The owner feeds
 * the detector, asks the floor authority, and tells all hosts that polled it
 * as soon as its decision changes.
 */
#ifndef NODE_EJECTION_TASK_H
#define NODE_EJECTION_TASK_H

#include <stdint.h>

#include <ev.h>

#include "base/counters.h"
#include "node/bus.h"
#include "node/ejection/ejection_transport.h"
#include "node/host_settings.h"
#include "node/operator/operator_backend.h"
#include "node/tables.h"
#include "wire/platform.h"

struct detection_recorder;
struct ejection_task;

/** Outcomes of SERVICE since they were last drained; NULL: none known. */
typedef struct detection_recorder *ejection_recorder (void *owner,
                                                      const char *service);

/** The most requests of SERVICE that were in flight or waiting at once here
 * lately. */
typedef uint32_t ejection_demand (void *owner, const char *service);

/** What the task needs; all pointers stay good as long as it. */
struct ejection_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct platform *platform;
  struct counters *counters;
  struct tables *tables; /**< rows of "ejections"; NULL: none */
  struct ejection_transport *transport;
  ejection_recorder *recorder;
  ejection_demand *demand; /**< NULL: none is told */
  void *recorder_owner;    /**< passed to both */
  uint64_t incarnation;    /**< random at start */
  /** Milliseconds since boot; NULL is clock_now_ms(). */
  int64_t (*now_ms) (void);
};

struct ejection_task *
ejection_task_create (const struct ejection_task_options *options);
void ejection_task_destroy (struct ejection_task *task);

/** A PEER_EVIDENCE or PEER_DECISION from host FROM. */
void ejection_task_receive (struct ejection_task *task, const char *from,
                            const struct peer_message *message);

/** Carry out OPERATOR_EJECT or OPERATOR_REINSTATE, here or at the owner.
 * DONE is called once, from the loop.  A version other than
 * OPERATOR_ANY_VERSION is that of the record, as in the rows; when it has
 * changed the command is refused and says to what. */
void ejection_task_command (struct ejection_task *task,
                            const struct operator_command *command,
                            operator_result_done *done, void *owner);

/** Forget the commands of OWNER without calling back. */
void ejection_task_cancel (struct ejection_task *task, void *owner);

#endif
