/** @file
 * Members of JSON objects, with a default for absent ones.
 */
#ifndef CTL_JSON_MEMBER_H
#define CTL_JSON_MEMBER_H

#include <stdint.h>

#include <json-c/json.h>

/** The member KEY as text, "" if absent. */
const char *json_member_text (struct json_object *object, const char *key);
/** The member KEY as a number, 0 if absent. */
int64_t json_member_int (struct json_object *object, const char *key);
/** The member KEY, an array; NULL if absent or of another type. */
struct json_object *json_member_array (struct json_object *object,
                                       const char *key);

#endif
