/** @file
 * Human-readable differences between two versions of a service.
 */
#ifndef WIRE_SERVICE_SPEC_DIFF_H
#define WIRE_SERVICE_SPEC_DIFF_H

#include <stddef.h>

#include "wire/service_spec.h"

/** Format the changes from BEFORE to AFTER into TEXT, for example
 * `floor_capacity 24 to 30; target holds-1: state active to drained`,
 * truncated to SIZE.  Changes of version and write id are ignored.
 * @return the number of differences. */
size_t service_spec_diff (const struct service_spec *before,
                          const struct service_spec *after, char *text,
                          size_t size);

#endif
