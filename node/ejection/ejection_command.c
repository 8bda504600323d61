#define LOG_MODULE "eject"

#include "node/ejection/ejection_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/log.h"
#include "base/xmalloc.h"
#include "node/operator/operator_request.h"

enum
{
  MESSAGE_SIZE = 256,
  /* Timeout of a command in platform calls: enough for a write, and for a
     read after a lost answer. */
  TIMEOUT_PLATFORM_CALLS = 3,
};

static const char *const reason_messages[EJECTION_REASON_COUNT] = {
  [EJECTION_REASON_NONE] = "done",
  [EJECTION_REASON_BELOW_FLOOR]
  = "it would breach the floor, or an earlier owner may still have targets "
    "ejected; reinstate another target, lower the floor, or wait",
  [EJECTION_REASON_NO_SUCH_TARGET]
  = "the service has no such active target; check its targets",
  [EJECTION_REASON_NOT_EJECTED]
  = "the target isn't ejected; check the ejections",
  [EJECTION_REASON_VERSION_CHANGED]
  = "the record of ejections has changed; check it and send the command again",
  [EJECTION_REASON_NOT_OWNER]
  = "no owner of the service's ejections can be reached from this host; "
    "wait for one or ask another host",
  [EJECTION_REASON_SETTINGS_BEHIND]
  = "the owner doesn't have the newest settings yet; send the command again "
    "soon",
  [EJECTION_REASON_UNCONFIRMED]
  = "the owner accepted it but the platform didn't confirm it; check the "
    "ejections before sending it again",
  [EJECTION_REASON_NO_SUCH_SERVICE]
  = "no such service is in force here; check the services",
  [EJECTION_REASON_BUSY]
  = "too many commands are in progress; send it again soon",
};

static void
finish_command (struct ejection_task *task, struct ejection_command *command,
                enum status status, enum ejection_reason reason)
{
  const struct ejection_service *service
      = ejection_find_service (task, command->command.service);
  if (service != NULL && command->forwarded_to[0] == '\0')
    command->version = floor_owner_version (service->owner);
  command->is_ended = true;
  command->status = status;
  command->reason = reason;
  LOG_INFO ("command-ended", LOG_STR ("service", command->command.service),
            LOG_STR ("target", command->command.target),
            LOG_STR ("command", operator_verb_name (command->command.verb)),
            LOG_STR ("status", status_name (status)),
            LOG_STR ("why", reason_messages[reason]));
  ev_timer_stop (task->options.loop, &task->completion_timer);
  ev_timer_set (&task->completion_timer, 0, 0);
  ev_timer_start (task->options.loop, &task->completion_timer);
}

static enum ejection_reason
refusal_reason (enum floor_eject_result verdict)
{
  switch (verdict)
    {
    case FLOOR_EJECT_BELOW_FLOOR:
      return EJECTION_REASON_BELOW_FLOOR;
    case FLOOR_EJECT_NO_SUCH_TARGET:
      return EJECTION_REASON_NO_SUCH_TARGET;
    case FLOOR_EJECT_SETTINGS_BEHIND:
      return EJECTION_REASON_SETTINGS_BEHIND;
    case FLOOR_EJECT_NOT_OWNER:
      return EJECTION_REASON_NOT_OWNER;
    default:
      return EJECTION_REASON_NONE;
    }
}

static enum ejection_reason
apply_command (struct ejection_service *service,
               const struct operator_command *command)
{
  const int64_t now_ms = ejection_now_ms (service->task);
  service->why = "operator";
  if (command->verb == OPERATOR_EJECT)
    return refusal_reason (floor_owner_eject (
        service->owner, now_ms, command->target, UINT32_MAX, true));
  return floor_owner_reinstate (service->owner, now_ms, command->target, true)
             ? EJECTION_REASON_NONE
             : EJECTION_REASON_NOT_EJECTED;
}

static void
start_locally (struct ejection_service *service,
               struct ejection_command *command)
{
  struct ejection_task *task = service->task;
  const uint64_t version = floor_owner_version (service->owner);
  command->acted_on_version = version;
  if (command->command.version != OPERATOR_ANY_VERSION
      && command->command.version != version)
    {
      finish_command (task, command, STATUS_REFUSED,
                      EJECTION_REASON_VERSION_CHANGED);
      return;
    }
  const enum ejection_reason reason
      = apply_command (service, &command->command);
  if (reason != EJECTION_REASON_NONE)
    {
      finish_command (task, command, STATUS_REFUSED, reason);
      return;
    }
  command->is_started = true;
  ejection_owner_update (service);
}

static void
forward_command (struct ejection_service *service,
                 struct ejection_command *command)
{
  struct ejection_task *task = service->task;
  const struct ejection_command_message message
      = { .kind = EJECTION_COMMAND,
          .service = service->name,
          .target = command->command.target,
          .id = command->id,
          .version = command->command.version,
          .verb = command->command.verb };
  snprintf (command->forwarded_to, sizeof command->forwarded_to, "%s",
            service->owner_name);
  if (command->forwarded_to[0] == '\0'
      || strcmp (command->forwarded_to, task->options.settings->name) == 0
      || ejection_send_command_message (task->options.transport,
                                        command->forwarded_to, &message)
             != STATUS_OK)
    finish_command (task, command, STATUS_UNREACHABLE,
                    EJECTION_REASON_NOT_OWNER);
}

static void
start_command (struct ejection_task *task, struct ejection_command *command)
{
  struct ejection_service *service
      = ejection_find_service (task, command->command.service);
  if (task->command_count > EJECTION_COMMANDS_MAX)
    finish_command (task, command, STATUS_LIMIT, EJECTION_REASON_BUSY);
  else if (service == NULL || service->spec == NULL)
    finish_command (task, command, STATUS_NOT_FOUND,
                    EJECTION_REASON_NO_SUCH_SERVICE);
  else if (service->role == FLOOR_ROLE_OWNER)
    start_locally (service, command);
  else if (command->done != NULL)
    forward_command (service, command);
  else
    finish_command (task, command, STATUS_REFUSED, EJECTION_REASON_NOT_OWNER);
}

static struct ejection_command *
add_command (struct ejection_task *task,
             const struct operator_command *command)
{
  struct ejection_command *added = xcalloc (1, sizeof *added);
  added->command = *command;
  added->id = ++task->command_id;
  added->expires_ms
      = ejection_now_ms (task)
        + (int64_t)TIMEOUT_PLATFORM_CALLS
              * task->options.settings->times.platform_timeout_ms;
  DL_APPEND (task->commands, added);
  task->command_count++;
  return added;
}

static void
remove_command (struct ejection_task *task, struct ejection_command *command)
{
  DL_DELETE (task->commands, command);
  task->command_count--;
  free (command);
}

void
ejection_task_command (struct ejection_task *task,
                       const struct operator_command *command,
                       operator_result_done *done, void *owner)
{
  struct ejection_command *added = add_command (task, command);
  added->done = done;
  added->owner = owner;
  start_command (task, added);
}

void
ejection_task_cancel (struct ejection_task *task, void *owner)
{
  struct ejection_command *command;
  struct ejection_command *next;
  DL_FOREACH_SAFE (task->commands, command, next)
  {
    if (command->done != NULL && command->owner == owner)
      remove_command (task, command);
  }
}

void
ejection_commands_drop (struct ejection_task *task)
{
  struct ejection_command *command;
  struct ejection_command *next;
  DL_FOREACH_SAFE (task->commands, command, next)
  {
    remove_command (task, command);
  }
}

static void
receive_command (struct ejection_task *task, const char *from,
                 const struct ejection_command_message *message)
{
  struct operator_command command
      = { .verb = (enum operator_verb)message->verb,
          .version = message->version };
  if (message->verb != OPERATOR_EJECT && message->verb != OPERATOR_REINSTATE)
    return;
  snprintf (command.service, sizeof command.service, "%s", message->service);
  snprintf (command.target, sizeof command.target, "%s", message->target);
  struct ejection_command *added = add_command (task, &command);
  snprintf (added->from, sizeof added->from, "%s", from);
  added->from_id = message->id;
  start_command (task, added);
}

/* Only the host to which a command was forwarded may end it. */
static void
receive_result (struct ejection_task *task, const char *from,
                const struct ejection_command_message *message)
{
  struct ejection_command *command;
  DL_FOREACH (task->commands, command)
  {
    if (command->id != message->id || command->is_ended
        || strcmp (command->forwarded_to, from) != 0)
      continue;
    if (message->status < STATUS_OK || message->status > STATUS_SYSTEM
        || message->reason < 0 || message->reason >= EJECTION_REASON_COUNT)
      return;
    command->version = message->version;
    finish_command (task, command, (enum status)message->status,
                    (enum ejection_reason)message->reason);
    return;
  }
}

void
ejection_command_receive (struct ejection_task *task, const char *from,
                          const struct ejection_command_message *message)
{
  if (message->kind == EJECTION_COMMAND)
    receive_command (task, from, message);
  else
    receive_result (task, from, message);
}

static bool
is_ejected (const struct floor_record *record,
            const struct operator_command *command)
{
  const struct floor_claim *claim
      = floor_record_find (record, command->target);
  return claim != NULL && claim->state != FLOOR_CLAIM_RELEASING;
}

/* A command is complete when the record at the platform contains it. */
static void
check_completion (struct ejection_task *task, struct ejection_command *command)
{
  const struct ejection_service *service
      = ejection_find_service (task, command->command.service);
  const bool is_owner = service != NULL && service->role == FLOOR_ROLE_OWNER;
  if (is_owner && command->is_started)
    {
      const bool should_be_ejected = command->command.verb == OPERATOR_EJECT;
      if (is_ejected (floor_owner_known_record (service->owner),
                      &command->command)
          == should_be_ejected)
        finish_command (task, command, STATUS_OK, EJECTION_REASON_NONE);
      else if (is_ejected (floor_owner_claims (service->owner),
                           &command->command)
               != should_be_ejected)
        finish_command (task, command, STATUS_REFUSED,
                        EJECTION_REASON_BELOW_FLOOR);
    }
  else if (command->is_started)
    finish_command (task, command, STATUS_LOST_ANSWER,
                    EJECTION_REASON_UNCONFIRMED);
  if (!command->is_ended && ejection_now_ms (task) >= command->expires_ms)
    finish_command (task, command, STATUS_LOST_ANSWER,
                    EJECTION_REASON_UNCONFIRMED);
}

void
ejection_commands_tick (struct ejection_task *task)
{
  struct ejection_command *command;
  DL_FOREACH (task->commands, command)
  {
    if (!command->is_ended)
      check_completion (task, command);
  }
}

static void
call_done (const struct ejection_command *command)
{
  char text[MESSAGE_SIZE];
  char changed[MESSAGE_SIZE];
  snprintf (text, sizeof text, "%s of %s in %s: %s",
            operator_verb_name (command->command.verb),
            command->command.target, command->command.service,
            reason_messages[command->reason]);
  snprintf (changed, sizeof changed,
            "the record of ejections: now at version %" PRIu64,
            command->version);
  const bool is_race = command->reason == EJECTION_REASON_VERSION_CHANGED;
  const struct operator_result result
      = { .status = command->status,
          .message = text,
          .acted_on_version = command->acted_on_version,
          .version = command->version,
          .changed = is_race ? changed : NULL };
  command->done (command->owner, &result);
}

static void
send_result (struct ejection_task *task,
             const struct ejection_command *command)
{
  const struct ejection_command_message message
      = { .kind = EJECTION_RESULT,
          .service = command->command.service,
          .target = command->command.target,
          .id = command->from_id,
          .version = command->version,
          .verb = command->command.verb,
          .status = (int)command->status,
          .reason = (int)command->reason };
  ejection_send_command_message (task->options.transport, command->from,
                                 &message);
}

/* Remove the first ended command from the list. */
static bool
remove_ended (struct ejection_task *task, struct ejection_command *ended)
{
  struct ejection_command *command;
  DL_FOREACH (task->commands, command)
  {
    if (!command->is_ended)
      continue;
    *ended = *command;
    remove_command (task, command);
    return true;
  }
  return false;
}

void
ejection_commands_complete (struct ejection_task *task)
{
  struct ejection_command ended;
  while (remove_ended (task, &ended))
    {
      if (ended.done != NULL)
        call_done (&ended);
      else
        send_result (task, &ended);
    }
}
