/** @file
 * The control task keeps this host part of the fleet: membership, host sets
 * and settings, over links to a few other hosts.
 *
 * It posts BUS_SERVICE_IN_FORCE, BUS_SERVICE_REMOVED, BUS_HOST_SET and
 * BUS_MEMBERS, and handles BUS_SHUTDOWN.  No state or traffic grows with the
 * number of all hosts times the number of all services: each host exchanges
 * heartbeats with a few neighbours, and an object of the platform spreads from
 * the relays along those links.
 */
#ifndef NODE_CONTROL_TASK_H
#define NODE_CONTROL_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <json-c/json.h>

#include "base/counters.h"
#include "base/status.h"
#include "node/bus.h"
#include "node/host_settings.h"
#include "wire/peer/peer_message.h"
#include "wire/platform.h"

struct tables;
struct control_task;

/** Options of the task; all pointers must stay valid as long as the task. */
struct control_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct platform *platform;
  struct counters *counters;
  struct tables *tables; /**< rows for the operator interface; NULL: none */
  uint64_t incarnation;  /**< 0: created from the time and random bits */
};

/** Listen on the peer address, and start registering, loading settings and
 * sending heartbeats.  Fails with a message that names the remedy if the
 * address can't be listened on or the secret can't be read. */
enum status control_task_create (const struct control_task_options *options,
                                 struct control_task **task);
void control_task_destroy (struct control_task *task);

/** The number of this host's start, which tickets contain. */
uint64_t control_incarnation (const struct control_task *task);

/** Signals that the event loop handles now were sent after this time
 * (clock_now_ms()). */
int64_t control_signals_since_ms (const struct control_task *task);

/** A message from host FROM; valid during the callback only. */
typedef void control_handler (void *owner, const char *from,
                              const struct peer_message *message);

/** Call HANDLER for messages of TYPE, which is PEER_EVIDENCE, PEER_DECISION,
 * PEER_DEMAND or PEER_QUOTA_*.  Each type has one handler. */
void control_subscribe (struct control_task *task, enum peer_type type,
                        control_handler *handler, void *owner);

/** Send MESSAGE to host TO.  If that is this host, its handler is called from
 * the event loop.
 * @return STATUS_OK if it was queued, which doesn't mean received;
 * STATUS_NOT_FOUND if there is no such host; STATUS_LIMIT if too much is
 * queued for it already or the link is down */
enum status control_send (struct control_task *task, const char *to,
                          const struct peer_message *message);

/** The hosts that serve SERVICE now, in order of rank.  The first one that
 * can be reached owns the ejections of the service.  Names are valid until
 * the next BUS_HOST_SET of the service.
 * @return how many were written to NAMES */
size_t control_host_set (const struct control_task *task, const char *service,
                         const char **names, size_t max);

/** The quota coordinators, one in each data centre, that of this host's data
 * centre first.  Names are valid until the next BUS_MEMBERS.
 * @return how many were written to NAMES */
size_t control_quota_coordinators (const struct control_task *task,
                                   const char **names, size_t max);

/** The number of hosts on the platform's list, live or not; 0 if the list
 * hasn't arrived yet. */
uint32_t control_listed_host_count (const struct control_task *task);

/** Whether HOST may be handed out to callers: it is live and not leaving. */
bool control_host_is_live (const struct control_task *task, const char *host);

/** The address at which callers reach HOST, or NULL if it isn't known. */
const char *control_caller_address (const struct control_task *task,
                                    const char *host);

/** Whether this host must not be handed out: it has had no contact with the
 * platform or a relay for stale_after_ms. */
bool control_is_stale (const struct control_task *task);

/** Milliseconds since the last contact with the platform or a relay. */
int64_t control_contact_age_ms (const struct control_task *task);

/** The names of hosts that should be live but don't respond now (suspect,
 * reachable one way only, or dead), as a new JSON array. */
struct json_object *
control_unresponsive_hosts (const struct control_task *task);

/** Whether settings have arrived from the platform or a peer, so that
 * requests can be accepted. */
bool control_has_settings (const struct control_task *task);

/** Put VERSION of service NAME in force here and offer it to other hosts.
 * For the host whose conditional write was accepted.  VALUE is NULL for a
 * removal.
 * @return STATUS_REFUSED if VERSION isn't higher than the known one */
enum status control_apply_service (struct control_task *task, const char *name,
                                   uint64_t version, const char *value);

/** On which hosts a version of a service is in force; names are valid during
 * the callback only. */
struct control_in_force
{
  size_t queried;
  size_t in_force;
  const char **outdated; /**< hosts that have a lower version */
  size_t outdated_count;
  const char **unanswered; /**< hosts that sent no answer */
  size_t unanswered_count;
};

typedef void control_in_force_done (void *owner,
                                    const struct control_in_force *result);

/** Ask the hosts that should have VERSION of SERVICE whether it is in force
 * there.  DONE is called once, when all have answered or after TIMEOUT_MS. */
void control_query_in_force (struct control_task *task, const char *service,
                             uint64_t version, uint32_t timeout_ms,
                             control_in_force_done *done, void *owner);

/** Cancel the queries of OWNER without calling back. */
void control_cancel_queries (struct control_task *task, void *owner);

#endif
