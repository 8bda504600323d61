/** @file
 * Rows of JSON objects as a table for people.
 */
#ifndef CTL_TABLE_PRINTER_H
#define CTL_TABLE_PRINTER_H

#include <stdio.h>

#include <json-c/json.h>

/** Write the array ROWS to OUT: one column a member name, in the order first
 * met, numbers to the right.  Control characters, which could drive a
 * terminal, are written as '?'. */
void table_printer_print (FILE *out, struct json_object *rows);

/** The text of one VALUE, as in a cell, in new memory. */
char *table_printer_cell (struct json_object *value);

#endif
