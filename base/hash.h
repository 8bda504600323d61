/** @file
 * Hashes that are the same on every host: placement depends on them, so
 * their values are part of the peer protocol and must not change.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Hash of SIZE bytes (FNV-1a, finished by a 64-bit mixer). */
uint64_t hash_bytes (const void *data, size_t size);
uint64_t hash_string (const char *text);
/** Order-dependent combination of two hashes. */
uint64_t hash_pair (uint64_t first, uint64_t second);

#endif
