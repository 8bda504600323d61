/** @file
 * Declarations shared by the sources of the quota task only.
 */
#ifndef NODE_QUOTA_QUOTA_INTERNAL_H
#define NODE_QUOTA_QUOTA_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <uthash.h>

#include "node/quota/quota_messages.h"
#include "node/quota/quota_task.h"
#include "policy/quota/quota_pool.h"
#include "policy/quota/quota_lease.h"

/** Another host: a coordinator or a requester. */
struct quota_peer
{
  char name[PEER_NAME_SIZE];
  uint64_t last_stamp;         /**< the last one received from it; 0: none */
  int64_t unanswered_since_ms; /**< time of the first unanswered request to
                                  it; 0: none */
  UT_hash_handle hh;
};

/** A workspace with a quota. */
struct quota_entry
{
  uint64_t workspace;
  char name[SERVICE_NAME_SIZE];
  struct quota_limit limit;
  uint64_t generation;     /**< of the last configuration that has it */
  uint32_t requested;      /**< by this host, and not sent yet */
  int64_t last_request_ms; /**< last request received as coordinator */
  bool is_pending;         /**< in quota_task.pending */
  bool is_active;          /**< in quota_task.active */
  uint64_t granted;        /**< total tokens, by this host as coordinator */
  struct quota_entry *pending_prev, *pending_next;
  struct quota_entry *active_prev, *active_next;
  UT_hash_handle hh;
};

struct quota_task
{
  struct quota_task_options options;
  struct quota_tolerance tolerance;
  uint64_t process_nonce;
  struct quota_shares *shares;
  struct quota_pool *pool;
  struct quota_lease lease;
  struct quota_peer *peers;    /**< by name */
  uint64_t generation;         /**< number of configurations received */
  struct quota_entry *entries; /**< by workspace */
  struct quota_entry *pending; /**< entries whose request isn't sent yet */
  struct quota_entry *active;  /**< entries with recent requests to this
                                  host as coordinator */
  ev_timer renew_timer;
  ev_timer rebalance_timer; /**< runs while there are active entries */
  ev_timer batch_timer;
  struct quota_report report; /**< the report being built */
};

/* quota_task.c */
/** The state of host NAME, created on first use. */
struct quota_peer *quota_task_peer (struct quota_task *task, const char *name);
/** The entry of WORKSPACE, or NULL if it has no quota. */
struct quota_entry *quota_task_entry (const struct quota_task *task,
                                      uint64_t workspace);
bool quota_task_is_self (const struct quota_task *task, const char *name);
/** Initialize task->report as a report to TO, without rows. */
void quota_task_begin_report (struct quota_task *task,
                              const struct quota_peer *to, int64_t now_ms);
/** Send task->report to host TO. */
void quota_task_send_report (struct quota_task *task, const char *to,
                             enum peer_type type);

/* quota_requester.c: requests tokens on behalf of this host's requests */
/** Request the pending tokens; with RENEW send a request even if there are
 * none, which renews the lease of this host's share. */
void quota_requester_request (struct quota_task *task, bool renew);
/** The coordinator to send requests to, or NULL if none is known. */
const char *quota_requester_coordinator (struct quota_task *task,
                                         int64_t now_ms);
/** Handle a response of coordinator FROM. */
void quota_requester_receive (struct quota_task *task, const char *from,
                              const struct quota_report *response);

/* quota_coordinator.c: this host's role as a coordinator */
/** Grant up to REQUESTED tokens of ENTRY. */
struct quota_row quota_coordinator_grant (struct quota_task *task,
                                          struct quota_entry *entry,
                                          uint32_t requested, int64_t now_ms);
/** Handle and answer a request of host FROM. */
void quota_coordinator_receive (struct quota_task *task, const char *from,
                                const struct quota_report *request);
/** Add the tokens that another coordinator transferred. */
void quota_coordinator_add (struct quota_task *task,
                            const struct quota_report *response);
/** Request tokens from the other coordinators for workspaces with a deficit
 * here. */
void quota_coordinator_rebalance (struct quota_task *task, int64_t now_ms);
void quota_coordinator_start (struct quota_task *task);
void quota_coordinator_stop (struct quota_task *task);

#endif
