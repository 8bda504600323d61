#include "wire/platform_memory.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"

/* An object, or a tombstone with the version of its removal, which watches
   need. */
struct memory_entry
{
  char *kind;
  struct platform_object object;
  struct memory_entry *prev;
  struct memory_entry *next;
};

struct platform_memory
{
  uint64_t version;
  size_t count;
  struct memory_entry *entries;
};

struct platform_memory *
platform_memory_create (void)
{
  return xcalloc (1, sizeof (struct platform_memory));
}

void
platform_memory_destroy (struct platform_memory *memory)
{
  struct memory_entry *entry;
  struct memory_entry *next;
  DL_FOREACH_SAFE (memory->entries, entry, next)
  {
    free (entry->kind);
    free ((char *)entry->object.name);
    free ((char *)entry->object.value);
    free (entry);
  }
  free (memory);
}

static struct memory_entry *
find_entry (const struct platform_memory *memory, const char *kind,
            const char *name)
{
  struct memory_entry *entry;
  DL_FOREACH (memory->entries, entry)
  {
    if (strcmp (entry->kind, kind) == 0
        && strcmp (entry->object.name, name) == 0)
      return entry;
  }
  return NULL;
}

const struct platform_object *
platform_memory_find (const struct platform_memory *memory, const char *kind,
                      const char *name)
{
  const struct memory_entry *entry = find_entry (memory, kind, name);
  return entry == NULL || entry->object.value == NULL ? NULL : &entry->object;
}

uint64_t
platform_memory_put (struct platform_memory *memory, const char *kind,
                     const char *name, const char *value)
{
  struct memory_entry *entry = find_entry (memory, kind, name);
  if (entry == NULL)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->kind = xstrdup (kind);
      entry->object.name = xstrdup (name);
      DL_APPEND (memory->entries, entry);
      memory->count++;
    }
  free ((char *)entry->object.value);
  entry->object.value = xstrdup (value);
  entry->object.version = ++memory->version;
  return entry->object.version;
}

uint64_t
platform_memory_revision (const struct platform_memory *memory,
                          const char *kind)
{
  uint64_t revision = 0;
  const struct memory_entry *entry;
  DL_FOREACH (memory->entries, entry)
  {
    if (strcmp (entry->kind, kind) == 0 && entry->object.version > revision)
      revision = entry->object.version;
  }
  return revision;
}

size_t
platform_memory_list (const struct platform_memory *memory, const char *kind,
                      uint64_t since, struct platform_object **objects)
{
  size_t count = 0;
  const struct memory_entry *entry;
  *objects = xcalloc (memory->count + 1, sizeof **objects);
  DL_FOREACH (memory->entries, entry)
  {
    if (strcmp (entry->kind, kind) == 0 && entry->object.version > since
        && (since > 0 || entry->object.value != NULL))
      (*objects)[count++] = entry->object;
  }
  return count;
}
