/** @file
 * Which tickets of this host have been run: at most once, whatever callers
 * send again.
 *
 * A claim is remembered until its ticket has expired and its request has
 * ended, so within a ticket's lifetime it is never forgotten.  Memory is
 * bounded: when all entries hold claims that may still be asked for, no
 * ticket is issued and no further one runs (TICKET_CLAIM_FULL, surely not
 * run).  An unused ticket costs no memory: its check proves that it was
 * issued.
 */
#ifndef POLICY_FLOOR_TICKET_TABLE_H
#define POLICY_FLOOR_TICKET_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "policy/floor/ticket.h"

/** Most claims a ledger may be made for. */
#define TICKET_TABLE_CAPACITY_MAX (1U << 20)

/** The keyed check of a ticket.  In a host it must be one that callers can't
 * compute, such as an HMAC under a random key of this incarnation. */
typedef uint64_t ticket_mac (void *key, uint64_t sequence, int64_t expires_ms);

struct ticket_table_options
{
  const char *host;     /**< this host's name */
  uint64_t incarnation; /**< random at start */
  uint32_t capacity;    /**< most claims remembered */
  uint32_t lifetime_ms; /**< of a ticket, from issue */
  ticket_mac *mac;
  void *key; /**< handed to CHECK */
};

/** What a claim found. */
enum ticket_claim
{
  TICKET_CLAIM_RUN,                /**< first claim: run it, then finish() */
  TICKET_CLAIM_DUPLICATE_RUNNING,  /**< runs now; don't run it again */
  TICKET_CLAIM_DUPLICATE_ANSWERED, /**< ran and was answered */
  TICKET_CLAIM_DUPLICATE_UNKNOWN,  /**< perhaps ran: answer "unknown" */
  TICKET_CLAIM_EXPIRED,            /**< perhaps ran: answer "unknown" */
  TICKET_CLAIM_NOT_ISSUED_HERE,    /**< pass the request to ticket.host */
  TICKET_CLAIM_WRONG_INCARNATION,  /**< this host restarted: "unknown" */
  TICKET_CLAIM_FORGED,             /**< never issued: refuse, not run */
  TICKET_CLAIM_FULL,               /**< refuse, not run; may come back */
};

/** How a run ended. */
enum ticket_end
{
  TICKET_END_ANSWERED, /**< the target's whole answer is known */
  TICKET_END_UNKNOWN,  /**< perhaps run */
  TICKET_END_NOT_RUN,  /**< surely not run: the ticket is unused again */
};

struct ticket_table;

const char *ticket_claim_name (enum ticket_claim claim);

struct ticket_table *
ticket_table_create (const struct ticket_table_options *options);
void ticket_table_destroy (struct ticket_table *ledger);

/** A new ticket; STATUS_LIMIT when the ledger is full. */
enum status ticket_table_issue (struct ticket_table *ledger, int64_t now_ms,
                                struct ticket *ticket);

/** Claim the right to run TICKET.  TICKET_CLAIM_RUN is given once; every
 * such claim must be ended by ticket_table_finish(). */
enum ticket_claim ticket_table_claim (struct ticket_table *ledger,
                                      int64_t now_ms,
                                      const struct ticket *ticket);

/** The run of SEQUENCE ended.  ANSWER_CODE is kept for duplicates (an HTTP
 * status, or 0). */
void ticket_table_finish (struct ticket_table *ledger, int64_t now_ms,
                          uint64_t sequence, enum ticket_end end,
                          uint16_t answer_code);

/** The answer code kept for SEQUENCE; 0 when none. */
uint16_t ticket_table_answer_code (const struct ticket_table *ledger,
                                   uint64_t sequence);

/** Claims held now. */
uint32_t ticket_table_count (const struct ticket_table *ledger);

#endif
