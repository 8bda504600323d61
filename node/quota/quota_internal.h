/** @file
 * What the sources of the quota task share; no other folder includes it.
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

/** Another host, as a keeper or as one that asks. */
struct quota_peer
{
  char name[PEER_NAME_SIZE];
  uint64_t last_stamp;         /**< its last one */
  int64_t unanswered_since_ms; /**< the first question that it hasn't answered;
                                  0: none */
  UT_hash_handle hh;
};

/** A workspace with a quota. */
struct quota_entry
{
  uint64_t workspace;
  char name[SERVICE_NAME_SIZE];
  struct quota_limit limit;
  uint64_t generation;     /**< of the configuration that named it last */
  uint32_t requested;      /**< here, and not asked for yet */
  int64_t last_request_ms; /**< when a holder asked this host for it last */
  bool is_pending;
  bool is_active;
  uint64_t granted; /**< by this host as a keeper, in all */
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
  uint64_t generation;         /**< counts configurations */
  struct quota_entry *entries; /**< by workspace */
  struct quota_entry *pending; /**< those with tokens to ask for */
  struct quota_entry *active;  /**< those that this host keeps */
  ev_timer renew_timer;
  ev_timer rebalance_timer; /**< runs while there are active entries */
  ev_timer batch_timer;
  struct quota_report report; /**< being written or read */
};

/* quota_task.c */
struct quota_peer *quota_task_peer (struct quota_task *task, const char *name);
struct quota_entry *quota_task_entry (const struct quota_task *task,
                                      uint64_t workspace);
bool quota_task_is_self (const struct quota_task *task, const char *name);
/** Begin task->report, for TO. */
void quota_task_begin_report (struct quota_task *task,
                              const struct quota_peer *to, int64_t now_ms);
/** Send task->report to host TO. */
void quota_task_send_report (struct quota_task *task, const char *to,
                             enum peer_type type);

/* quota_requester.c: what this host needs for its own requests */
/** Ask for what they want; RENEW: also when that is nothing, to lend this
 * host's share again. */
void quota_requester_request (struct quota_task *task, bool renew);
/** The keeper to ask, or NULL. */
const char *quota_requester_coordinator (struct quota_task *task,
                                         int64_t now_ms);
/** The answer of host FROM. */
void quota_requester_receive (struct quota_task *task, const char *from,
                              const struct quota_report *answer);

/* quota_coordinator.c: what this host does as a keeper */
/** Grant up to WANTED tokens of ENTRY. */
struct quota_row quota_coordinator_grant (struct quota_task *task,
                                          struct quota_entry *entry,
                                          uint32_t wanted, int64_t now_ms);
/** Answer the question of host FROM. */
void quota_coordinator_receive (struct quota_task *task, const char *from,
                                const struct quota_report *asked);
/** Tokens came from another keeper. */
void quota_coordinator_add (struct quota_task *task,
                            const struct quota_report *answer);
/** Ask other keepers for what is lacking here. */
void quota_coordinator_rebalance (struct quota_task *task, int64_t now_ms);
void quota_coordinator_start (struct quota_task *task);
void quota_coordinator_stop (struct quota_task *task);

#endif
