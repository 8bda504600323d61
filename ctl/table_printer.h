/** @file
 * Prints JSON objects as a human-readable table.
 */
#ifndef CTL_TABLE_PRINTER_H
#define CTL_TABLE_PRINTER_H

#include <stdio.h>

#include <json-c/json.h>

/** Print the array ROWS to OUT: one column for each member name, in order of
 * appearance, numbers right-aligned.  Control characters, which a terminal
 * would interpret, are printed as '?'. */
void table_printer_print (FILE *out, struct json_object *rows);

/** The text of VALUE as in a cell, in new memory. */
char *table_printer_cell (struct json_object *value);

#endif
