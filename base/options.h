/** @file
 * Checked reading of JSON with comments.
 *
 * Each reader names the place it reads (`limits.queue_requests`) and, when
 * the value isn't what is expected, fails with a message of the form
 * `FILE: PLACE: expected WHAT, found WHAT; REMEDY`.  A member that no reader
 * asked for is refused by options_end(), so a misspelt option never passes
 * for a default.
 */
#ifndef BASE_OPTIONS_H
#define BASE_OPTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"

/** Most members one object may have. */
#define OPTIONS_MEMBERS_MAX 64

/** A JSON object being read.  The first failure sticks: later readers do
 * nothing, so the caller looks once, at options_end(). */
struct options
{
  const char *file;         /**< what messages call the source */
  char path[160];           /**< path of this object; "" at the top */
  struct json_object *node; /**< borrowed */
  const char *known_keys[OPTIONS_MEMBERS_MAX];
  size_t known_count;
  enum status status;
};

/** Parse TEXT (SIZE bytes) as one JSON value, comments allowed.  On failure
 * the message gives line and column.
 * @return a tree that the caller releases with json_object_put(). */
enum status options_parse (const char *file, const char *text, size_t size,
                           struct json_object **tree);

/** Read the whole of PATH and parse it. */
enum status options_parse_file (const char *path, struct json_object **tree);

/** Start reading the object NODE, found at PLACE of FILE. */
void options_begin (struct options *options, const char *file,
                    const char *place, struct json_object *node);

/** Start reading member KEY, an object.  Absent: false, unless REQUIRED, which
 * is a failure of PARENT. */
bool options_object (struct options *parent, const char *key, bool required,
                     struct options *child);

/** The member KEY as an array of at most MAX elements; NULL when absent. */
struct json_object *options_array (struct options *options, const char *key,
                                   size_t max);

/** Start reading element INDEX of the array KEY, which must be an object. */
void options_element (struct options *parent, const char *key,
                      struct json_object *array, size_t index,
                      struct options *child);

/** A whole number within [MIN, MAX]; *VALUE keeps its default when absent. */
void options_int (struct options *options, const char *key, int64_t min,
                  int64_t max, int64_t *value);

/** A time in milliseconds within [MIN_MS, MAX_MS]: a whole number of them, or
 * a text of a number and its unit, "1500ms" or "2.5s". */
void options_duration (struct options *options, const char *key,
                       int64_t min_ms, int64_t max_ms, int64_t *value_ms);

/** As options_int(), for a number that fits 32 bits. */
void options_uint32 (struct options *options, const char *key, uint32_t min,
                     uint32_t max, uint32_t *value);

/** As options_int() for a number with a fraction. */
void options_double (struct options *options, const char *key, double min,
                     double max, double *value);

/** True or false; *VALUE keeps its default when absent. */
void options_bool (struct options *options, const char *key, bool *value);

/** A string of at most SIZE - 1 bytes, of at least 1 if REQUIRED, copied into
 * VALUE, which keeps its default when absent. */
void options_string (struct options *options, const char *key, bool required,
                     char *value, size_t size);

/** One of the COUNT names; *VALUE becomes its index, or keeps its default when
 * absent. */
void options_enum (struct options *options, const char *key,
                   const char *const *names, size_t count, int *value);

/** An `IP:PORT` or `[IP6]:PORT` by number, copied into VALUE. */
void options_address (struct options *options, const char *key, bool required,
                      char *value, size_t size);

/** Fail at KEY with a message (printf format) that says what was expected
 * and the remedy. */
void options_fail (struct options *options, const char *key,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Refuse unknown members; return the first failure of this object. */
enum status options_end (struct options *options);

/** options_end() of CHILD, whose failure becomes PARENT's. */
void options_end_child (struct options *parent, struct options *child);

#endif
