/** @file
 * What an operator's command is carried out by.
 *
 * The operator task understands commands and answers them; the writes at the
 * platform and the questions to other hosts are behind this table, which the
 * daemon fills with its control, ejection and platform parts and a test with
 * a fake.  Every call ends exactly once, on the loop, unless cancelled.
 */
#ifndef NODE_OPERATOR_OPERATOR_BACKEND_H
#define NODE_OPERATOR_OPERATOR_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/fingerprint.h"
#include "base/status.h"
#include "wire/service_spec.h"

/** What an operator can tell the fleet to do. */
enum operator_verb
{
  OPERATOR_DRAIN,
  OPERATOR_UNDRAIN,
  OPERATOR_PAUSE_EJECTION,
  OPERATOR_RESUME_EJECTION,
  OPERATOR_SET_FLOOR,
  OPERATOR_EJECT,
  OPERATOR_REINSTATE,
  OPERATOR_CLEAR_POISON,
  OPERATOR_VERB_COUNT
};

/** Act on whatever version is found, as the version of a command. */
#define OPERATOR_ANY_VERSION 0

/** One command, checked. */
struct operator_command
{
  enum operator_verb verb;
  char service[SERVICE_NAME_SIZE];
  char target[SERVICE_NAME_SIZE]; /**< "" where the verb takes none */
  /** Set for OPERATOR_CLEAR_POISON only. */
  struct fingerprint fingerprint;
  uint32_t floor_capacity; /**< with OPERATOR_SET_FLOOR */
  uint64_t version;        /**< the one to act on, or any */
};

/** How a command ended; pointers are good during the callback only.
 * STATUS_OK: the conditional write took effect.  STATUS_REFUSED: nothing was
 * changed.  STATUS_LOST_ANSWER: not known, even after reading back. */
struct operator_result
{
  enum status status;
  const char *message;       /**< for people, when the status isn't OK */
  uint64_t acted_on_version; /**< what the command was weighed against */
  uint64_t version;          /**< as it stands now; 0 when not known */
  const char *changed;       /**< when refused: what changed; or NULL */
};

/** Where a version of a service is in force. */
struct operator_in_force
{
  uint32_t in_force; /**< hosts that have it, this one included */
  uint32_t hosts;    /**< hosts asked, this one included */
  const char *const *not_heard_from; /**< names of those that didn't answer */
  size_t not_heard_from_count;
};

typedef void operator_result_done (void *owner,
                                   const struct operator_result *result);
typedef void operator_in_force_done (void *owner,
                                     const struct operator_in_force *report);

struct operator_backend;

struct operator_backend_ops
{
  /** Drain, undrain, pause, resume, set floor: a conditional write of the
   * service's object. */
  void (*change_service) (struct operator_backend *backend,
                          const struct operator_command *command,
                          operator_result_done *done, void *owner);
  /** Eject, reinstate: through the owner of the service's ejections. */
  void (*change_ejection) (struct operator_backend *backend,
                           const struct operator_command *command,
                           operator_result_done *done, void *owner);
  /** Clear the request with the command's fingerprint at all hosts.
   * @return false if this host has no state for it */
  bool (*clear_poison) (struct operator_backend *backend,
                        const struct operator_command *command);
  /** Ask the other hosts whether they have what COMMAND wrote as VERSION, or
   * a later one, for at most WITHIN_MS. */
  void (*query_in_force) (struct operator_backend *backend,
                          const struct operator_command *command,
                          uint64_t version, uint32_t within_ms,
                          operator_in_force_done *done, void *owner);
  /** How old this host's news from the platform or its relays is. */
  int64_t (*contact_age_ms) (struct operator_backend *backend);
  /** The names of hosts believed live and not heard from lately, as a new
   * JSON array. */
  struct json_object *(*not_heard_from) (struct operator_backend *backend);
  /** End every call of OWNER without calling back. */
  void (*cancel) (struct operator_backend *backend, void *owner);
};

/** Embedded first in each implementation. */
struct operator_backend
{
  const struct operator_backend_ops *ops;
};

#endif
