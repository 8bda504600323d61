/** @file
 * SHA-256 digests, which are stored instead of secrets.
 */
#ifndef BASE_DIGEST_H
#define BASE_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  DIGEST_BYTES = 32,
  /** Size of a digest as text: two hexadecimal digits per byte, and a NUL. */
  DIGEST_TEXT_SIZE = 2 * DIGEST_BYTES + 1,
};

struct digest
{
  uint8_t bytes[DIGEST_BYTES];
};

/** Compute the digest of SIZE bytes of DATA. */
struct digest digest_of (const void *data, size_t size);

/** Format DIGEST as lower-case hexadecimal digits. */
void digest_format (const struct digest *digest, char text[DIGEST_TEXT_SIZE]);

/** Parse the output of digest_format(); upper-case digits are accepted too.
 * @return whether TEXT is a digest. */
bool digest_parse (const char *text, struct digest *digest);

/** Compare digests in constant time. */
bool digest_equal (const struct digest *a, const struct digest *b);

#endif
