/** @file
 * Tickets of this host: handed out with address answers, claimed when a
 * request brings one.
 *
 * The keyed check of a ticket is an HMAC under a key that only this process
 * knows, so that a caller can't make up a ticket that was never issued.
 */
#ifndef NODE_CALLER_TICKET_ISSUER_H
#define NODE_CALLER_TICKET_ISSUER_H

#include <stdint.h>

#include "base/status.h"
#include "policy/floor/ticket_table.h"

struct ticket_issuer;

/** @param incarnation of this process; 0 makes a random one */
struct ticket_issuer *ticket_issuer_create (const char *host,
                                            uint64_t incarnation);
void ticket_issuer_destroy (struct ticket_issuer *desk);

/** A new ticket as text. */
enum status ticket_issuer_issue (struct ticket_issuer *desk,
                                 char text[TICKET_TEXT_SIZE]);

/** Claim the ticket in TEXT.
 * @return TICKET_CLAIM_FORGED also for a text that is no ticket */
enum ticket_claim ticket_issuer_claim (struct ticket_issuer *desk,
                                       const char *text,
                                       struct ticket *ticket);

/** The run of ticket SEQUENCE ended. */
void ticket_issuer_finish (struct ticket_issuer *desk, uint64_t sequence,
                           enum ticket_end end, uint32_t status);

/** The status that ticket SEQUENCE was answered with; 0 when none is known. */
uint32_t ticket_issuer_status (const struct ticket_issuer *desk,
                               uint64_t sequence);

#endif
