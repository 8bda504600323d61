/** @file
 * An operator's change of a service, as a conditional write.
 *
 * Reads the service, checks the command against its version, and writes the
 * changed service on condition of that version.  If the response to the write
 * is lost, the service is read back: the id that the write carries shows
 * whether it took effect.
 */
#ifndef NODE_OPERATOR_SERVICE_COMMAND_H
#define NODE_OPERATOR_SERVICE_COMMAND_H

#include <stdint.h>

#include <ev.h>

#include "node/operator/operator_backend.h"
#include "wire/platform.h"

struct service_command;

struct service_command_options
{
  struct ev_loop *loop;
  struct platform *platform;
  uint32_t limit_ms;    /**< until a lost response is reported; 0: 20,000 */
  uint32_t back_off_ms; /**< before the first read-back; 0: 100 */
};

/** Start COMMAND, one of drain, undrain, pause, resume and set floor.  DONE is
 * called once, never from within this call:
 *  - STATUS_OK: it took effect, or there was nothing to change;
 *  - STATUS_REFUSED: nothing was changed; `changed` names what another writer
 *    changed, if that is the reason;
 *  - STATUS_UNREACHABLE: nothing was changed, since the platform is
 *    unreachable;
 *  - STATUS_NOT_FOUND, STATUS_INVALID: nothing was changed;
 *  - STATUS_LOST_ANSWER: the outcome isn't known within the limit.
 * The command is freed before DONE is called. */
struct service_command *
service_command_start (const struct service_command_options *options,
                       const struct operator_command *command,
                       operator_result_done *done, void *owner);

/** Cancel without calling back.  A write that is in flight may still take
 * effect. */
void service_command_cancel (struct service_command *sc);

/** Apply COMMAND to SPEC.  *CHANGED tells whether that made a difference.
 * @return STATUS_NOT_FOUND for a target that the service doesn't have,
 * STATUS_INVALID for a command that doesn't change a service. */
enum status service_command_apply (struct service_spec *spec,
                                   const struct operator_command *command,
                                   bool *changed);

#endif
