/** @file
 * The timeline of one request from the logs of all hosts: its lines in order,
 * what its hosts knew of its targets at the time, why it ended as it did, and
 * what is missing from the logs.
 */
#ifndef CTL_REQUEST_TIMELINE_H
#define CTL_REQUEST_TIMELINE_H

#include <stdbool.h>
#include <stdio.h>

#include <json-c/json.h>

struct request_timeline;

/** Create the timeline of the request with the identity ID. */
struct request_timeline *request_timeline_create (const char *id);
void request_timeline_destroy (struct request_timeline *timeline);

/** Read all lines of FILE; SOURCE is the host of lines that don't name one. */
void request_timeline_read (struct request_timeline *timeline,
                            const char *source, FILE *file);

/** Sort the lines and find the cause, after the last file is read. */
void request_timeline_finish (struct request_timeline *timeline);

/** Whether there is any line of the request. */
bool request_timeline_is_found (const struct request_timeline *timeline);

/** The timeline as JSON, in new memory: `id`, `lines` of the request,
 * `context` of its targets and hosts, `cause`, and `missing`, a list of
 * texts. */
struct json_object *
request_timeline_json (const struct request_timeline *timeline);

void request_timeline_print (const struct request_timeline *timeline,
                             FILE *out);

#endif
