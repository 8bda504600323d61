/** @file
 * What the logs of all hosts tell of one request: its lines in order, what
 * was believed of its targets then, why it ended so, and what is missing.
 */
#ifndef CTL_REQUEST_STORY_H
#define CTL_REQUEST_STORY_H

#include <stdbool.h>
#include <stdio.h>

#include <json-c/json.h>

struct request_story;

/** The story of the request with identity ID. */
struct request_story *request_story_create (const char *id);
void request_story_destroy (struct request_story *story);

/** Take all lines of FILE; SOURCE names the host where its lines don't. */
void request_story_read (struct request_story *story, const char *source,
                         FILE *file);

/** Put the lines in order and find the cause; after the last file. */
void request_story_finish (struct request_story *story);

/** Is there a line of the request at all? */
bool request_story_is_found (const struct request_story *story);

/** The story as JSON, in new memory: `id`, `lines` of the request, `context`
 * of its targets and hosts, `cause`, and `missing`, a list of texts. */
struct json_object *request_story_json (const struct request_story *story);

void request_story_print (const struct request_story *story, FILE *out);

#endif
