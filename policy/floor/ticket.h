/** @file
 * A request ticket: the right to run one unrepeatable request at most once.
 *
 * A ticket names the host that issued it, that host's incarnation (random at
 * start), a sequence number and its expiry.  Only the incarnation named ever
 * runs it, so no coordination is needed.  (The idea of an identity with an
 * epoch and a sequence against duplicates is that of Kafka's idempotent
 * producer.)
 */
#ifndef POLICY_FLOOR_TICKET_H
#define POLICY_FLOOR_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#define TICKET_HOST_SIZE 64
/** Longest text form, with its NUL. */
#define TICKET_TEXT_SIZE (TICKET_HOST_SIZE + 4 * 17 + 1)

struct ticket
{
  char host[TICKET_HOST_SIZE]; /**< who issued it */
  uint64_t incarnation;        /**< of that host's process */
  uint64_t sequence;           /**< counts up from 1 in an incarnation */
  int64_t expires_ms;          /**< by the issuer's clock */
  uint64_t mac;                /**< keyed check over the rest */
};

/** Write the text form, `HOST:INCARNATION:SEQUENCE:EXPIRY:CHECK`, numbers in
 * hexadecimal; fit for a header's value. */
void ticket_format (const struct ticket *ticket, char text[TICKET_TEXT_SIZE]);

/** Read the text form; false when TEXT isn't one. */
bool ticket_parse (const char *text, struct ticket *ticket);

#endif
