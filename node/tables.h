/** @file
 * A host's view of the fleet, as tables that operators can read.
 *
 * Each task registers the tables that it fills; the operator side reads them
 * by name.  Rows are flat JSON objects whose members have the same names in
 * all tables, so that one condition applies to several: `host`, `service`,
 * `target`, `dc`, `state`, `why`, `since_ms` (age), `owner`, `epoch`,
 * `version`; in "hosts" also `caller_address`.
 */
#ifndef NODE_TABLES_H
#define NODE_TABLES_H

#include <json-c/json.h>

/** Return the rows of a table: a new JSON array of objects, owned by the
 * caller. */
typedef struct json_object *tables_rows (void *owner);

struct tables;

struct tables *tables_create (void);
void tables_destroy (struct tables *tables);

/** Register a table.  If NAME is registered already, the rows are appended to
 * those of the earlier registration. */
void tables_register (struct tables *tables, const char *name,
                      tables_rows *rows, void *owner);
/** Remove all registrations of OWNER. */
void tables_unregister (struct tables *tables, void *owner);

/** The rows of NAME as a new JSON array; NULL if it isn't registered. */
struct json_object *tables_read (const struct tables *tables,
                                 const char *name);

/** The distinct names as a new JSON array of strings. */
struct json_object *tables_names (const struct tables *tables);

#endif
