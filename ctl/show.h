/** @file
 * `show`: the rows of one table that meet all conditions.
 */
#ifndef CTL_SHOW_H
#define CTL_SHOW_H

#include "ctl/commands.h"

enum exit_code show_run (const struct commands *commands,
                         const struct statement *statement);

/** The rows of ROWS that meet all COUNT filters, as a new array. */
struct json_object *show_filter_rows (struct json_object *rows,
                                      const struct filter *filters,
                                      size_t count);

#endif
