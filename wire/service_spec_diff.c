#include "wire/service_spec_diff.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "wire/service_spec_names.h"

/* The text so far, truncated to its size. */
struct diff_text
{
  char *text;
  size_t size;
  size_t used;
  size_t count;
};

static void add_difference (struct diff_text *diff, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_difference (struct diff_text *diff, const char *format, ...)
{
  char line[256];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  const int length
      = snprintf (diff->text + diff->used, diff->size - diff->used, "%s%s",
                  diff->count > 0 ? "; " : "", line);
  diff->count++;
  if (length < 0)
    return;
  diff->used += (size_t)length;
  if (diff->used >= diff->size)
    diff->used = diff->size - 1;
}

static void
compare_number (struct diff_text *diff, const char *prefix, const char *name,
                uint32_t before, uint32_t after)
{
  if (before != after)
    add_difference (diff, "%s%s %u to %u", prefix, name, before, after);
}

static void
compare_target (struct diff_text *diff, const struct target_spec *before,
                const struct target_spec *after)
{
  char prefix[SERVICE_NAME_SIZE + 16];
  snprintf (prefix, sizeof prefix, "target %s: ", before->name);
  if (before->state != after->state)
    add_difference (diff, "%sstate %s to %s", prefix,
                    target_state_names[before->state],
                    target_state_names[after->state]);
  if (strcmp (before->address, after->address) != 0)
    add_difference (diff, "%saddress %s to %s", prefix, before->address,
                    after->address);
  if (strcmp (before->dc, after->dc) != 0)
    add_difference (diff, "%sdc %s to %s", prefix, before->dc, after->dc);
  compare_number (diff, prefix, "slots", before->slots, after->slots);
  compare_number (diff, prefix, "capacity", before->capacity, after->capacity);
  compare_number (diff, prefix, "connections", before->connections,
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
        add_difference (diff, "target %s removed", old->name);
      else
        compare_target (diff, old, new);
    }
  for (size_t i = 0; i < after->target_count; i++)
    if (service_spec_target (before, after->targets[i].name) == NULL)
      add_difference (diff, "target %s added", after->targets[i].name);
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
    add_difference (&diff, "ejection %s",
                    after->ejection_paused ? "paused" : "resumed");
  if (before->prefer != after->prefer)
    add_difference (&diff, "prefer to %s",
                    service_prefer_names[after->prefer]);
  compare_number (&diff, "", "floor_capacity", before->floor_capacity,
                  after->floor_capacity);
  compare_targets (&diff, before, after);
  if (!same_routes (before, after))
    add_difference (&diff, "routes changed");
  if (memcmp (&before->limits, &after->limits, sizeof before->limits) != 0)
    add_difference (&diff, "limits changed");
  return diff.count;
}
