/** @file
 * Serves address requests: which hosts of the fleet a caller may send the
 * requests for a service to.
 */
#ifndef NODE_CALLER_ADDRESS_ANSWER_H
#define NODE_CALLER_ADDRESS_ANSWER_H

#include <stdbool.h>

#include <microhttpd.h>

#include "node/caller/caller_context.h"

/** Whether URI is that of an address request. */
bool address_answer_matches_uri (const struct caller_context *context,
                                 const char *uri);

/** Queue the response to an address request on CONNECTION. */
enum MHD_Result address_answer_queue (struct caller_context *context,
                                      struct MHD_Connection *connection,
                                      const char *method);

#endif
