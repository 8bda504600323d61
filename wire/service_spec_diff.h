/** @file
 * What differs between two versions of a service, in words for operators.
 */
#ifndef WIRE_SERVICE_SPEC_DIFF_H
#define WIRE_SERVICE_SPEC_DIFF_H

#include <stddef.h>

#include "wire/service_spec.h"

/** Write what changed from BEFORE to AFTER into TEXT, as
 * `floor_capacity 24 to 30; target holds-1: state active to drained`, cut to
 * fit; empty when nothing did but version and write id.
 * @return the number of differences. */
size_t service_spec_diff (const struct service_spec *before,
                          const struct service_spec *after, char *text,
                          size_t size);

#endif
