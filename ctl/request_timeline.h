/** @file
 * What the logs of all hosts tell of one request: its lines in order, what
 * was believed of its targets then, why it ended so, and what is missing.
 */
#ifndef CTL_REQUEST_TIMELINE_H
#define CTL_REQUEST_TIMELINE_H

#include <stdbool.h>
#include <stdio.h>

#include <json-c/json.h>

struct request_timeline;

/** The story of the request with identity ID. */
struct request_timeline *request_timeline_create (const char *id);
void request_timeline_destroy (struct request_timeline *story);

/** Take all lines of FILE; SOURCE names the host where its lines don't. */
void request_timeline_read (struct request_timeline *story, const char *source,
                            FILE *file);

/** Put the lines in order and find the cause; after the last file. */
void request_timeline_finish (struct request_timeline *story);

/** Is there a line of the request at all? */
bool request_timeline_is_found (const struct request_timeline *story);

/** The story as JSON, in new memory: `id`, `lines` of the request, `context`
 * of its targets and hosts, `cause`, and `missing`, a list of texts. */
struct json_object *
request_timeline_json (const struct request_timeline *story);

void request_timeline_print (const struct request_timeline *story, FILE *out);

#endif
