/** @file
 * Maps the digests of all keys in force to workspaces.
 *
 * A flat hash table with open addressing: 36 bytes a slot, at most half of the
 * slots in use, no allocation for each key.  Digests are uniformly
 * distributed, so the first bytes of a digest serve as its hash.
 */
#ifndef POLICY_ACCESS_KEY_TABLE_H
#define POLICY_ACCESS_KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/digest.h"

/** The key belongs to no workspace. */
#define KEY_TABLE_NO_WORKSPACE UINT32_MAX

struct key_table;

/** Create a table with capacity for COUNT keys. */
struct key_table *key_table_create (size_t count);
void key_table_destroy (struct key_table *table);

/** Add KEY for workspace number WORKSPACE.  A key that is already present
 * keeps its workspace. */
void key_table_add (struct key_table *table, const struct digest *key,
                    uint32_t workspace);

/** Return the number of the workspace of KEY, or KEY_TABLE_NO_WORKSPACE. */
uint32_t key_table_find (const struct key_table *table,
                         const struct digest *key);

size_t key_table_count (const struct key_table *table);

/** Return the memory used by the table. */
size_t key_table_bytes (const struct key_table *table);

#endif
