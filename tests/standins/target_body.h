/** @file
 * Response bodies of stand-in targets.
 */
#ifndef STANDINS_TARGET_BODY_H
#define STANDINS_TARGET_BODY_H

#include <stdint.h>

#include <microhttpd.h>

/** A body of SIZE bytes that repeats the alphabet. */
struct MHD_Response *target_body_pattern (uint64_t size);

/** A body with the header fields of CONNECTION's request, one per line. */
struct MHD_Response *target_body_fields (struct MHD_Connection *connection);

#endif
