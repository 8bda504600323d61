/** @file
 * Ejects and reinstates targets, for all services of a host.
 *
 * Each host of a service's set reports the outcomes of its requests to the
 * service's owner, at most once every evidence_ms, and only for targets that
 * had outcomes.  A report is also a poll, which the owner answers with its
 * decision.  The host enforces the decision for a time that starts with its
 * poll (floor_view.h), and posts BUS_EJECTIONS when the enforced set changes.
 * The report also contains the host's demand for slots, and the decision its
 * share of them; BUS_SLOT_SHARES is posted when the share changes or expires.
 *
 * The owner is the host named by the record at the platform.  If nothing is
 * received from it for owner_lease_ms, the first host of the set takes over
 * (floor_owner.h); each further one waits a lease longer.  The owner passes
 * the reports to the detector and its ejections to the floor authority, and
 * announces a changed decision at once to all hosts that polled it.
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

/** The outcomes of SERVICE since they were last drained; NULL: no such
 * service. */
typedef struct detection_recorder *ejection_recorder (void *owner,
                                                      const char *service);

/** The recent maximum of requests of SERVICE that were in flight or queued at
 * the same time at this host. */
typedef uint32_t ejection_demand (void *owner, const char *service);

/** The dependencies of the task, all of which must outlive it. */
struct ejection_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct platform *platform;
  struct counters *counters;
  struct tables *tables; /**< registry of operator tables; may be NULL */
  struct ejection_transport *transport;
  ejection_recorder *recorder;
  ejection_demand *demand; /**< NULL: no demand is reported */
  void *recorder_owner;    /**< passed to both */
  uint64_t incarnation;    /**< of this process, random */
  /** Clock in milliseconds since boot; NULL: clock_now_ms(). */
  int64_t (*now_ms) (void);
};

struct ejection_task *
ejection_task_create (const struct ejection_task_options *options);
void ejection_task_destroy (struct ejection_task *task);

/** Handle MESSAGE, of type PEER_EVIDENCE or PEER_DECISION, received from host
 * FROM. */
void ejection_task_receive (struct ejection_task *task, const char *from,
                            const struct peer_message *message);

/** Carry out OPERATOR_EJECT or OPERATOR_REINSTATE at this host or, if another
 * host is the owner, there.  DONE is called once, from the loop.  A version
 * other than OPERATOR_ANY_VERSION is compared with that of the record, as in
 * the table; if they differ, the command is refused with the current
 * version. */
void ejection_task_command (struct ejection_task *task,
                            const struct operator_command *command,
                            operator_result_done *done, void *owner);

/** Cancel the commands of OWNER without calling back. */
void ejection_task_cancel (struct ejection_task *task, void *owner);

#endif
