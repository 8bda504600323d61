/** @file
 * Decimal numbers in header fields.
 */
#ifndef BASE_DECIMAL_H
#define BASE_DECIMAL_H

#include <stdbool.h>
#include <stdint.h>

/** Parse TEXT, digits with at most one decimal point, into thousandths.
 * Values below 0.001 and any other text are refused; larger ones than
 * MAX_MILLIS are clamped to it.
 * @return whether TEXT is valid; *MILLIS is set only then */
bool decimal_parse_millis (const char *text, uint32_t max_millis,
                           uint32_t *millis);

#endif
