#include "tests/standins/target_faults.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
target_faults_set (struct target_faults *faults, const char *name,
                   const char *value)
{
  const struct
  {
    const char *name;
    uint32_t *value;
  } known[] = {
    { "fail", &faults->fail },     { "hang", &faults->hang },
    { "cut", &faults->cut },       { "close", &faults->close },
    { "shed", &faults->shed },     { "delay_ms", &faults->delay_ms },
    { "jitter", &faults->jitter }, { "close_reused", &faults->close_reused },
    { "crash", &faults->crash },   { "leave", &faults->leave }
  };
  if (strcmp (name, "limit") == 0)
    snprintf (faults->limit, sizeof faults->limit, "%s", value);
  for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
    if (strcmp (name, known[i].name) == 0)
      *known[i].value = (uint32_t)strtoul (value, NULL, 10);
}

struct json_object *
target_counts_json (const struct target_counts *counts)
{
  struct json_object *body = json_object_new_object ();
  const struct
  {
    const char *name;
    uint64_t value;
  } members[] = { { "runs", counts->runs },
                  { "cancelled", counts->cancelled },
                  { "cut_uploads", counts->truncated_uploads },
                  { "connections", counts->connections } };
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    json_object_object_add (body, members[i].name,
                            json_object_new_int64 ((int64_t)members[i].value));
  return body;
}
