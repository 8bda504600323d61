/** @file
 * The interface through which operators' commands are carried out.
 *
 * The operator task parses commands and responds to them.  Writes at the
 * platform and queries to other hosts are behind this table of functions,
 * which the daemon implements with its control, ejection and platform modules,
 * and tests with a fake.  Every call ends exactly once, on the loop, unless
 * cancelled.
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

/** The commands of operators. */
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

/** As the version of a command: act on the current version. */
#define OPERATOR_ANY_VERSION 0

/** A validated command. */
struct operator_command
{
  enum operator_verb verb;
  char service[SERVICE_NAME_SIZE];
  char target[SERVICE_NAME_SIZE]; /**< "" if the verb takes none */
  /** Used with OPERATOR_CLEAR_POISON only. */
  struct fingerprint fingerprint;
  uint32_t floor_capacity; /**< with OPERATOR_SET_FLOOR */
  uint64_t version; /**< the version to act on, or OPERATOR_ANY_VERSION */
};

/** How a command ended; pointers are valid during the callback only.
 * STATUS_OK: the conditional write took effect.  STATUS_REFUSED: nothing was
 * changed.  STATUS_LOST_ANSWER: the outcome is unknown, even after reading
 * back. */
struct operator_result
{
  enum status status;
  const char *message;       /**< human-readable, if the status isn't OK */
  uint64_t acted_on_version; /**< the version that the command was checked
                                against */
  uint64_t version;          /**< the current version; 0 if unknown */
  const char *changed;       /**< when refused: what changed; or NULL */
};

/** On how many hosts a version of a service is in force. */
struct operator_in_force
{
  uint32_t in_force; /**< hosts that have it, this one included */
  uint32_t hosts;    /**< hosts queried, this one included */
  const char *const *not_heard_from; /**< hosts without a response */
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
  /** Eject, reinstate: sent to the owner of the service's ejections. */
  void (*change_ejection) (struct operator_backend *backend,
                           const struct operator_command *command,
                           operator_result_done *done, void *owner);
  /** Clear the request with the command's fingerprint on all hosts.
   * @return false if this host has no state for it */
  bool (*clear_poison) (struct operator_backend *backend,
                        const struct operator_command *command);
  /** Query the other hosts whether VERSION, which COMMAND wrote, or a later
   * version is in force there; waits for at most WITHIN_MS. */
  void (*query_in_force) (struct operator_backend *backend,
                          const struct operator_command *command,
                          uint64_t version, uint32_t within_ms,
                          operator_in_force_done *done, void *owner);
  /** The time since this host's last contact with the platform or its
   * relays. */
  int64_t (*contact_age_ms) (struct operator_backend *backend);
  /** The names of hosts that are considered live but haven't responded
   * recently, as a new JSON array. */
  struct json_object *(*not_heard_from) (struct operator_backend *backend);
  /** Cancel all calls of OWNER without calling back. */
  void (*cancel) (struct operator_backend *backend, void *owner);
};

/** The first member of each implementation. */
struct operator_backend
{
  const struct operator_backend_ops *ops;
};

#endif
