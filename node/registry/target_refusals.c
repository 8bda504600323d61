#include "node/registry/target_refusals.h"

#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "base/hash.h"
#include "base/xmalloc.h"
#include "wire/platform.h"

struct target_refusal
{
  char name[PLATFORM_NAME_SIZE];
  uint64_t text_hash;
  /* An entry of an earlier process than the last known one stays outdated when
     an unreadable entry was between them. */
  int64_t known_ms;
  UT_hash_handle hh;
};

static struct target_refusal *
find_refusal (struct target_refusal *refusals, const char *name)
{
  struct target_refusal *refusal;
  char key[PLATFORM_NAME_SIZE];
  snprintf (key, sizeof key, "%s", name);
  HASH_FIND_STR (refusals, key, refusal);
  return refusal;
}

bool
target_refusals_add (struct target_refusal **refusals, const char *name,
                     const char *text, int64_t known_ms)
{
  struct target_refusal *refusal = find_refusal (*refusals, name);
  const uint64_t hash = hash_string (text);
  if (refusal != NULL && refusal->text_hash == hash)
    return false;
  if (refusal == NULL)
    {
      refusal = xcalloc (1, sizeof *refusal);
      snprintf (refusal->name, sizeof refusal->name, "%s", name);
      HASH_ADD_STR (*refusals, name, refusal);
    }
  refusal->text_hash = hash;
  if (known_ms > refusal->known_ms)
    refusal->known_ms = known_ms;
  return true;
}

void
target_refusals_remove (struct target_refusal **refusals, const char *name)
{
  struct target_refusal *refusal = find_refusal (*refusals, name);
  if (refusal == NULL)
    return;
  HASH_DEL (*refusals, refusal);
  free (refusal);
}

int64_t
target_refusals_known_ms (struct target_refusal *refusals, const char *name)
{
  const struct target_refusal *refusal = find_refusal (refusals, name);
  return refusal == NULL ? 0 : refusal->known_ms;
}

void
target_refusals_clear (struct target_refusal **refusals)
{
  struct target_refusal *refusal = *refusals;
  HASH_CLEAR (hh, *refusals);
  while (refusal != NULL)
    {
      struct target_refusal *next = refusal->hh.next;
      free (refusal);
      refusal = next;
    }
}
