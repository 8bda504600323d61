/** @file
 * Validated reading of JSON with comments.
 *
 * Each reader takes the key of a member and, if the value is invalid, fails
 * with a message of the form `FILE: PATH: expected WHAT, found WHAT; REMEDY`,
 * where PATH is for example `limits.queue_requests`.  options_end() refuses
 * members that no reader has read, so that a misspelt option isn't silently
 * replaced by its default.
 */
#ifndef BASE_OPTIONS_H
#define BASE_OPTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"

/** Maximum number of members of an object. */
#define OPTIONS_MEMBERS_MAX 64

/** A JSON object that is being read.  After the first failure all readers do
 * nothing, so the caller needs to check only the result of options_end(). */
struct options
{
  const char *file;         /**< name of the source in messages */
  char path[160];           /**< of this object; "" at the top */
  struct json_object *node; /**< not owned */
  const char *known_keys[OPTIONS_MEMBERS_MAX];
  size_t known_count;
  enum status status;
};

/** Parse SIZE bytes of TEXT as a JSON value with comments into *TREE, which
 * the caller must release with json_object_put().  On failure the message
 * contains line and column. */
enum status options_parse (const char *file, const char *text, size_t size,
                           struct json_object **tree);

/** Read the file PATH and parse it. */
enum status options_parse_file (const char *path, struct json_object **tree);

/** Start to read the object NODE, which is at PATH of FILE. */
void options_begin (struct options *options, const char *file,
                    const char *path, struct json_object *node);

/** Start to read the object member KEY.
 * @return false if it is absent, which fails PARENT if it is REQUIRED. */
bool options_object (struct options *parent, const char *key, bool required,
                     struct options *child);

/** Get the member KEY, an array of at most MAX elements; NULL if absent. */
struct json_object *options_array (struct options *options, const char *key,
                                   size_t max);

/** Start to read element INDEX, an object, of the array KEY. */
void options_element (struct options *parent, const char *key,
                      struct json_object *array, size_t index,
                      struct options *child);

/** Read an integer within [MIN, MAX]; *VALUE is unchanged if KEY is absent. */
void options_int (struct options *options, const char *key, int64_t min,
                  int64_t max, int64_t *value);

/** Read a duration within [MIN_MS, MAX_MS]: an integer in milliseconds, or a
 * string with a unit, such as "1500ms" or "2.5s". */
void options_duration (struct options *options, const char *key,
                       int64_t min_ms, int64_t max_ms, int64_t *value_ms);

/** Same as options_int() for 32-bit integers. */
void options_uint32 (struct options *options, const char *key, uint32_t min,
                     uint32_t max, uint32_t *value);

/** Same as options_int() for a number that may have a fraction. */
void options_double (struct options *options, const char *key, double min,
                     double max, double *value);

/** Read a boolean; *VALUE is unchanged if KEY is absent. */
void options_bool (struct options *options, const char *key, bool *value);

/** Read a string of at most SIZE - 1 bytes, and at least 1 if REQUIRED, into
 * VALUE, which is unchanged if KEY is absent. */
void options_string (struct options *options, const char *key, bool required,
                     char *value, size_t size);

/** Read one of the COUNT names; *VALUE becomes its index, or is unchanged if
 * KEY is absent. */
void options_enum (struct options *options, const char *key,
                   const char *const *names, size_t count, int *value);

/** Read a numeric `IP:PORT` or `[IPv6]:PORT` into VALUE. */
void options_address (struct options *options, const char *key, bool required,
                      char *value, size_t size);

/** Fail at KEY with a message (printf format) that states what was expected
 * and the remedy. */
void options_fail (struct options *options, const char *key,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Finish reading the object and refuse unknown members.
 * @return the first failure of this object. */
enum status options_end (struct options *options);

/** Call options_end() for CHILD and pass its failure on to PARENT. */
void options_end_child (struct options *parent, struct options *child);

#endif
