/** @file
 * A request ticket: the right to run one unrepeatable request at most once.
 *
 * A ticket names the host that issued it, that host's incarnation (different
 * for each start), a sequence number and its expiry.  Only the named
 * incarnation ever runs it, so no coordination is needed.  (An identity with
 * an epoch and a sequence number to detect duplicates is also used by Kafka's
 * idempotent producer.)
 */
#ifndef POLICY_FLOOR_TICKET_H
#define POLICY_FLOOR_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#define TICKET_HOST_SIZE 64
/** Maximum size of the text form, including its NUL. */
#define TICKET_TEXT_SIZE (TICKET_HOST_SIZE + 4 * 17 + 1)

struct ticket
{
  char host[TICKET_HOST_SIZE]; /**< the issuer */
  uint64_t incarnation;        /**< of that host's process */
  uint64_t sequence;           /**< increases from 1 in an incarnation */
  int64_t expires_ms;          /**< by the issuer's clock */
  uint64_t mac;                /**< keyed MAC over the other fields */
};

/** Writes the text form, `HOST:INCARNATION:SEQUENCE:EXPIRY:MAC`, numbers in
 * hexadecimal; valid as a header value. */
void ticket_format (const struct ticket *ticket, char text[TICKET_TEXT_SIZE]);

/** Parses the text form.
 * @return false if TEXT isn't one */
bool ticket_parse (const char *text, struct ticket *ticket);

#endif
