#include "wire/service_spec_names.h"

#include "wire/service_spec.h"

const char *const service_prefer_names[]
    = { [SERVICE_PREFER_FEWER_FALSE_EJECTIONS] = "fewer-false-ejections",
        [SERVICE_PREFER_FASTER_DETECTION] = "faster-detection" };

const char *const service_ejection_names[]
    = { [false] = "automatic", [true] = "paused" };

const char *const target_state_names[]
    = { [TARGET_STATE_ACTIVE] = "active", [TARGET_STATE_DRAINED] = "drained" };

const char *const route_method_names[]
    = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
