/** @file
 * Formatting of JSON directly into a buffer, without a tree.
 */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <stddef.h>

/** Write TEXT as a quoted JSON string into BUFFER, truncated to fit but always
 * terminated by a quote and a NUL.  SIZE must be at least 3.
 * @return the number of bytes written, without the NUL. */
size_t json_text_quote (char *buffer, size_t size, const char *text);

#endif
