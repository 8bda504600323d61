#include "base/fingerprint.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "base/hash.h"
#include "base/xmalloc.h"

static const char hex_digits[] = "0123456789abcdef";

enum
{
  HALF_HEX_DIGITS = 16,
};

/* Reads the big-endian 64-bit integer at OFFSET of DIGEST. */
static uint64_t
digest_uint64_be (const struct digest *digest, size_t offset)
{
  uint64_t value = 0;
  for (size_t i = 0; i < sizeof value; i++)
    value = value << 8 | digest->bytes[offset + i];
  return value;
}

uint64_t
fingerprint_head_hash (const char *head, size_t size)
{
  return hash_bytes (head, size);
}

struct fingerprint
fingerprint_of (const char *head, size_t size, const char *prefix,
                size_t prefix_size, int64_t body_bytes)
{
  char length_text[32];
  const size_t length_text_size = (size_t)snprintf (
      length_text, sizeof length_text, "\n%" PRId64 "\n", body_bytes);
  char *input = xmalloc (size + length_text_size + prefix_size);
  memcpy (input, head, size);
  memcpy (input + size, length_text, length_text_size);
  if (prefix_size > 0)
    memcpy (input + size + length_text_size, prefix, prefix_size);
  const struct digest digest
      = digest_of (input, size + length_text_size + prefix_size);
  free (input);
  return (struct fingerprint){ .head_hash = fingerprint_head_hash (head, size),
                               .high = digest_uint64_be (&digest, 0),
                               .low = digest_uint64_be (&digest,
                                                        sizeof (uint64_t)) };
}

bool
fingerprint_equal (const struct fingerprint *a, const struct fingerprint *b)
{
  return a->high == b->high && a->low == b->low;
}

void
fingerprint_format (const struct fingerprint *fingerprint,
                    char text[FINGERPRINT_TEXT_SIZE])
{
  snprintf (text, FINGERPRINT_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
            fingerprint->high, fingerprint->low);
}

static bool
parse_half (const char *text, uint64_t *half)
{
  *half = 0;
  for (size_t i = 0; i < HALF_HEX_DIGITS; i++)
    {
      const char *digit
          = text[i] != '\0' ? strchr (hex_digits, text[i]) : NULL;
      if (digit == NULL)
        return false;
      *half = *half << 4 | (uint64_t)(digit - hex_digits);
    }
  return true;
}

bool
fingerprint_parse (const char *text, struct fingerprint *fingerprint)
{
  *fingerprint = (struct fingerprint){ 0 };
  return parse_half (text, &fingerprint->high)
         && parse_half (text + HALF_HEX_DIGITS, &fingerprint->low)
         && text[2 * HALF_HEX_DIGITS] == '\0';
}
