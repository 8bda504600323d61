/** @file
 * Tables of the caller side for operators.
 */
#ifndef NODE_CALLER_CALLER_ROWS_H
#define NODE_CALLER_CALLER_ROWS_H

#include "node/caller/caller_context.h"
#include "node/tables.h"

/** Register "targets", "services", "poison", "routes" and "decisions". */
void caller_rows_register (struct tables *tables,
                           struct caller_context *context);

#endif
