#include "base/digest.h"

#include <string.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

_Static_assert(DIGEST_BYTES == SHA256_DIGEST_LENGTH,
               "a digest is a SHA-256 digest");

static const char hex_digits[] = "0123456789abcdef";

struct digest
digest_of (const void *data, size_t size)
{
  struct digest digest;
  SHA256 (data, size, digest.bytes);
  return digest;
}

void
digest_format (const struct digest *digest, char text[DIGEST_TEXT_SIZE])
{
  for (size_t i = 0; i < DIGEST_BYTES; i++)
    {
      text[2 * i] = hex_digits[digest->bytes[i] >> 4];
      text[2 * i + 1] = hex_digits[digest->bytes[i] & 0xf];
    }
  text[2 * DIGEST_BYTES] = '\0';
}

/* Returns the value of a hexadecimal digit, or -1. */
static int
digit_value (char digit)
{
  if (digit >= 'A' && digit <= 'F')
    digit = (char)(digit - 'A' + 'a');
  const char *found = digit != '\0' ? strchr (hex_digits, digit) : NULL;
  return found != NULL ? (int)(found - hex_digits) : -1;
}

bool
digest_parse (const char *text, struct digest *digest)
{
  if (strlen (text) != 2 * DIGEST_BYTES)
    return false;
  for (size_t i = 0; i < DIGEST_BYTES; i++)
    {
      const int high = digit_value (text[2 * i]);
      const int low = digit_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      digest->bytes[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

/* Constant time prevents a timing attack on secrets. */
bool
digest_equal (const struct digest *a, const struct digest *b)
{
  return CRYPTO_memcmp (a->bytes, b->bytes, DIGEST_BYTES) == 0;
}
