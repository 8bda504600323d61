/** @file
 * The task that keeps this host part of the fleet: membership, host sets and
 * settings, over links to a few other hosts.
 *
 * It posts BUS_SERVICE_IN_FORCE, BUS_SERVICE_REMOVED, BUS_HOST_SET and
 * BUS_MEMBERS, and obeys BUS_SHUTDOWN.  Nothing it holds or sends grows with
 * all hosts times all services: each host beats to a few neighbours, and an
 * object of the platform travels from relays along those links.
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

/** What the task needs; all pointers stay good as long as it. */
struct control_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct platform *platform;
  struct counters *counters;
  struct tables *tables; /**< operator's rows; NULL: none */
  uint64_t incarnation;  /**< 0: one is made from time and chance */
};

/** Listens on the peer address and starts to register, load and beat.  Fails
 * with a remedy when the address can't be listened on or the secret can't be
 * read. */
enum status control_task_create (const struct control_task_options *options,
                                 struct control_task **task);
void control_task_destroy (struct control_task *task);

/** This start of this host; tickets name it. */
uint64_t control_incarnation (const struct control_task *task);

/** A message from host FROM; good during the callback only. */
typedef void control_handler (void *owner, const char *from,
                              const struct peer_message *message);

/** Call HANDLER for messages of TYPE: PEER_EVIDENCE, PEER_DECISION,
 * PEER_DEMAND or PEER_QUOTA_*, one handler a type. */
void control_subscribe (struct control_task *task, enum peer_type type,
                        control_handler *handler, void *owner);

/** Send MESSAGE to host TO (which may be this host: then the handler is
 * called from the loop).  STATUS_OK means queued, not received.
 * STATUS_NOT_FOUND: no such host; STATUS_LIMIT: too much is queued for it
 * already, or the link is down. */
enum status control_send (struct control_task *task, const char *to,
                          const struct peer_message *message);

/** The hosts that serve SERVICE now, best placed first: the owner of a
 * service's ejections is the first that can be reached.  Names are good
 * until the next BUS_HOST_SET of the service.
 * @return how many were written to NAMES. */
size_t control_host_set (const struct control_task *task, const char *service,
                         const char **names, size_t max);

/** The hosts that keep quotas, one in each data centre, that of this host's
 * own first; names are good until the next BUS_MEMBERS.
 * @return how many were written to NAMES */
size_t control_quota_coordinators (const struct control_task *task,
                                   const char **names, size_t max);

/** How many hosts the platform's list shows, live or not; 0: it hasn't come
 * yet. */
uint32_t control_listed_host_count (const struct control_task *task);

/** May HOST be handed out: believed live, not leaving, not dead? */
bool control_host_is_live (const struct control_task *task, const char *host);

/** The address callers reach HOST at, or NULL when it isn't known. */
const char *control_caller_address (const struct control_task *task,
                                    const char *host);

/** This host has heard neither the platform nor a relay for
 * stale_after_ms: it must not hand itself out. */
bool control_is_stale (const struct control_task *task);

/** How long ago this host last heard the platform or a relay, in ms. */
int64_t control_contact_age_ms (const struct control_task *task);

/** The hosts that should be live but aren't heard from now (suspect, heard
 * one way only, or dead), by name: a new JSON array. */
struct json_object *
control_unresponsive_hosts (const struct control_task *task);

/** Settings have come from the platform or a peer: work may be taken. */
bool control_has_settings (const struct control_task *task);

/** Put version VERSION of service NAME in force here and offer it to others:
 * for the writer, whose conditional write was accepted.  VALUE is NULL for a
 * removal.  Lower and equal versions are ignored (STATUS_REFUSED). */
enum status control_apply_service (struct control_task *task, const char *name,
                                   uint64_t version, const char *value);

/** How far a version of a service has come; names are good during the
 * callback only. */
struct control_in_force
{
  size_t queried;
  size_t in_force;
  const char **outdated; /**< answered with a lower version */
  size_t outdated_count;
  const char **unanswered; /**< not heard from */
  size_t unanswered_count;
};

typedef void control_in_force_done (void *owner,
                                    const struct control_in_force *result);

/** Ask the hosts that should hold VERSION of SERVICE whether it is in force
 * there; DONE is called once, when all have answered or after TIMEOUT_MS. */
void control_query_in_force (struct control_task *task, const char *service,
                             uint64_t version, uint32_t timeout_ms,
                             control_in_force_done *done, void *owner);

/** Forget the asks of OWNER without calling back. */
void control_cancel_queries (struct control_task *task, void *owner);

#endif
