/** @file
 * A stand-in target's account of which request ran how often.
 */
#ifndef STANDINS_RUN_BOOK_H
#define STANDINS_RUN_BOOK_H

#include <stdint.h>

#include <json-c/json.h>

struct run_counts;

struct run_counts *run_counts_create (void);
void run_counts_destroy (struct run_counts *book);

/** The request with ID ran once more. */
void run_counts_add (struct run_counts *book, const char *id);
uint32_t run_counts_get (const struct run_counts *book, const char *id);
/** The most any one request ran. */
uint32_t run_counts_max (const struct run_counts *book);
/** {"ID": times} as a new object. */
struct json_object *run_counts_json (const struct run_counts *book);

#endif
