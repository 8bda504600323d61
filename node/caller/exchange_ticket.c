#include "node/caller/exchange_ticket.h"

#include <stdio.h>
#include <string.h>

#include "node/caller/exchange_send.h"

enum
{
  TICKETS_FULL_RETRY_AFTER_MS = 1000,
  TICKET_RUNNING_RETRY_AFTER_MS = 1000
};

/* A ticket that isn't run now may have run before, here or at another host.
   "unknown" is then the only correct outcome, even if this host sent nothing
   to a target. */
static void
respond_unknown (struct exchange *x, uint32_t status, const char *reason,
                 const char *message)
{
  struct local_response response = { .status = status, .reason = reason };
  run_record_note_host (&x->run_record);
  snprintf (response.message, sizeof response.message, "%s", message);
  exchange_respond_locally (x, &response);
}

static void
respond_duplicate (struct exchange *x, enum ticket_claim claim,
                   const struct ticket *ticket)
{
  struct local_response response
      = { .status = MHD_HTTP_CONFLICT, .reason = "ticket-duplicate" };
  const uint32_t status
      = ticket_issuer_status (x->context->tickets, ticket->sequence);
  run_record_note_host (&x->run_record);
  if (claim == TICKET_CLAIM_DUPLICATE_ANSWERED)
    snprintf (response.message, sizeof response.message,
              "this ticket has been run and answered with status %u: don't "
              "send it again",
              status);
  else if (claim == TICKET_CLAIM_DUPLICATE_RUNNING)
    snprintf (response.message, sizeof response.message,
              "this ticket is being run: wait for its own answer");
  else
    snprintf (response.message, sizeof response.message,
              "this ticket has perhaps been run: find out before asking for "
              "the same with a new one");
  if (claim == TICKET_CLAIM_DUPLICATE_RUNNING)
    response.retry_after_ms = TICKET_RUNNING_RETRY_AFTER_MS;
  exchange_respond_locally (x, &response);
}

static void
refuse_ticket (struct exchange *x, enum ticket_claim claim)
{
  if (claim == TICKET_CLAIM_FULL)
    exchange_refuse (
        x, MHD_HTTP_SERVICE_UNAVAILABLE, "tickets-full",
        TICKETS_FULL_RETRY_AFTER_MS,
        "too many tickets are in use at this host: come back later");
  else
    exchange_refuse (x, MHD_HTTP_BAD_REQUEST, "ticket-forged", 0,
                     "this ticket was never handed out: take one from an "
                     "address answer");
}

static void
relay_to_issuer (struct exchange *x, const struct ticket *ticket)
{
  const char *address
      = host_directory_find (x->context->host_directory, ticket->host);
  const bool can_relay
      = address != NULL && address[0] != '\0' && !x->head.relayed;
  if (can_relay)
    exchange_relay (x, ticket->host, address);
  else
    respond_unknown (x, MHD_HTTP_BAD_GATEWAY, "ticket-elsewhere",
                     "the host that handed out this ticket can't be reached "
                     "from here: find out whether it has run before asking "
                     "for the same with a new one");
}

bool
exchange_ticket_claim (struct exchange *x)
{
  struct ticket ticket;
  const enum ticket_claim claim
      = ticket_issuer_claim (x->context->tickets, x->head.ticket, &ticket);
  switch (claim)
    {
    case TICKET_CLAIM_RUN:
      x->ticket_claimed = true;
      x->ticket_sequence = ticket.sequence;
      return true;
    case TICKET_CLAIM_NOT_ISSUED_HERE:
      relay_to_issuer (x, &ticket);
      return false;
    case TICKET_CLAIM_DUPLICATE_RUNNING:
    case TICKET_CLAIM_DUPLICATE_ANSWERED:
    case TICKET_CLAIM_DUPLICATE_UNKNOWN:
      respond_duplicate (x, claim, &ticket);
      return false;
    case TICKET_CLAIM_EXPIRED:
    case TICKET_CLAIM_WRONG_INCARNATION:
      respond_unknown (x, MHD_HTTP_CONFLICT,
                       claim == TICKET_CLAIM_EXPIRED ? "ticket-expired"
                                                     : "ticket-restarted",
                       "this host no longer knows the ticket: find out "
                       "whether it has run before asking for the same with a "
                       "new one");
      return false;
    case TICKET_CLAIM_FORGED:
    case TICKET_CLAIM_FULL:
      refuse_ticket (x, claim);
      return false;
    }
  return false;
}

void
exchange_ticket_finish (struct exchange *x)
{
  if (!x->ticket_claimed)
    return;
  x->ticket_claimed = false;
  enum ticket_end end = TICKET_END_UNKNOWN;
  const bool is_forwarding = x->state == EXCHANGE_FORWARDING;
  if (is_forwarding && x->response_body.is_complete)
    end = TICKET_END_ANSWERED;
  else if (!is_forwarding && exchange_outcome (x) == REQUEST_OUTCOME_NOT_RUN)
    end = TICKET_END_NOT_RUN;
  ticket_issuer_finish (x->context->tickets, x->ticket_sequence, end,
                        x->attempt.status);
}
