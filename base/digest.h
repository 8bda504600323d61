/** @file
 * SHA-256 digests: what is kept of a secret in its place.
 */
#ifndef BASE_DIGEST_H
#define BASE_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  DIGEST_BYTES = 32,
  /** Of a digest as text: two hexadecimal digits a byte, and a NUL. */
  DIGEST_TEXT_SIZE = 2 * DIGEST_BYTES + 1,
};

struct digest
{
  uint8_t bytes[DIGEST_BYTES];
};

/** The digest of SIZE bytes of DATA. */
struct digest digest_of (const void *data, size_t size);

/** DIGEST in lower-case hexadecimal digits. */
void digest_format (const struct digest *digest, char text[DIGEST_TEXT_SIZE]);

/** Read what digest_format() writes, in either case.
 * @return whether TEXT is a digest */
bool digest_parse (const char *text, struct digest *digest);

bool digest_equal (const struct digest *a, const struct digest *b);

#endif
