#include "node/caller/host_directory.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

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
