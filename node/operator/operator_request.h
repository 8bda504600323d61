/** @file
 * Parser of the body of `POST /v1/command`.
 *
 *     { "command": "drain", "service": "holds", "target": "holds-1",
 *       "version": 7, "floor": 24 }
 *
 * `command` is one of drain, undrain, eject, reinstate (with `target`),
 * pause-ejection, resume-ejection, set-floor (with `floor`) and clear-poison
 * (with `fingerprint` only).  `service` may be omitted if only one service has
 * a target of that name.
 */
#ifndef NODE_OPERATOR_OPERATOR_REQUEST_H
#define NODE_OPERATOR_OPERATOR_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <json-c/json.h>

#include "base/status.h"
#include "node/operator/operator_backend.h"

/** The verb's name in requests and responses: "drain", "set-floor", ... */
const char *operator_verb_name (enum operator_verb verb);
/** Whether VERB acts on one target. */
bool operator_verb_takes_target (enum operator_verb verb);
/** Whether VERB changes the ejection record instead of the service. */
bool operator_verb_is_ejection (enum operator_verb verb);

/** Parse SIZE bytes of TEXT.  On failure the message names what was expected
 * and the remedy. */
enum status operator_request_parse (const char *text, size_t size,
                                    struct operator_command *command);

/** If the request named no service, find that of COMMAND's target in ROWS, the
 * rows of the table "targets".
 * @return STATUS_INVALID if several services have such a target,
 * STATUS_NOT_FOUND if none has. */
enum status
operator_request_resolve_service (struct json_object *rows,
                                  struct operator_command *command);

#endif
