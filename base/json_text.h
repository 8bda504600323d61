/** @file
 * JSON text building blocks that need no tree: used where a line or a body
 * is written straight into a buffer.
 */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <stddef.h>

/** Write TEXT as a quoted JSON string into BUFFER, cut to fit, always ended
 * by a quote and a NUL (SIZE must be at least 3).
 * @return the number of bytes written, without the NUL. */
size_t json_text_quote (char *buffer, size_t size, const char *text);

#endif
