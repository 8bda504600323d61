/** @file
 * Members of answers, with a default where one is absent.
 */
#ifndef CTL_JSON_MEMBER_H
#define CTL_JSON_MEMBER_H

#include <stdint.h>

#include <json-c/json.h>

/** The member KEY as text, "" when absent. */
const char *json_member_text (struct json_object *object, const char *key);
/** The member KEY as a number, 0 when absent. */
int64_t json_member_int (struct json_object *object, const char *key);
/** The member KEY, an array; NULL when absent or another type. */
struct json_object *json_member_array (struct json_object *object,
                                       const char *key);

#endif
