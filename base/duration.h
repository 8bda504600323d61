/** @file
 * Lengths of time as people write them.
 */
#ifndef BASE_DURATION_H
#define BASE_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/** Read "1500ms" or "2.5s" into *VALUE_MS.
 * @return false for any other text */
bool duration_parse (const char *text, int64_t *value_ms);

#endif
