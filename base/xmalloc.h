/** @file
 * Allocation that never returns NULL: out of memory ends the process here.
 */
#ifndef BASE_XMALLOC_H
#define BASE_XMALLOC_H

#include <stddef.h>

void *xmalloc (size_t size);
/** Zeroed memory for COUNT elements of SIZE bytes. */
void *xcalloc (size_t count, size_t size);
/** Resize to COUNT elements of SIZE bytes; the product is checked. */
void *xreallocarray (void *block, size_t count, size_t size);
/** A copy of TEXT; NULL stays NULL. */
char *xstrdup (const char *text);
/** A copy of SIZE bytes of DATA with a NUL behind them. */
char *xmemdup0 (const void *data, size_t size);
/** printf into new memory. */
char *xasprintf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
