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
  uint64_t stamp;   /**< its last one */
  int64_t asked_ms; /**< the first question that it hasn't answered; 0: none */
  UT_hash_handle hh;
};

/** A workspace with a quota. */
struct quota_entry
{
  uint64_t workspace;
  char name[SERVICE_NAME_SIZE];
  struct quota_limit limit;
  uint64_t generation; /**< of the configuration that named it last */
  uint32_t wanted;     /**< here, and not asked for yet */
  int64_t active_ms;   /**< when a holder asked this host for it last */
  bool is_wanted;
  bool is_active;
  uint64_t granted; /**< by this host as a keeper, in all */
  struct quota_entry *wanted_prev, *wanted_next;
  struct quota_entry *active_prev, *active_next;
  UT_hash_handle hh;
};

struct quota_task
{
  struct quota_task_options options;
  struct quota_tolerance terms;
  uint64_t life;
  struct quota_shares *shares;
  struct quota_pool *ledger;
  struct quota_lease lending;
  struct quota_peer *peers;    /**< by name */
  uint64_t generation;         /**< counts configurations */
  struct quota_entry *entries; /**< by workspace */
  struct quota_entry *wanted;  /**< those with tokens to ask for */
  struct quota_entry *active;  /**< those that this host keeps */
  ev_timer renew;
  ev_timer level; /**< runs while there are active entries */
  ev_timer gather;
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

/* quota_hold.c: what this host needs for its own requests */
/** Ask for what they want; RENEW: also when that is nothing, to lend this
 * host's share again. */
void quota_hold_ask (struct quota_task *task, bool renew);
/** The keeper to ask, or NULL. */
const char *quota_hold_coordinator (struct quota_task *task, int64_t now_ms);
/** The answer of host FROM. */
void quota_hold_receive (struct quota_task *task, const char *from,
                         const struct quota_report *answer);

/* quota_keep.c: what this host does as a keeper */
/** Grant up to WANTED tokens of ENTRY. */
struct quota_row quota_keep_grant (struct quota_task *task,
                                   struct quota_entry *entry, uint32_t wanted,
                                   int64_t now_ms);
/** Answer the question of host FROM. */
void quota_keep_receive (struct quota_task *task, const char *from,
                         const struct quota_report *asked);
/** Tokens came from another keeper. */
void quota_keep_add (struct quota_task *task,
                     const struct quota_report *answer);
/** Ask other keepers for what is lacking here. */
void quota_keep_level (struct quota_task *task, int64_t now_ms);
void quota_keep_start (struct quota_task *task);
void quota_keep_stop (struct quota_task *task);

#endif
