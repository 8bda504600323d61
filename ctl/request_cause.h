/** @file
 * Why a request ended as it did, from the lines of hosts' logs on it.
 */
#ifndef CTL_REQUEST_CAUSE_H
#define CTL_REQUEST_CAUSE_H

#include <stddef.h>

#include <json-c/json.h>

#include "ctl/log_line.h"

/** The cause in one sentence, in new memory.  OWN are the request's lines in
 * order of time, CONTEXT what was learned of its targets and hosts. */
char *request_cause_find (const struct log_line *own, size_t count,
                          const struct log_line *context,
                          size_t context_count);

/** Add to MISSING a text for each gap that shows: attempts without a line, no
 * last line, lines that the hosts left out. */
void request_cause_missing (const struct log_line *own, size_t count,
                            const struct log_line *context,
                            size_t context_count, struct json_object *missing);

#endif
