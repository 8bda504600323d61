/** @file
 * Tells callers which addresses of the fleet to use for a service.
 */
#ifndef NODE_CALLER_ADDRESS_ANSWER_H
#define NODE_CALLER_ADDRESS_ANSWER_H

#include <stdbool.h>

#include <microhttpd.h>

#include "node/caller/caller_context.h"

/** Is URI the question for addresses? */
bool address_answer_matches_uri (const struct caller_context *context,
                                 const char *uri);

/** Answer the question on CONNECTION. */
enum MHD_Result address_answer_queue (struct caller_context *context,
                                      struct MHD_Connection *connection,
                                      const char *method);

#endif
