/** @file
 * Responses that this host generates instead of forwarding a target's.
 */
#ifndef NODE_CALLER_LOCAL_RESPONSE_H
#define NODE_CALLER_LOCAL_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "node/caller/caller_interface.h"

enum
{
  LOCAL_RESPONSE_MESSAGE_SIZE = 256,
  LOCAL_RESPONSE_TEXT_SIZE = 1536
};

/** What is known about whether the request has run. */
enum request_outcome
{
  REQUEST_OUTCOME_NOT_RUN, /**< no target has run it */
  REQUEST_OUTCOME_UNKNOWN, /**< a target may have run it */
  REQUEST_OUTCOME_RAN      /**< a target responded */
};

/** "not-run", "unknown" or "ran". */
const char *request_outcome_name (enum request_outcome outcome);

struct local_response
{
  uint32_t status;
  enum request_outcome outcome;
  const char *reason; /**< a constant: "queue-full", "deadline", ... */
  char message[LOCAL_RESPONSE_MESSAGE_SIZE]; /**< for people, with a remedy */
  uint32_t retry_after_ms; /**< 0: a retry is no use, or unknown */
  bool has_challenge;      /**< WWW-Authenticate, as required with 401 */
};

/** Create a libmicrohttpd response; CLOSE asks the caller to close the
 * connection. */
struct MHD_Response *
local_response_create (const struct local_response *local,
                       const struct caller_interface *interface, bool close);

/** Format the whole response as bytes, for a connection on which libmicrohttpd
 * can't respond yet.  It always asks the caller to close the connection.  ID
 * is the request's, or NULL to leave it out; one that doesn't fit is left out
 * as well.
 * @return the number of bytes */
size_t local_response_format (const struct local_response *local,
                              const struct caller_interface *interface,
                              const char *id,
                              char text[LOCAL_RESPONSE_TEXT_SIZE]);

#endif
