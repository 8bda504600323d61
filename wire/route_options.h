/** @file
 * Validated reading of names and route conditions; see options.h.
 */
#ifndef WIRE_ROUTE_OPTIONS_H
#define WIRE_ROUTE_OPTIONS_H

#include <stdbool.h>

#include "base/options.h"
#include "wire/service_spec.h"

/** Read a name, which may consist of letters, digits, '.', '_' and '-' because
 * names are used in URL paths and in log fields. */
void route_options_name (struct options *options, const char *key,
                         bool required, char value[SERVICE_NAME_SIZE]);

/** Read the members host, path_prefix, methods and repeatable. */
void route_options_read (struct options *options, struct route_spec *route);

#endif
