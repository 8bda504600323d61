/** @file
 * What the stand-in platform holds: objects with versions, and for a while
 * what they were before, so that reads can lag.  Not locked: its user is.
 */
#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

struct platform_store;

/** One state of an object, from one write to the next. */
struct store_entry
{
  char *kind;
  char *name;
  char *value; /**< JSON text; NULL where the object was removed */
  uint64_t version;
  int64_t from_ms;
  int64_t until_ms; /**< INT64_MAX while it is the newest */
  struct store_entry *prev;
  struct store_entry *next;
};

struct platform_store *platform_store_create (void);
void platform_store_destroy (struct platform_store *store);

/** NAME as it stood at AT_MS; NULL when there was none. */
const struct store_entry *platform_store_get (struct platform_store *store,
                                              const char *kind,
                                              const char *name, int64_t at_ms);

/** Write VALUE (NULL removes) when the version is EXPECTED, 0 for none.
 * @return the new version, or 0 when it isn't. */
uint64_t platform_store_put (struct platform_store *store, const char *kind,
                             const char *name, uint64_t expected,
                             const char *value, int64_t now_ms);

/** The highest version of KIND at AT_MS. */
uint64_t platform_store_revision (struct platform_store *store,
                                  const char *kind, int64_t at_ms);

/** What of KIND changed after SINCE, as it stood at AT_MS, as the text of a
 * list in new memory; with SINCE 0 all that exists.  *COUNT tells how many. */
char *platform_store_list (struct platform_store *store, const char *kind,
                           uint64_t since, int64_t at_ms, uint64_t *count);

/** The text of one object in new memory; with ENTRY NULL that of none. */
char *platform_store_text (const char *name, const struct store_entry *entry);

#endif
