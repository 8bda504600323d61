/** @file
 * Tickets of this host: issued in responses to address requests, and claimed
 * when a request carries one.
 *
 * The MAC of a ticket is an HMAC with a key that only this process knows, so
 * that a caller can't forge a ticket that was never issued.
 */
#ifndef NODE_CALLER_TICKET_ISSUER_H
#define NODE_CALLER_TICKET_ISSUER_H

#include <stdint.h>

#include "base/status.h"
#include "policy/floor/ticket_table.h"

struct ticket_issuer;

/** @param incarnation of this process; 0: a random one */
struct ticket_issuer *ticket_issuer_create (const char *host,
                                            uint64_t incarnation);
void ticket_issuer_destroy (struct ticket_issuer *issuer);

/** Issue a ticket and write it to TEXT.
 * @return STATUS_LIMIT if too many claims are remembered */
enum status ticket_issuer_issue (struct ticket_issuer *issuer,
                                 char text[TICKET_TEXT_SIZE]);

/** Claim the ticket in TEXT.
 * @return TICKET_CLAIM_FORGED also if TEXT is not a ticket */
enum ticket_claim ticket_issuer_claim (struct ticket_issuer *issuer,
                                       const char *text,
                                       struct ticket *ticket);

/** Record how the run of ticket SEQUENCE ended. */
void ticket_issuer_finish (struct ticket_issuer *issuer, uint64_t sequence,
                           enum ticket_end end, uint32_t status);

/** The status of the response to ticket SEQUENCE; 0 if none is known. */
uint32_t ticket_issuer_status (const struct ticket_issuer *issuer,
                               uint64_t sequence);

#endif
