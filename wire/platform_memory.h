/** @file
 * In-memory store of platform objects.
 */
#ifndef WIRE_PLATFORM_MEMORY_H
#define WIRE_PLATFORM_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "wire/platform.h"

struct platform_memory;

struct platform_memory *platform_memory_create (void);
void platform_memory_destroy (struct platform_memory *memory);

/** Find an object; NULL if there is none.  The result is valid until the next
 * put of the object. */
const struct platform_object *
platform_memory_find (const struct platform_memory *memory, const char *kind,
                      const char *name);

/** Write VALUE unconditionally; NULL removes the object.
 * @return the new version, which is higher than all previous ones. */
uint64_t platform_memory_put (struct platform_memory *memory, const char *kind,
                              const char *name, const char *value);

/** Highest version of an object of KIND. */
uint64_t platform_memory_revision (const struct platform_memory *memory,
                                   const char *kind);

/** List the objects of KIND whose version is above SINCE, including removals
 * unless SINCE is 0, in a new array.  Strings are valid until the next put.
 * @return the number of objects. */
size_t platform_memory_list (const struct platform_memory *memory,
                             const char *kind, uint64_t since,
                             struct platform_object **objects);

#endif
