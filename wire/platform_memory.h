/** @file
 * Objects of a platform that lives in this process.
 */
#ifndef WIRE_PLATFORM_MEMORY_H
#define WIRE_PLATFORM_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "wire/platform.h"

struct platform_memory;

struct platform_memory *platform_memory_create (void);
void platform_memory_destroy (struct platform_memory *memory);

/** The object as it stands, until the next put of it; NULL for none. */
const struct platform_object *
platform_memory_find (const struct platform_memory *memory, const char *kind,
                      const char *name);

/** Write VALUE whatever is there; NULL removes.
 * @return the new version, the highest of all so far. */
uint64_t platform_memory_put (struct platform_memory *memory, const char *kind,
                              const char *name, const char *value);

/** The highest version within KIND. */
uint64_t platform_memory_revision (const struct platform_memory *memory,
                                   const char *kind);

/** What of KIND has a version above SINCE, removals too unless SINCE is 0, in
 * a new array; its texts stay until the next put.
 * @return how many. */
size_t platform_memory_list (const struct platform_memory *memory,
                             const char *kind, uint64_t since,
                             struct platform_object **objects);

#endif
