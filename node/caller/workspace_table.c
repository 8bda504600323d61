#include "node/caller/workspace_table.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/access/key_table.h"

struct workspace_table
{
  const struct fleet_config *config;
  struct key_table *keys;
};

static size_t
count_keys (const struct fleet_config *config)
{
  size_t count = 0;
  for (size_t i = 0; i < config->workspace_count; i++)
    count += config->workspaces[i].key_count;
  return count;
}

struct workspace_table *
workspace_table_create (const struct fleet_config *config)
{
  if (!config->has_workspaces)
    return NULL;
  struct workspace_table *table = xcalloc (1, sizeof *table);
  table->config = config;
  table->keys = key_table_create (count_keys (config));
  for (size_t i = 0; i < config->workspace_count; i++)
    {
      const struct fleet_workspace *workspace = &config->workspaces[i];
      for (size_t j = 0; j < workspace->key_count; j++)
        key_table_add (table->keys, &workspace->keys[j], (uint32_t)i);
    }
  return table;
}

void
workspace_table_destroy (struct workspace_table *table)
{
  if (table == NULL)
    return;
  key_table_destroy (table->keys);
  free (table);
}

const struct fleet_workspace *
workspace_table_find (const struct workspace_table *table,
                      const struct digest *key)
{
  const uint32_t index = key_table_find (table->keys, key);
  return index != KEY_TABLE_NO_WORKSPACE ? &table->config->workspaces[index]
                                         : NULL;
}
