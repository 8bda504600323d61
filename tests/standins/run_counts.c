#include "tests/standins/run_counts.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/xmalloc.h"

struct run
{
  char *id;
  uint32_t times;
  UT_hash_handle hh;
};

struct run_counts
{
  struct run *runs;
};

struct run_counts *
run_counts_create (void)
{
  return xcalloc (1, sizeof (struct run_counts));
}

void
run_counts_destroy (struct run_counts *counts)
{
  struct run *run = counts->runs;
  HASH_CLEAR (hh, counts->runs);
  while (run != NULL)
    {
      struct run *next = run->hh.next;
      free (run->id);
      free (run);
      run = next;
    }
  free (counts);
}

void
run_counts_add (struct run_counts *counts, const char *id)
{
  struct run *run;
  HASH_FIND_STR (counts->runs, id, run);
  if (run == NULL)
    {
      run = xcalloc (1, sizeof *run);
      run->id = xstrdup (id);
      HASH_ADD_KEYPTR (hh, counts->runs, run->id, strlen (run->id), run);
    }
  run->times++;
}

uint32_t
run_counts_get (const struct run_counts *counts, const char *id)
{
  const struct run *run;
  HASH_FIND_STR (counts->runs, id, run);
  return run != NULL ? run->times : 0;
}

uint32_t
run_counts_max (const struct run_counts *counts)
{
  uint32_t max = 0;
  for (const struct run *run = counts->runs; run != NULL; run = run->hh.next)
    max = run->times > max ? run->times : max;
  return max;
}

struct json_object *
run_counts_json (const struct run_counts *counts)
{
  struct json_object *body = json_object_new_object ();
  for (const struct run *run = counts->runs; run != NULL; run = run->hh.next)
    json_object_object_add (body, run->id, json_object_new_int64 (run->times));
  return body;
}
