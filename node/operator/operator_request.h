/** @file
 * The body of `POST /v1/command`, read and checked.
 *
 *     { "command": "drain", "service": "holds", "target": "holds-1",
 *       "version": 7, "floor": 24 }
 *
 * `command` is one of drain, undrain, eject, reinstate (with `target`),
 * pause-ejection, resume-ejection, set-floor (with `floor`).  `service` may
 * be left out where the target's name tells it.
 */
#ifndef NODE_OPERATOR_OPERATOR_REQUEST_H
#define NODE_OPERATOR_OPERATOR_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <json-c/json.h>

#include "base/status.h"
#include "node/operator/operator_backend.h"

/** The verb's name in requests and answers: "drain", "set-floor", ... */
const char *operator_verb_name (enum operator_verb verb);
/** Does VERB act on one target? */
bool operator_verb_takes_target (enum operator_verb verb);
/** Does VERB change the ejection record, in place of the service? */
bool operator_verb_is_ejection (enum operator_verb verb);

/** Parse SIZE bytes of TEXT.  On failure the message says what was expected
 * and the remedy. */
enum status operator_request_parse (const char *text, size_t size,
                                    struct operator_command *command);

/** Find the service of COMMAND's target in ROWS, the table "targets", where
 * the request named none.  Refused when several services have such a target,
 * not found when none has. */
enum status
operator_request_resolve_service (struct json_object *rows,
                                  struct operator_command *command);

#endif
