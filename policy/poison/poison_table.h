/** @file
 * Table of requests that crash the targets that run them.
 *
 * Requests are identified by fingerprint, regardless of caller, attempt and
 * host.  A request is blocked after `crashes` consecutive target crashes,
 * first for `block_ms`, then for twice the previous duration each time, up to
 * `block_max_ms`.  When a block ends, one host may send the request once as a
 * trial: another crash blocks it again, a complete response clears it.
 *
 * Three rules keep unrelated requests on the same targets from being blocked:
 *  - a complete response clears a request and all its counted crashes;
 *  - crashes count only in sequence, each request sent after the crash before
 *    it, so simultaneous failures of several targets count once;
 *  - a crash that is attributed to a blocked request counts for no other.
 *
 * Merging state from several hosts prefers the higher epoch, then the higher
 * number of strikes; each crash of a target is counted once.
 */
#ifndef POLICY_POISON_POISON_TABLE_H
#define POLICY_POISON_POISON_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/poison/poison_row.h"

enum
{
  POISON_ENTRIES_MAX = 1024,
  /** Crashes stored per request; older ones are dropped. */
  POISON_CRASHES_MAX = 8,
  POISON_CRASH_RETENTION_MS = 10 * 60 * 1000,
  /** Counted from the end of the block. */
  POISON_BLOCK_RETENTION_MS = 60 * 60 * 1000,
  /** A trial without a result is repeated after this time. */
  POISON_TRIAL_TIMEOUT_MS = 30 * 1000,
};

enum poison_verdict
{
  POISON_PASS,
  POISON_TRIAL, /**< send once; the result clears or blocks it again */
  POISON_BLOCKED,
};

struct poison_options
{
  uint32_t crashes;      /**< number that blocks a request */
  uint32_t block_ms;     /**< duration of the first block */
  uint32_t block_max_ms; /**< upper bound of the duration */
};

/** A crash of a target that was running a request. */
struct poison_crash
{
  struct fingerprint fingerprint;
  uint64_t target;
  int64_t sent_ms;    /**< when the request was sent */
  int64_t crashed_ms; /**< when its connection broke */
};

/** State of one request, for operators. */
struct poison_summary
{
  struct fingerprint fingerprint;
  uint32_t crashes;
  uint32_t strikes;
  int64_t crashed_ago_ms; /**< last counted crash; -1: none */
  int64_t left_ms;        /**< remaining time of the block; 0: not blocked */
};

struct poison_table;

struct poison_table *
poison_table_create (const struct poison_options *options);
void poison_table_destroy (struct poison_table *table);

bool poison_table_is_empty (const struct poison_table *table);

/** Return whether an entry has this head hash.  Allows callers to skip
 * computing the full fingerprint. */
bool poison_table_has_head (const struct poison_table *table, uint64_t head);

/** Decide whether a request may be sent.  POISON_TRIAL is returned only if
 * OWNS_TRIALS is set.  For POISON_BLOCKED, *LEFT_MS is set to the time after
 * which the request may be sent again. */
enum poison_verdict poison_table_check (struct poison_table *table,
                                        int64_t now_ms,
                                        const struct fingerprint *fingerprint,
                                        bool owns_trials, uint32_t *left_ms);

/** Count CRASH.
 * @return whether the state changed; ROW is then the row to announce */
bool poison_table_add_crash (struct poison_table *table, int64_t now_ms,
                             const struct poison_crash *crash,
                             struct poison_row *row);

/** Clear a request that a target answered completely.
 * @return whether the state changed; ROW is then the row to announce */
bool poison_table_clear (struct poison_table *table, int64_t now_ms,
                         const struct fingerprint *fingerprint,
                         struct poison_row *row);

/** Merge ROW from another host.
 * @return whether the state changed */
bool poison_table_merge (struct poison_table *table, int64_t now_ms,
                         const struct poison_row *row);

/** Return the block of a request; `strikes` is 0 if there is none. */
struct poison_row
poison_table_get_block (const struct poison_table *table, int64_t now_ms,
                        const struct fingerprint *fingerprint);

/** Export all blocks, then all crashes of requests that are not blocked.
 * @return the number of rows, at most MAX */
size_t poison_table_export (const struct poison_table *table, int64_t now_ms,
                            struct poison_row *rows, size_t max);

/** List the suspected and blocked requests in unspecified order.
 * @return their number, at most MAX */
size_t poison_table_list (const struct poison_table *table, int64_t now_ms,
                          struct poison_summary *summaries, size_t max);

/** Remove the entries whose retention period has passed. */
void poison_table_expire (struct poison_table *table, int64_t now_ms);

#endif
