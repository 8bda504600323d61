/** @file
 * Checked reading of names and of what a route matches; see options.h.
 */
#ifndef WIRE_ROUTE_OPTIONS_H
#define WIRE_ROUTE_OPTIONS_H

#include <stdbool.h>

#include "base/options.h"
#include "wire/service_spec.h"

/** A plain name (letters, digits, '.', '_' and '-'): names stand in paths of
 * URLs and in keys of logs. */
void route_options_name (struct options *options, const char *key,
                         bool required, char value[SERVICE_NAME_SIZE]);

/** The members host, path_prefix, methods and repeatable. */
void route_options_read (struct options *options, struct route_spec *route);

#endif
