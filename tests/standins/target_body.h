/** @file
 * Bodies of a stand-in target's answers.
 */
#ifndef STANDINS_TARGET_BODY_H
#define STANDINS_TARGET_BODY_H

#include <stdint.h>

#include <microhttpd.h>

/** The alphabet over and over, SIZE bytes long. */
struct MHD_Response *target_body_pattern (uint64_t size);

/** The header fields of CONNECTION's request, one a line. */
struct MHD_Response *target_body_fields (struct MHD_Connection *connection);

#endif
