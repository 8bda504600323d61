#include "tests/standins/platform_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/json_text.h"
#include "base/xmalloc.h"

enum
{
  KEEP_OLD_MS = 60 * 1000,
  NAME_TEXT_SIZE = 1024,
};

struct platform_store
{
  uint64_t version;
  struct store_entry *entries; /* by version */
};

struct platform_store *
platform_store_create (void)
{
  return xcalloc (1, sizeof (struct platform_store));
}

static void
free_entry (struct platform_store *store, struct store_entry *entry)
{
  DL_DELETE (store->entries, entry);
  free (entry->kind);
  free (entry->name);
  free (entry->value);
  free (entry);
}

void
platform_store_destroy (struct platform_store *store)
{
  while (store->entries != NULL)
    free_entry (store, store->entries);
  free (store);
}

static bool
visible (const struct store_entry *entry, const char *kind, int64_t at_ms)
{
  return entry->from_ms <= at_ms && entry->until_ms > at_ms
         && strcmp (entry->kind, kind) == 0;
}

/* The state of NAME at AT_MS, be it a removal. */
static struct store_entry *
find (struct platform_store *store, const char *kind, const char *name,
      int64_t at_ms)
{
  struct store_entry *entry;
  DL_FOREACH (store->entries, entry)
  {
    if (visible (entry, kind, at_ms) && strcmp (entry->name, name) == 0)
      return entry;
  }
  return NULL;
}

const struct store_entry *
platform_store_get (struct platform_store *store, const char *kind,
                    const char *name, int64_t at_ms)
{
  const struct store_entry *entry = find (store, kind, name, at_ms);
  return entry == NULL || entry->value == NULL ? NULL : entry;
}

static void
forget_old (struct platform_store *store, int64_t now_ms)
{
  struct store_entry *entry;
  struct store_entry *next;
  DL_FOREACH_SAFE (store->entries, entry, next)
  {
    if (entry->until_ms < now_ms - KEEP_OLD_MS)
      free_entry (store, entry);
  }
}

uint64_t
platform_store_put (struct platform_store *store, const char *kind,
                    const char *name, uint64_t expected, const char *value,
                    int64_t now_ms)
{
  struct store_entry *old = find (store, kind, name, now_ms);
  const uint64_t version
      = old == NULL || old->value == NULL ? 0 : old->version;
  if (version != expected || (version == 0 && value == NULL))
    return 0;
  if (old != NULL)
    old->until_ms = now_ms;
  struct store_entry *entry = xcalloc (1, sizeof *entry);
  entry->kind = xstrdup (kind);
  entry->name = xstrdup (name);
  entry->value = xstrdup (value);
  entry->version = ++store->version;
  entry->from_ms = now_ms;
  entry->until_ms = INT64_MAX;
  DL_APPEND (store->entries, entry);
  forget_old (store, now_ms);
  return entry->version;
}

uint64_t
platform_store_revision (struct platform_store *store, const char *kind,
                         int64_t at_ms)
{
  uint64_t revision = 0;
  const struct store_entry *entry;
  DL_FOREACH (store->entries, entry)
  {
    if (visible (entry, kind, at_ms))
      revision = entry->version;
  }
  return revision;
}

static void
write_object (FILE *out, const char *name, uint64_t version, const char *value)
{
  char quoted[NAME_TEXT_SIZE];
  json_text_quote (quoted, sizeof quoted, name);
  fprintf (out, "{\"name\":%s,\"version\":%" PRIu64 ",\"value\":%s}", quoted,
           version, value == NULL ? "null" : value);
}

char *
platform_store_list (struct platform_store *store, const char *kind,
                     uint64_t since, int64_t at_ms, uint64_t *count)
{
  char *text;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  const struct store_entry *entry;
  *count = 0;
  fprintf (out, "{\"revision\":%" PRIu64 ",\"objects\":[",
           platform_store_revision (store, kind, at_ms));
  DL_FOREACH (store->entries, entry)
  {
    if (!visible (entry, kind, at_ms) || entry->version <= since
        || (since == 0 && entry->value == NULL))
      continue;
    if ((*count)++ > 0)
      fputc (',', out);
    write_object (out, entry->name, entry->version, entry->value);
  }
  fputs ("]}", out);
  fclose (out);
  return text;
}

char *
platform_store_text (const char *name, const struct store_entry *entry)
{
  char *text;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  write_object (out, name, entry == NULL ? 0 : entry->version,
                entry == NULL ? NULL : entry->value);
  fclose (out);
  return text;
}
