/** @file
 * Hash functions with the same values on all hosts.  Placement depends on
 * them, so they are part of the peer protocol and must not change.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Hash SIZE bytes (FNV-1a with a 64-bit finalizer). */
uint64_t hash_bytes (const void *data, size_t size);
uint64_t hash_string (const char *text);
/** Combine two hashes; the order matters. */
uint64_t hash_pair (uint64_t first, uint64_t second);

#endif
