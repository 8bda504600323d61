/** @file
 * Answers that the fleet makes itself, in place of a target's.
 */
#ifndef NODE_CALLER_OWN_ANSWER_H
#define NODE_CALLER_OWN_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "node/caller/caller_interface.h"

enum
{
  OWN_ANSWER_MESSAGE_SIZE = 256,
  OWN_ANSWER_TEXT_SIZE = 1024
};

/** What became of the request. */
enum answer_outcome
{
  ANSWER_NOT_RUN, /**< surely no target ran it */
  ANSWER_UNKNOWN, /**< perhaps a target ran it */
  ANSWER_RAN      /**< a target's own answer */
};

/** "not-run", "unknown" or "ran". */
const char *answer_outcome_name (enum answer_outcome outcome);

struct own_answer
{
  uint32_t status;
  enum answer_outcome outcome;
  const char *reason; /**< a fixed word: "queue-full", "deadline", ... */
  char message[OWN_ANSWER_MESSAGE_SIZE]; /**< for people, with the remedy */
  uint32_t retry_after_ms; /**< 0: no use in coming back, or not known */
  bool asks_for_key;       /**< with a challenge, as 401 must */
};

/** The answer as a response; CLOSE asks the caller to close. */
struct MHD_Response *
own_answer_response (const struct own_answer *answer,
                     const struct caller_interface *interface, bool close);

/** The whole answer as bytes, for a connection on which libmicrohttpd can't
 * answer yet; always asks the caller to close.
 * @return the number of bytes */
size_t own_answer_bytes (const struct own_answer *answer,
                         const struct caller_interface *interface,
                         char text[OWN_ANSWER_TEXT_SIZE]);

#endif
