/** @file
 * Memory allocation that never fails: the process aborts if it is out of
 * memory.
 */
#ifndef BASE_XMALLOC_H
#define BASE_XMALLOC_H

#include <stddef.h>

void *xmalloc (size_t size);
/** Allocate zeroed memory for COUNT elements of SIZE bytes. */
void *xcalloc (size_t count, size_t size);
/** Resize BLOCK to COUNT elements of SIZE bytes; the product is checked for
 * overflow. */
void *xreallocarray (void *block, size_t count, size_t size);
/** Duplicate TEXT; NULL if TEXT is NULL. */
char *xstrdup (const char *text);
/** Duplicate SIZE bytes of DATA and append a NUL. */
char *xmemdup0 (const void *data, size_t size);
/** Same as sprintf(), in new memory. */
char *xasprintf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
