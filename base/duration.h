/** @file
 * Parsing of durations with a unit.
 */
#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/** Parse a duration such as "1500ms" or "2.5s" into *VALUE_MS.
 * @return false if TEXT has another form or exceeds INT32_MAX milliseconds. */
bool duration_parse (const char *text, int64_t *value_ms);

#endif
