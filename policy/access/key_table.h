/** @file
 * Which workspace a key belongs to, by the digests of all keys in force.
 *
 * One flat table with open addressing: 36 bytes a place, at most half of the
 * places taken, no memory a key.  A digest is as good as random, so its first
 * bytes are its hash.
 */
#ifndef POLICY_ACCESS_KEY_TABLE_H
#define POLICY_ACCESS_KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "base/digest.h"

/** No workspace has the key. */
#define KEY_TABLE_NO_WORKSPACE UINT32_MAX

struct key_table;

/** A table with room for COUNT keys. */
struct key_table *key_table_create (size_t count);
void key_table_destroy (struct key_table *table);

/** Add KEY of workspace number WORKSPACE.  A key that is there already stays
 * as it is. */
void key_table_add (struct key_table *table, const struct digest *key,
                    uint32_t workspace);

/** The number of the workspace that KEY belongs to, or KEY_TABLE_NO_WORKSPACE.
 */
uint32_t key_table_find (const struct key_table *table,
                         const struct digest *key);

size_t key_table_count (const struct key_table *table);

/** Memory that the table holds. */
size_t key_table_bytes (const struct key_table *table);

#endif
