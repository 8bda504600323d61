/** @file
 * Limits the nesting of JSON text before it is parsed.
 */
#ifndef BASE_JSON_DEPTH_H
#define BASE_JSON_DEPTH_H

#include <stddef.h>

/** Replace each array and object of TEXT (SIZE bytes) that is nested deeper
 * than DEPTH_MAX levels by 0.  A parser refuses the whole text if a part of it
 * is nested too deeply, even if that part belongs to a single element of it.
 * @return the changed text in new memory, of the same size, or NULL if nothing
 * has to be replaced */
char *json_depth_limit (const char *text, size_t size, size_t depth_max);

#endif
