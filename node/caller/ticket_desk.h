/** @file
 * Tickets of this host: handed out with address answers, claimed when a
 * request brings one.
 *
 * The keyed check of a ticket is an HMAC under a key that only this process
 * knows, so that a caller can't make up a ticket that was never issued.
 */
#ifndef NODE_CALLER_TICKET_DESK_H
#define NODE_CALLER_TICKET_DESK_H

#include <stdint.h>

#include "base/status.h"
#include "policy/floor/ticket_ledger.h"

struct ticket_desk;

/** @param incarnation of this process; 0 makes a random one */
struct ticket_desk *ticket_desk_create (const char *host,
                                        uint64_t incarnation);
void ticket_desk_destroy (struct ticket_desk *desk);

/** A new ticket as text. */
enum status ticket_desk_issue (struct ticket_desk *desk,
                               char text[TICKET_TEXT_SIZE]);

/** Claim the ticket in TEXT.
 * @return TICKET_CLAIM_FORGED also for a text that is no ticket */
enum ticket_claim ticket_desk_claim (struct ticket_desk *desk,
                                     const char *text, struct ticket *ticket);

/** The run of ticket SEQUENCE ended. */
void ticket_desk_finish (struct ticket_desk *desk, uint64_t sequence,
                         enum ticket_end end, uint32_t status);

/** The status that ticket SEQUENCE was answered with; 0 when none is known. */
uint32_t ticket_desk_status (const struct ticket_desk *desk,
                             uint64_t sequence);

#endif
