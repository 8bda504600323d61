/** @file
 * Names of enum values in the JSON text of a service.
 */
#ifndef WIRE_SERVICE_SPEC_NAMES_H
#define WIRE_SERVICE_SPEC_NAMES_H

enum
{
  SERVICE_PREFER_COUNT = 2,
  SERVICE_EJECTION_COUNT = 2,
  TARGET_STATE_COUNT = 2,
  ROUTE_METHOD_COUNT = 7,
};

/** Indexed by enum service_prefer. */
extern const char *const service_prefer_names[SERVICE_PREFER_COUNT];
/** Indexed by whether ejection is paused. */
extern const char *const service_ejection_names[SERVICE_EJECTION_COUNT];
/** Indexed by enum target_state. */
extern const char *const target_state_names[TARGET_STATE_COUNT];
/** Element N is the name of bit N of enum route_method. */
extern const char *const route_method_names[ROUTE_METHOD_COUNT];

#endif
