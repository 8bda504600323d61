/** @file
 * What a host believes, as tables that operators can read.
 *
 * Each task registers the tables it can fill; the operator side reads them by
 * name.  Rows are JSON objects with flat members, which are called the same
 * in all tables, so that one condition fits several: `host`, `service`,
 * `target`, `dc`, `state`, `why`, `since_ms` (ago), `owner`, `epoch`,
 * `version`; in "hosts" also `caller_address`.
 */
#ifndef NODE_TABLES_H
#define NODE_TABLES_H

#include <json-c/json.h>

/** Fill a table: a new JSON array of objects, owned by the caller. */
typedef struct json_object *tables_rows (void *owner);

struct tables;

struct tables *tables_create (void);
void tables_destroy (struct tables *tables);

/** Register NAME; a second registration of a name adds its rows behind the
 * first's. */
void tables_register (struct tables *tables, const char *name,
                      tables_rows *rows, void *owner);
/** Drop every registration of OWNER. */
void tables_unregister (struct tables *tables, void *owner);

/** The rows of NAME as a new JSON array; NULL when nobody registered it. */
struct json_object *tables_read (const struct tables *tables,
                                 const char *name);

/** The names, as a new JSON array of strings, each once. */
struct json_object *tables_names (const struct tables *tables);

#endif
