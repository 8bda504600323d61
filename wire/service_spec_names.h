/** @file
 * The words of a service's JSON text, by the enums that they stand for.
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

/** By enum service_prefer. */
extern const char *const service_prefer_names[SERVICE_PREFER_COUNT];
/** By whether ejection is paused. */
extern const char *const service_ejection_names[SERVICE_EJECTION_COUNT];
/** By enum target_state. */
extern const char *const target_state_names[TARGET_STATE_COUNT];
/** Bit N of enum route_method is called so. */
extern const char *const route_method_names[ROUTE_METHOD_COUNT];

#endif
