/** @file
 * Table of the claimed tickets of this host, so that each runs at most once
 * however often callers resend it.
 *
 * A claim is kept until its ticket has expired and its request has ended, so
 * it is never lost within the ticket's lifetime.  Memory is bounded: while all
 * entries hold claims that may still be requested, no ticket is issued and no
 * further one runs (TICKET_CLAIM_FULL, not run).  An unused ticket needs no
 * memory: its MAC proves that it was issued.
 */
#ifndef POLICY_FLOOR_TICKET_TABLE_H
#define POLICY_FLOOR_TICKET_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "policy/floor/ticket.h"

/** Maximum capacity of a table, in claims. */
#define TICKET_TABLE_CAPACITY_MAX (1U << 20)

/** Returns the keyed MAC of a ticket.  Callers of a host must be unable to
 * compute it; an example is an HMAC under a random key of this incarnation. */
typedef uint64_t ticket_mac (void *key, uint64_t sequence, int64_t expires_ms);

struct ticket_table_options
{
  const char *host;     /**< this host's name */
  uint64_t incarnation; /**< different for each start of the host */
  uint32_t capacity;    /**< maximum number of claims */
  uint32_t lifetime_ms; /**< of a ticket, from its issue */
  ticket_mac *mac;
  void *key; /**< passed to MAC */
};

/** Result of a claim. */
enum ticket_claim
{
  TICKET_CLAIM_RUN, /**< first claim: run it, then call finish() */
  TICKET_CLAIM_DUPLICATE_RUNNING,  /**< in progress; don't run it again */
  TICKET_CLAIM_DUPLICATE_ANSWERED, /**< ran, with a response */
  TICKET_CLAIM_DUPLICATE_UNKNOWN,  /**< may have run: answer "unknown" */
  TICKET_CLAIM_EXPIRED,            /**< may have run: answer "unknown" */
  TICKET_CLAIM_NOT_ISSUED_HERE,    /**< forward the request to ticket.host */
  TICKET_CLAIM_WRONG_INCARNATION, /**< this host restarted: answer "unknown" */
  TICKET_CLAIM_FORGED,            /**< never issued: refuse as not run */
  TICKET_CLAIM_FULL, /**< refuse as not run; may be claimed again */
};

/** Result of a run. */
enum ticket_end
{
  TICKET_END_ANSWERED, /**< the target's response is complete */
  TICKET_END_UNKNOWN,  /**< may have run */
  TICKET_END_NOT_RUN,  /**< not run: the ticket is unused again */
};

struct ticket_table;

const char *ticket_claim_name (enum ticket_claim claim);

struct ticket_table *
ticket_table_create (const struct ticket_table_options *options);
void ticket_table_destroy (struct ticket_table *table);

/** Issues a new ticket; STATUS_LIMIT if the table is full. */
enum status ticket_table_issue (struct ticket_table *table, int64_t now_ms,
                                struct ticket *ticket);

/** Claims the right to run TICKET.  TICKET_CLAIM_RUN is returned once; every
 * such claim must be ended by ticket_table_finish(). */
enum ticket_claim ticket_table_claim (struct ticket_table *table,
                                      int64_t now_ms,
                                      const struct ticket *ticket);

/** Ends the run of SEQUENCE.  ANSWER_CODE is kept for duplicates (an HTTP
 * status, or 0). */
void ticket_table_finish (struct ticket_table *table, int64_t now_ms,
                          uint64_t sequence, enum ticket_end end,
                          uint16_t answer_code);

/** Returns the answer code kept for SEQUENCE; 0 if none. */
uint16_t ticket_table_answer_code (const struct ticket_table *table,
                                   uint64_t sequence);

/** Returns the current number of claims. */
uint32_t ticket_table_count (const struct ticket_table *table);

#endif
