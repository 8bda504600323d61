#include "wire/service_spec_diff.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "wire/service_spec_names.h"

/* The text so far; what doesn't fit is left out. */
struct diff_text
{
  char *text;
  size_t size;
  size_t used;
  size_t count;
};

static void note (struct diff_text *diff, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
note (struct diff_text *diff, const char *format, ...)
{
  char line[256];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  const int more = snprintf (diff->text + diff->used, diff->size - diff->used,
                             "%s%s", diff->count > 0 ? "; " : "", line);
  diff->count++;
  if (more < 0)
    return;
  diff->used += (size_t)more;
  if (diff->used >= diff->size)
    diff->used = diff->size - 1;
}

static void
note_number (struct diff_text *diff, const char *place, const char *name,
             uint32_t before, uint32_t after)
{
  if (before != after)
    note (diff, "%s%s %u to %u", place, name, before, after);
}

static void
compare_target (struct diff_text *diff, const struct target_spec *before,
                const struct target_spec *after)
{
  char place[SERVICE_NAME_SIZE + 16];
  snprintf (place, sizeof place, "target %s: ", before->name);
  if (before->state != after->state)
    note (diff, "%sstate %s to %s", place, target_state_names[before->state],
          target_state_names[after->state]);
  if (strcmp (before->address, after->address) != 0)
    note (diff, "%saddress %s to %s", place, before->address, after->address);
  if (strcmp (before->dc, after->dc) != 0)
    note (diff, "%sdc %s to %s", place, before->dc, after->dc);
  note_number (diff, place, "slots", before->slots, after->slots);
  note_number (diff, place, "capacity", before->capacity, after->capacity);
  note_number (diff, place, "connections", before->connections,
               after->connections);
}

static void
compare_targets (struct diff_text *diff, const struct service_spec *before,
                 const struct service_spec *after)
{
  for (size_t i = 0; i < before->target_count; i++)
    {
      const struct target_spec *old = &before->targets[i];
      const struct target_spec *new = service_spec_target (after, old->name);
      if (new == NULL)
        note (diff, "target %s removed", old->name);
      else
        compare_target (diff, old, new);
    }
  for (size_t i = 0; i < after->target_count; i++)
    if (service_spec_target (before, after->targets[i].name) == NULL)
      note (diff, "target %s added", after->targets[i].name);
}

static bool
same_route (const struct route_spec *a, const struct route_spec *b)
{
  return a->methods == b->methods && a->repeatable == b->repeatable
         && strcmp (a->host, b->host) == 0
         && strcmp (a->path_prefix, b->path_prefix) == 0;
}

static bool
same_routes (const struct service_spec *a, const struct service_spec *b)
{
  if (a->route_count != b->route_count)
    return false;
  for (size_t i = 0; i < a->route_count; i++)
    if (!same_route (&a->routes[i], &b->routes[i]))
      return false;
  return true;
}

size_t
service_spec_diff (const struct service_spec *before,
                   const struct service_spec *after, char *text, size_t size)
{
  struct diff_text diff = { .text = text, .size = size };
  text[0] = '\0';
  if (before->ejection_paused != after->ejection_paused)
    note (&diff, "ejection %s", after->ejection_paused ? "paused" : "resumed");
  if (before->prefer != after->prefer)
    note (&diff, "prefer to %s", service_prefer_names[after->prefer]);
  note_number (&diff, "", "floor_capacity", before->floor_capacity,
               after->floor_capacity);
  compare_targets (&diff, before, after);
  if (!same_routes (before, after))
    note (&diff, "routes changed");
  if (memcmp (&before->limits, &after->limits, sizeof before->limits) != 0)
    note (&diff, "limits changed");
  return diff.count;
}
