#include "node/caller/ticket_issuer.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/xmalloc.h"

enum
{
  HMAC_KEY_BYTES = 32,
  TICKET_CLAIMS_MAX = 65536,
  TICKET_LIFETIME_MS = 3 * 60 * 1000
};

struct ticket_issuer
{
  struct ticket_table *table;
  unsigned char key[HMAC_KEY_BYTES];
};

static uint64_t
compute_mac (void *owner, uint64_t sequence, int64_t expires_ms)
{
  const struct ticket_issuer *issuer = owner;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned char text[sizeof sequence + sizeof expires_ms];
  unsigned int size = sizeof digest;
  memcpy (text, &sequence, sizeof sequence);
  memcpy (text + sizeof sequence, &expires_ms, sizeof expires_ms);
  HMAC (EVP_sha256 (), issuer->key, HMAC_KEY_BYTES, text, sizeof text, digest,
        &size);
  uint64_t mac;
  memcpy (&mac, digest, sizeof mac);
  return mac;
}

struct ticket_issuer *
ticket_issuer_create (const char *host, uint64_t incarnation)
{
  struct ticket_issuer *issuer = xcalloc (1, sizeof *issuer);
  rng_secure_bytes (issuer->key, sizeof issuer->key);
  if (incarnation == 0)
    rng_secure_bytes (&incarnation, sizeof incarnation);
  const struct ticket_table_options options
      = { .host = host,
          .incarnation = incarnation,
          .capacity = TICKET_CLAIMS_MAX,
          .lifetime_ms = TICKET_LIFETIME_MS,
          .mac = compute_mac,
          .key = issuer };
  issuer->table = ticket_table_create (&options);
  return issuer;
}

void
ticket_issuer_destroy (struct ticket_issuer *issuer)
{
  if (issuer == NULL)
    return;
  ticket_table_destroy (issuer->table);
  free (issuer);
}

enum status
ticket_issuer_issue (struct ticket_issuer *issuer, char text[TICKET_TEXT_SIZE])
{
  struct ticket ticket;
  const enum status status
      = ticket_table_issue (issuer->table, clock_now_ms (), &ticket);
  if (status == STATUS_OK)
    ticket_format (&ticket, text);
  return status;
}

enum ticket_claim
ticket_issuer_claim (struct ticket_issuer *issuer, const char *text,
                     struct ticket *ticket)
{
  if (!ticket_parse (text, ticket))
    return TICKET_CLAIM_FORGED;
  return ticket_table_claim (issuer->table, clock_now_ms (), ticket);
}

void
ticket_issuer_finish (struct ticket_issuer *issuer, uint64_t sequence,
                      enum ticket_end end, uint32_t status)
{
  ticket_table_finish (issuer->table, clock_now_ms (), sequence, end,
                       (uint16_t)status);
}

uint32_t
ticket_issuer_status (const struct ticket_issuer *issuer, uint64_t sequence)
{
  return ticket_table_answer_code (issuer->table, sequence);
}
