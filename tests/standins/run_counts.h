/** @file
 * Counts of the runs of each request, in a stand-in target.
 */
#ifndef STANDINS_RUN_COUNTS_H
#define STANDINS_RUN_COUNTS_H

#include <stdint.h>

#include <json-c/json.h>

struct run_counts;

struct run_counts *run_counts_create (void);
void run_counts_destroy (struct run_counts *counts);

/** Count a run of the request with ID. */
void run_counts_add (struct run_counts *counts, const char *id);
uint32_t run_counts_get (const struct run_counts *counts, const char *id);
/** The largest number of runs of one request. */
uint32_t run_counts_max (const struct run_counts *counts);
/** Return a new object {"ID": RUNS, ...}. */
struct json_object *run_counts_json (const struct run_counts *counts);

#endif
