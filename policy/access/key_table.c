#include "policy/access/key_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  PLACES_MIN = 16,
  PLACES_PER_KEY = 2,
};

struct key_place
{
  struct digest key;
  uint32_t workspace; /* KEY_TABLE_NO_WORKSPACE: the place is free */
};

struct key_table
{
  struct key_place *places;
  size_t place_count; /* a power of two */
  size_t count;
};

struct key_table *
key_table_create (size_t count)
{
  struct key_table *table = xcalloc (1, sizeof *table);
  table->place_count = PLACES_MIN;
  while (table->place_count < count * PLACES_PER_KEY)
    table->place_count *= 2;
  table->places = xcalloc (table->place_count, sizeof *table->places);
  for (size_t i = 0; i < table->place_count; i++)
    table->places[i].workspace = KEY_TABLE_NO_WORKSPACE;
  return table;
}

void
key_table_destroy (struct key_table *table)
{
  if (table == NULL)
    return;
  free (table->places);
  free (table);
}

/* The place of KEY, or the free one where it would be added. */
static struct key_place *
find_place (const struct key_table *table, const struct digest *key)
{
  uint64_t hash;
  memcpy (&hash, key->bytes, sizeof hash);
  size_t at = (size_t)hash & (table->place_count - 1);
  while (table->places[at].workspace != KEY_TABLE_NO_WORKSPACE
         && !digest_equal (&table->places[at].key, key))
    at = (at + 1) & (table->place_count - 1);
  return &table->places[at];
}

void
key_table_add (struct key_table *table, const struct digest *key,
               uint32_t workspace)
{
  struct key_place *place = find_place (table, key);
  if (place->workspace != KEY_TABLE_NO_WORKSPACE)
    return;
  place->key = *key;
  place->workspace = workspace;
  table->count++;
  assert (table->count < table->place_count);
}

uint32_t
key_table_find (const struct key_table *table, const struct digest *key)
{
  return find_place (table, key)->workspace;
}

size_t
key_table_count (const struct key_table *table)
{
  return table->count;
}

size_t
key_table_bytes (const struct key_table *table)
{
  return sizeof *table + table->place_count * sizeof *table->places;
}
