#include "policy/fleet/settings_index.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "base/hash.h"
#include "base/xmalloc.h"

struct entry
{
  uint64_t key;
  uint64_t version;
  bool is_retired;
  struct entry *next; /**< in the same bucket */
  UT_hash_handle hh;
};

struct settings_index
{
  struct entry *entries;
  struct entry *buckets[SETTINGS_BUCKETS];
  uint64_t bucket_hashes[SETTINGS_BUCKETS];
  uint64_t total_hash;
  uint64_t hash_seed;
};

struct settings_index *
settings_index_create (uint64_t hash_seed)
{
  struct settings_index *index = xcalloc (1, sizeof *index);
  index->hash_seed = hash_seed;
  return index;
}

void
settings_index_destroy (struct settings_index *index)
{
  if (index == NULL)
    return;
  struct entry *entry = index->entries;
  HASH_CLEAR (hh, index->entries);
  while (entry != NULL)
    {
      struct entry *next = entry->hh.next;
      free (entry);
      entry = next;
    }
  free (index);
}

uint64_t
settings_key (const char *kind, const char *name)
{
  return hash_pair (hash_string (kind), hash_string (name));
}

uint32_t
settings_bucket (uint64_t key)
{
  return (uint32_t)(key % SETTINGS_BUCKETS);
}

static struct entry *
find_entry (const struct settings_index *index, uint64_t key)
{
  struct entry *entry;
  HASH_FIND (hh, index->entries, &key, sizeof key, entry);
  return entry;
}

/* XOR makes the hash independent of the order of arrival. */
static void
toggle_hash (struct settings_index *index, const struct entry *entry)
{
  const uint64_t hash = hash_pair (entry->key, entry->version);
  index->bucket_hashes[settings_bucket (entry->key)] ^= hash;
  index->total_hash ^= hash;
}

static struct entry *
add_entry (struct settings_index *index, uint64_t key)
{
  struct entry *entry = xcalloc (1, sizeof *entry);
  entry->key = key;
  HASH_ADD (hh, index->entries, key, sizeof entry->key, entry);
  struct entry **head = &index->buckets[settings_bucket (key)];
  entry->next = *head;
  *head = entry;
  return entry;
}

/* An older value may arrive late over a slow link, or twice, after the
   newer one is in force.  If the setting reverted, a service would use
   targets again that an operator removed.  Only a higher version is
   accepted, and a removal has a version like any other change. */
bool
settings_index_update (struct settings_index *index, uint64_t key,
                       uint64_t version)
{
  struct entry *entry = find_entry (index, key);
  const uint64_t current = entry == NULL ? 0 : entry->version;
  if (version <= current)
    return false;
  if (entry == NULL)
    entry = add_entry (index, key);
  else if (!entry->is_retired)
    toggle_hash (index, entry);
  entry->is_retired = false;
  entry->version = version;
  toggle_hash (index, entry);
  return true;
}

/* If tombstones were in the hashes, they would be kept for ever: a host
   that dropped one would differ from the others and receive it again at
   once, and memory and heartbeats would grow with every host ever replaced. */
void
settings_index_retire (struct settings_index *index, uint64_t key)
{
  struct entry *entry = find_entry (index, key);
  if (entry == NULL || entry->is_retired)
    return;
  toggle_hash (index, entry);
  entry->is_retired = true;
}

void
settings_index_drop (struct settings_index *index, uint64_t key)
{
  struct entry *entry = find_entry (index, key);
  if (entry == NULL || !entry->is_retired)
    return;
  LL_DELETE (index->buckets[settings_bucket (key)], entry);
  HASH_DEL (index->entries, entry);
  free (entry);
}

size_t
settings_index_count (const struct settings_index *index)
{
  return HASH_COUNT (index->entries);
}

uint64_t
settings_index_version (const struct settings_index *index, uint64_t key)
{
  const struct entry *entry = find_entry (index, key);
  return entry == NULL ? 0 : entry->version;
}

uint64_t
settings_index_hash (const struct settings_index *index)
{
  return index->total_hash != 0 ? index->total_hash ^ index->hash_seed : 0;
}

uint64_t
settings_index_bucket_hash (const struct settings_index *index,
                            uint32_t bucket)
{
  return index->bucket_hashes[bucket % SETTINGS_BUCKETS];
}

size_t
settings_index_list (const struct settings_index *index, uint32_t bucket,
                     struct settings_version *versions, size_t max)
{
  size_t count = 0;
  const struct entry *entry = index->buckets[bucket % SETTINGS_BUCKETS];
  for (; entry != NULL; entry = entry->next)
    {
      if (count < max)
        versions[count]
            = (struct settings_version){ .key = entry->key,
                                         .version = entry->version };
      count++;
    }
  return count;
}
