#include "node/caller/ticket_desk.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/xmalloc.h"

enum
{
  KEY_BYTES = 32,
  CLAIMS_MAX = 65536,
  LIFETIME_MS = 3 * 60 * 1000
};

struct ticket_desk
{
  struct ticket_ledger *ledger;
  unsigned char key[KEY_BYTES];
};

static uint64_t
check (void *owner, uint64_t sequence, int64_t expires_ms)
{
  const struct ticket_desk *desk = owner;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned char text[sizeof sequence + sizeof expires_ms];
  unsigned int size = sizeof digest;
  memcpy (text, &sequence, sizeof sequence);
  memcpy (text + sizeof sequence, &expires_ms, sizeof expires_ms);
  HMAC (EVP_sha256 (), desk->key, KEY_BYTES, text, sizeof text, digest, &size);
  uint64_t value;
  memcpy (&value, digest, sizeof value);
  return value;
}

struct ticket_desk *
ticket_desk_create (const char *host, uint64_t incarnation)
{
  struct ticket_desk *desk = xcalloc (1, sizeof *desk);
  rng_secret (desk->key, sizeof desk->key);
  if (incarnation == 0)
    rng_secret (&incarnation, sizeof incarnation);
  const struct ticket_ledger_options options = { .host = host,
                                                 .incarnation = incarnation,
                                                 .capacity = CLAIMS_MAX,
                                                 .lifetime_ms = LIFETIME_MS,
                                                 .check = check,
                                                 .key = desk };
  desk->ledger = ticket_ledger_create (&options);
  return desk;
}

void
ticket_desk_destroy (struct ticket_desk *desk)
{
  if (desk == NULL)
    return;
  ticket_ledger_destroy (desk->ledger);
  free (desk);
}

enum status
ticket_desk_issue (struct ticket_desk *desk, char text[TICKET_TEXT_SIZE])
{
  struct ticket ticket;
  const enum status status
      = ticket_ledger_issue (desk->ledger, clock_now_ms (), &ticket);
  if (status == STATUS_OK)
    ticket_format (&ticket, text);
  return status;
}

enum ticket_claim
ticket_desk_claim (struct ticket_desk *desk, const char *text,
                   struct ticket *ticket)
{
  if (!ticket_parse (text, ticket))
    return TICKET_CLAIM_FORGED;
  return ticket_ledger_claim (desk->ledger, clock_now_ms (), ticket);
}

void
ticket_desk_finish (struct ticket_desk *desk, uint64_t sequence,
                    enum ticket_end end, uint32_t status)
{
  ticket_ledger_finish (desk->ledger, clock_now_ms (), sequence, end,
                        (uint16_t)status);
}

uint32_t
ticket_desk_status (const struct ticket_desk *desk, uint64_t sequence)
{
  return ticket_ledger_answer_code (desk->ledger, sequence);
}
