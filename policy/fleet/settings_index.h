/** @file
 * Versions of the objects that this host has.
 *
 * Versions only increase, also with a removal: a removed object leaves a
 * tombstone with its version, so that a late or repeated delivery of an older
 * value can't restore it.  Hashes over buckets allow two hosts to find out in
 * a few bytes that they have the same versions.
 *
 * A retired entry still rejects older versions of its key but no longer counts
 * in the hashes, so each host may drop it at any time and still agree with the
 * others.
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

/** Version of one object. */
struct settings_version
{
  uint64_t key; /**< settings_key() */
  uint64_t version;
};

/** @param hash_seed  part of the total hash; hosts that order the same objects
 * differently have different ones, so that they never agree */
struct settings_index *settings_index_create (uint64_t hash_seed);
void settings_index_destroy (struct settings_index *index);

/** Return the key of an object. */
uint64_t settings_key (const char *kind, const char *name);
/** Return the bucket of an object. */
uint32_t settings_bucket (uint64_t key);

/** Set the version of KEY if VERSION is higher than the current one.
 * @return false if it isn't, and nothing has changed */
bool settings_index_update (struct settings_index *index, uint64_t key,
                            uint64_t version);

/** Return the version of KEY; 0 if there is none. */
uint64_t settings_index_version (const struct settings_index *index,
                                 uint64_t key);

/** Exclude KEY from the hashes until its version increases again.  It is
 * still listed, so that a host with an older version receives it. */
void settings_index_retire (struct settings_index *index, uint64_t key);

/** Remove KEY if it is retired. */
void settings_index_drop (struct settings_index *index, uint64_t key);

/** Return the number of keys, including retired ones. */
size_t settings_index_count (const struct settings_index *index);

/** Return the hash of all keys and versions, which doesn't depend on their
 * order of arrival; 0 for an empty index. */
uint64_t settings_index_hash (const struct settings_index *index);
/** Return the hash of one bucket. */
uint64_t settings_index_bucket_hash (const struct settings_index *index,
                                     uint32_t bucket);

/** List the entries of BUCKET.
 * @return the number of entries, of which at most MAX are written */
size_t settings_index_list (const struct settings_index *index,
                            uint32_t bucket, struct settings_version *versions,
                            size_t max);

#endif
