/** @file
 * Request fingerprints, which identify repeated sends of the same request.
 * Their values must be the same on all hosts and in all versions, because
 * they are compared across hosts.
 */
#ifndef BASE_FINGERPRINT_H
#define BASE_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /** Size of a fingerprint as text: 32 hexadecimal digits and a NUL. */
  FINGERPRINT_TEXT_SIZE = 33,
};

struct fingerprint
{
  uint64_t head_hash; /**< of the head alone, available before the body */
  uint64_t high;      /**< upper half of a 128-bit digest of head and body */
  uint64_t low;       /**< lower half of the digest */
};

/** Compute the fingerprint of a request from HEAD (SIZE bytes), the first
 * PREFIX_SIZE bytes of its body, and the body's length BODY_BYTES (-1 if
 * unknown). */
struct fingerprint fingerprint_of (const char *head, size_t size,
                                   const char *prefix, size_t prefix_size,
                                   int64_t body_bytes);

/** Compute the `head_hash` of a fingerprint from HEAD (SIZE bytes). */
uint64_t fingerprint_head_hash (const char *head, size_t size);

/** Compare the digests of A and B; `head_hash` is not compared. */
bool fingerprint_equal (const struct fingerprint *a,
                        const struct fingerprint *b);

/** Parse the output of fingerprint_format(); `head_hash` becomes 0.
 * @return whether TEXT is a fingerprint. */
bool fingerprint_parse (const char *text, struct fingerprint *fingerprint);

/** Format the digest as lower-case hexadecimal digits. */
void fingerprint_format (const struct fingerprint *fingerprint,
                         char text[FINGERPRINT_TEXT_SIZE]);

#endif
