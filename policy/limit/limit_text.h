/** @file
 * Text form of a rate limit: a decimal number of requests a second.
 */
#ifndef POLICY_LIMIT_LIMIT_TEXT_H
#define POLICY_LIMIT_LIMIT_TEXT_H

#include <stdbool.h>
#include <stdint.h>

/** Parse TEXT, digits with at most one decimal point.  Values below 0.001 and
 * any other text are refused; limits above LIMIT_MILLIS_MAX are clamped to it.
 * @return whether TEXT is valid; *LIMIT_MILLIS is set only then */
bool limit_text_parse (const char *text, uint32_t *limit_millis);

#endif
