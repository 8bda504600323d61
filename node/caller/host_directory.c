#include "node/caller/host_directory.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/hash.h"
#include "base/xmalloc.h"

enum
{
  HOSTS_MAX = 8192
};

struct directory_entry
{
  struct bus_host_entry host;
  UT_hash_handle hh;
};

struct host_directory
{
  /* By name, the least recently updated first. */
  struct directory_entry *entries;
  struct bus_host_entry *sample;
  size_t sample_count;
};

struct host_directory *
host_directory_create (void)
{
  return xcalloc (1, sizeof (struct host_directory));
}

void
host_directory_destroy (struct host_directory *directory)
{
  if (directory == NULL)
    return;
  struct directory_entry *entry = directory->entries;
  HASH_CLEAR (hh, directory->entries);
  while (entry != NULL)
    {
      struct directory_entry *next = entry->hh.next;
      free (entry);
      entry = next;
    }
  free (directory->sample);
  free (directory);
}

static void
update_host (struct host_directory *directory,
             const struct bus_host_entry *host)
{
  struct directory_entry *entry;
  HASH_FIND_STR (directory->entries, host->name, entry);
  if (entry == NULL && HASH_COUNT (directory->entries) >= HOSTS_MAX)
    entry = directory->entries;
  if (entry != NULL)
    HASH_DEL (directory->entries, entry);
  else
    entry = xcalloc (1, sizeof *entry);
  entry->host = *host;
  HASH_ADD_STR (directory->entries, host.name, entry);
}

void
host_directory_update (struct host_directory *directory,
                       const struct bus_host_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    update_host (directory, &set->hosts[i]);
}

const char *
host_directory_find (const struct host_directory *directory, const char *name)
{
  const struct directory_entry *entry;
  HASH_FIND_STR (directory->entries, name, entry);
  return entry != NULL ? entry->host.caller_address : NULL;
}

void
host_directory_set_sample (struct host_directory *directory,
                           const struct bus_host_set *sample)
{
  directory->sample = xreallocarray (directory->sample, sample->count + 1,
                                     sizeof *directory->sample);
  directory->sample_count = sample->count;
  if (sample->count > 0)
    memcpy (directory->sample, sample->hosts,
            sample->count * sizeof *sample->hosts);
}

const struct bus_host_entry *
host_directory_choose (const struct host_directory *directory,
                       const struct host_directory_choice *choice)
{
  const struct bus_host_entry *best = NULL;
  uint64_t best_rank = 0;
  const uint64_t key = hash_pair (choice->key, choice->attempt);
  for (size_t i = 0; i < directory->sample_count; i++)
    {
      const struct bus_host_entry *host = &directory->sample[i];
      const uint64_t rank = hash_pair (key, hash_string (host->name));
      if ((best != NULL && rank <= best_rank)
          || !choice->is_candidate (choice->owner, host))
        continue;
      best = host;
      best_rank = rank;
    }
  return best;
}

bool
host_directory_has_ip (const struct host_directory *directory, const char *ip)
{
  const struct directory_entry *entry;
  const size_t size = strlen (ip);
  for (entry = directory->entries; entry != NULL; entry = entry->hh.next)
    {
      const char *address = entry->host.caller_address;
      const char *start = address[0] == '[' ? address + 1 : address;
      if (strncmp (start, ip, size) == 0
          && (start[size] == ':' || start[size] == ']'))
        return true;
    }
  return false;
}
