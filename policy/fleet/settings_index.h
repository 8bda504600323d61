/** @file
 * Which version of each object this host holds.
 *
 * Versions only grow, removals included: a removed object keeps a tombstone
 * with its version, so that a late or repeated delivery of an older value
 * can't bring it back.  A hash over buckets lets two hosts find out in a few
 * bytes that they hold the same.
 *
 * A retired entry still guards its key but no longer counts in the hashes:
 * each host may drop it when it likes and still agree with the others.
 */
#ifndef POLICY_FLEET_SETTINGS_INDEX_H
#define POLICY_FLEET_SETTINGS_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum settings_size
{
  SETTINGS_BUCKETS = 256,
};

struct settings_index;

/** The version of one object. */
struct settings_version
{
  uint64_t key; /**< settings_key() */
  uint64_t version;
};

struct settings_index *settings_index_create (void);
void settings_index_destroy (struct settings_index *index);

/** The key of an object. */
uint64_t settings_key (const char *kind, const char *name);
/** The bucket of an object. */
uint32_t settings_bucket (uint64_t key);

/** Take VERSION in if it is higher than what is held.
 * @return false when it isn't: nothing has changed. */
bool settings_index_update (struct settings_index *index, uint64_t key,
                            uint64_t version);

/** The version held of KEY; 0 when there is none. */
uint64_t settings_index_version (const struct settings_index *index,
                                 uint64_t key);

/** Leave KEY out of the hashes until it is raised again.  It is still listed:
 * who holds an older version learns of it. */
void settings_index_retire (struct settings_index *index, uint64_t key);

/** Drop KEY if it is retired. */
void settings_index_drop (struct settings_index *index, uint64_t key);

/** How many keys are held, retired ones included. */
size_t settings_index_count (const struct settings_index *index);

/** Hash of all keys and versions, whatever the order they came in. */
uint64_t settings_index_hash (const struct settings_index *index);
/** The hash of one bucket. */
uint64_t settings_index_bucket_hash (const struct settings_index *index,
                                     uint32_t bucket);

/** What BUCKET holds.
 * @return how many there are; at most MAX are written. */
size_t settings_index_list (const struct settings_index *index,
                            uint32_t bucket, struct settings_version *versions,
                            size_t max);

#endif
