/** @file
 * Derives from log lines why a request ended as it did.
 */
#ifndef CTL_REQUEST_CAUSE_H
#define CTL_REQUEST_CAUSE_H

#include <stddef.h>

#include <json-c/json.h>

#include "ctl/log_line.h"

/** The cause in one sentence, in new memory.  OWN are the request's lines in
 * order of time, CONTEXT those on the state of its targets and hosts. */
char *request_cause_find (const struct log_line *own, size_t count,
                          const struct log_line *context,
                          size_t context_count);

/** Add a text to MISSING for each gap found: attempts without a line, no last
 * line, lines that the hosts suppressed. */
void request_cause_missing (const struct log_line *own, size_t count,
                            const struct log_line *context,
                            size_t context_count, struct json_object *missing);

#endif
