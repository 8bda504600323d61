/** @file
 * One operator's change of a service, as a conditional write.
 *
 * Reads the service, weighs the command against its version, writes the
 * changed one on condition of that version and, when the answer is lost, finds
 * out whether the write took effect by the id that it carries.
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
  uint32_t limit_ms;    /**< until a lost answer is reported; 0: 20,000 */
  uint32_t back_off_ms; /**< before the first read back; 0 means 100 */
};

/** Start COMMAND, one of drain, undrain, pause, resume and set floor.  DONE is
 * called once, never from within this:
 *  - STATUS_OK: it took effect, or it already was so;
 *  - STATUS_REFUSED: nothing was changed; `changed` says what somebody else
 *    changed, where that is why;
 *  - STATUS_UNREACHABLE: nothing was changed, since the platform can't be
 *    reached;
 *  - STATUS_NOT_FOUND, STATUS_INVALID: nothing was changed;
 *  - STATUS_LOST_ANSWER: not known within the limit.
 * The command is released before DONE is called. */
struct service_command *
service_command_start (const struct service_command_options *options,
                       const struct operator_command *command,
                       operator_result_done *done, void *owner);

/** Give it up without calling back.  A write under way may take effect. */
void service_command_cancel (struct service_command *sc);

/** Change SPEC as COMMAND says.  *CHANGED tells whether that made a
 * difference.
 * @return STATUS_NOT_FOUND for a target that the service doesn't have,
 * STATUS_INVALID for a command that doesn't change a service. */
enum status service_command_apply (struct service_spec *spec,
                                   const struct operator_command *command,
                                   bool *changed);

#endif
