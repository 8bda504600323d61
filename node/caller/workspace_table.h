/** @file
 * Looks up the workspaces of the configuration in force by their keys.
 */
#ifndef NODE_CALLER_WORKSPACE_TABLE_H
#define NODE_CALLER_WORKSPACE_TABLE_H

#include "base/digest.h"
#include "wire/fleet_config.h"

struct workspace_table;

/** Create a table of the workspaces of CONFIG, which must outlive the table.
 * @return NULL if requests need no key */
struct workspace_table *
workspace_table_create (const struct fleet_config *config);
void workspace_table_destroy (struct workspace_table *table);

/** The workspace that KEY belongs to, or NULL. */
const struct fleet_workspace *
workspace_table_find (const struct workspace_table *table,
                      const struct digest *key);

#endif
