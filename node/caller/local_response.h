/** @file
 * Answers that the fleet makes itself, in place of a target's.
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
  LOCAL_RESPONSE_TEXT_SIZE = 1024
};

/** What became of the request. */
enum request_outcome
{
  REQUEST_OUTCOME_NOT_RUN, /**< surely no target ran it */
  REQUEST_OUTCOME_UNKNOWN, /**< perhaps a target ran it */
  REQUEST_OUTCOME_RAN      /**< a target's own answer */
};

/** "not-run", "unknown" or "ran". */
const char *request_outcome_name (enum request_outcome outcome);

struct local_response
{
  uint32_t status;
  enum request_outcome outcome;
  const char *reason; /**< a fixed word: "queue-full", "deadline", ... */
  char
      message[LOCAL_RESPONSE_MESSAGE_SIZE]; /**< for people, with the remedy */
  uint32_t retry_after_ms; /**< 0: no use in coming back, or not known */
  bool has_challenge;      /**< with a challenge, as 401 must */
};

/** The answer as a response; CLOSE asks the caller to close. */
struct MHD_Response *
local_response_create (const struct local_response *answer,
                       const struct caller_interface *interface, bool close);

/** The whole answer as bytes, for a connection on which libmicrohttpd can't
 * answer yet; always asks the caller to close.
 * @return the number of bytes */
size_t local_response_format (const struct local_response *answer,
                              const struct caller_interface *interface,
                              char text[LOCAL_RESPONSE_TEXT_SIZE]);

#endif
