/** @file
 * Responses of a stand-in target.
 */
#ifndef STANDINS_TARGET_RESPONSE_H
#define STANDINS_TARGET_RESPONSE_H

#include <microhttpd.h>

#include "tests/standins/target_request.h"

/** The header field NAME of REQUEST, or "-". */
const char *target_request_field (const struct request *request,
                                  const char *name);

/** Queue RESPONSE with the fields that every response has. */
enum MHD_Result target_response_queue (struct request *request,
                                       unsigned int status,
                                       struct MHD_Response *response);

enum MHD_Result target_response_queue_text (struct request *request,
                                            unsigned int status,
                                            const char *text, size_t size);

/** Queue a response that breaks off in the middle of its body. */
enum MHD_Result target_response_queue_truncated (struct request *request);

/** Queue the response that the path of REQUEST asks for. */
enum MHD_Result target_response_queue_by_path (struct request *request);

#endif
