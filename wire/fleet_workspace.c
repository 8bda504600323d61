#include "wire/fleet_workspace.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "wire/route_options.h"

enum
{
  PRIORITY_MAX = 1000,
};

static const double RATE_PER_S_MAX = 1e9;
static const uint32_t BURST_MAX = 1000000000;

static void
read_keys (struct options *options, struct fleet_workspace *workspace)
{
  struct json_object *array
      = options_array (options, "keys", WORKSPACE_KEYS_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  workspace->keys = xcalloc (count + 1, sizeof *workspace->keys);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *node = json_object_array_get_idx (array, i);
      const char *text = json_object_is_type (node, json_type_string)
                             ? json_object_get_string (node)
                             : "";
      if (!digest_parse (text, &workspace->keys[workspace->key_count++]))
        {
          /* The invalid value may be a key, so the message doesn't show it. */
          options_fail (options, "keys",
                        "expected SHA-256 digests of 64 hexadecimal digits, "
                        "found another value at index %zu; compute the "
                        "digest of a key with \"jaystair key digest\"",
                        i);
          return;
        }
    }
}

static void
read_quota (struct options *options, struct quota *quota)
{
  double rate = 0;
  options_double (options, "rate_per_s", 0, RATE_PER_S_MAX, &rate);
  quota->rate_millis = (uint64_t)(rate * WORKSPACE_RATE_SCALE + 0.5);
  options_uint32 (options, "burst", 0, BURST_MAX, &quota->burst);
}

static void
read_priority (struct options *options, struct fleet_workspace *workspace)
{
  uint32_t priority = UINT32_MAX;
  options_uint32 (options, "priority", 0, PRIORITY_MAX, &priority);
  workspace->has_priority = priority != UINT32_MAX;
  workspace->priority = workspace->has_priority ? priority : 0;
}

void
fleet_workspace_read (struct options *options,
                      struct fleet_workspace *workspace)
{
  route_options_name (options, "name", true, workspace->name);
  read_keys (options, workspace);
  read_quota (options, &workspace->quota);
  read_priority (options, workspace);
}

struct json_object *
fleet_workspace_format (const struct fleet_workspace *workspace)
{
  struct json_object *node = json_object_new_object ();
  struct json_object *keys = json_object_new_array ();
  for (size_t i = 0; i < workspace->key_count; i++)
    {
      char text[DIGEST_TEXT_SIZE];
      digest_format (&workspace->keys[i], text);
      json_object_array_add (keys, json_object_new_string (text));
    }
  const double rate
      = (double)workspace->quota.rate_millis / WORKSPACE_RATE_SCALE;
  json_object_object_add (node, "name",
                          json_object_new_string (workspace->name));
  json_object_object_add (node, "keys", keys);
  json_object_object_add (node, "rate_per_s", json_object_new_double (rate));
  json_object_object_add (node, "burst",
                          json_object_new_uint64 (workspace->quota.burst));
  if (workspace->has_priority)
    json_object_object_add (node, "priority",
                            json_object_new_uint64 (workspace->priority));
  return node;
}

void
fleet_workspace_copy (struct fleet_workspace *copy,
                      const struct fleet_workspace *workspace)
{
  *copy = *workspace;
  copy->keys = xcalloc (workspace->key_count + 1, sizeof *copy->keys);
  memcpy (copy->keys, workspace->keys,
          workspace->key_count * sizeof *copy->keys);
}

void
fleet_workspace_release (struct fleet_workspace *workspace)
{
  free (workspace->keys);
}
