#include "node/operator/service_command.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "wire/service_spec_diff.h"

#define LOG_MODULE "operator"
#include "base/log.h"

enum
{
  DEFAULT_LIMIT_MS = 20000,
  DEFAULT_BACK_OFF_MS = 100,
  BACK_OFF_MAX_MS = 2000,
  MESSAGE_SIZE = 512,
};

static const double MS_PER_SECOND = 1000.0;

struct service_command
{
  struct ev_loop *loop;
  struct platform *platform;
  struct operator_command command;
  operator_result_done *done;
  void *owner;
  int64_t deadline_ms;
  uint32_t back_off_ms;
  ev_timer timer;
  struct service_spec *before; /* as read; NULL until then */
  char write_id[SERVICE_WRITE_ID_SIZE];
  char *value; /* as written */
};

static void
free_command (struct service_command *sc)
{
  ev_timer_stop (sc->loop, &sc->timer);
  service_spec_destroy (sc->before);
  free (sc->value);
  free (sc);
}

static void
finish (struct service_command *sc, const struct operator_result *result)
{
  operator_result_done *done = sc->done;
  void *owner = sc->owner;
  LOG_INFO ("command-ended", LOG_STR ("service", sc->command.service),
            LOG_STR ("status", status_name (result->status)),
            LOG_INT ("version", result->version),
            LOG_STR ("write_id", sc->write_id),
            LOG_STR ("why", result->message));
  struct operator_result copy = *result;
  copy.acted_on_version = sc->before == NULL ? 0 : sc->before->version;
  free_command (sc);
  done (owner, &copy);
}

static void finish_failed (struct service_command *sc, enum status status,
                           const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
finish_failed (struct service_command *sc, enum status status,
               const char *format, ...)
{
  char message[MESSAGE_SIZE];
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  const struct operator_result result
      = { .status = status, .message = message };
  finish (sc, &result);
}

static void
finish_accepted (struct service_command *sc, uint64_t version)
{
  const struct operator_result result
      = { .status = STATUS_OK, .version = version };
  finish (sc, &result);
}

static struct target_spec *
find_target (struct service_spec *spec, const char *name)
{
  for (size_t i = 0; i < spec->target_count; i++)
    if (strcmp (spec->targets[i].name, name) == 0)
      return &spec->targets[i];
  return NULL;
}

static enum status
set_target_state (struct service_spec *spec,
                  const struct operator_command *command, bool *changed)
{
  const enum target_state state = command->verb == OPERATOR_DRAIN
                                      ? TARGET_STATE_DRAINED
                                      : TARGET_STATE_ACTIVE;
  struct target_spec *target = find_target (spec, command->target);
  if (target == NULL)
    return status_set (STATUS_NOT_FOUND,
                       "service %s has no target %s; `show targets` lists "
                       "its targets",
                       spec->name, command->target);
  *changed = target->state != state;
  target->state = state;
  return STATUS_OK;
}

enum status
service_command_apply (struct service_spec *spec,
                       const struct operator_command *command, bool *changed)
{
  const bool pause = command->verb == OPERATOR_PAUSE_EJECTION;
  *changed = false;
  switch (command->verb)
    {
    case OPERATOR_DRAIN:
    case OPERATOR_UNDRAIN:
      return set_target_state (spec, command, changed);
    case OPERATOR_PAUSE_EJECTION:
    case OPERATOR_RESUME_EJECTION:
      *changed = spec->ejection_paused != pause;
      spec->ejection_paused = pause;
      return STATUS_OK;
    case OPERATOR_SET_FLOOR:
      *changed = spec->floor_capacity != command->floor_capacity;
      spec->floor_capacity = command->floor_capacity;
      return STATUS_OK;
    default:
      return status_set (STATUS_INVALID,
                         "the command doesn't change a service's settings; "
                         "it goes to the owner of its ejections");
    }
}

/* Another write took effect first: report what it changed. */
static void
finish_conflict (struct service_command *sc,
                 const struct platform_object *object)
{
  char message[MESSAGE_SIZE];
  char changed[MESSAGE_SIZE];
  struct service_spec *now;
  if (service_spec_parse ("service", object->value, object->version, &now)
      != STATUS_OK)
    snprintf (changed, sizeof changed, "to an invalid object: %s",
              status_message ());
  else if (service_spec_diff (sc->before, now, changed, sizeof changed) == 0)
    snprintf (changed, sizeof changed, "nothing but its version");
  service_spec_destroy (now);
  snprintf (message, sizeof message,
            "another write changed the service from version %" PRIu64
            " to %" PRIu64 "; this command changed nothing: check the service "
            "and decide again",
            sc->before->version, object->version);
  const struct operator_result result = { .status = STATUS_REFUSED,
                                          .message = message,
                                          .version = object->version,
                                          .changed = changed };
  finish (sc, &result);
}

static bool
is_own_write (const struct service_command *sc,
              const struct platform_object *object)
{
  struct service_spec *spec;
  if (service_spec_parse ("service", object->value, object->version, &spec)
      != STATUS_OK)
    return false;
  const bool own = strcmp (spec->write_id, sc->write_id) == 0;
  service_spec_destroy (spec);
  return own;
}

static void
schedule_read_back (struct service_command *sc)
{
  if (clock_now_ms () + sc->back_off_ms >= sc->deadline_ms)
    {
      finish_failed (
          sc, STATUS_LOST_ANSWER,
          "the platform's answer was lost and the platform can't be "
          "reached: the change may be in force or still take "
          "effect; check service %s before trying again",
          sc->command.service);
      return;
    }
  ev_timer_stop (sc->loop, &sc->timer);
  ev_timer_set (&sc->timer, sc->back_off_ms / MS_PER_SECOND, 0.);
  ev_timer_start (sc->loop, &sc->timer);
  if (sc->back_off_ms < BACK_OFF_MAX_MS)
    sc->back_off_ms *= 2;
}

static void
finish_overwritten (struct service_command *sc, uint64_t version)
{
  char message[MESSAGE_SIZE];
  snprintf (message, sizeof message,
            "the platform's answer was lost and the service was changed to "
            "version %" PRIu64 " since: this change may have been in force "
            "before; check the service and decide again",
            version);
  const struct operator_result result = { .status = STATUS_LOST_ANSWER,
                                          .message = message,
                                          .version = version };
  finish (sc, &result);
}

/* After a lost response, a refusal doesn't show whether the first write
   changed the version, unless the object still carries its id. */
static void
on_rewritten (void *owner, const struct platform_reply *reply)
{
  struct service_command *sc = owner;
  const struct platform_object *object
      = reply->count > 0 ? &reply->objects[0] : NULL;
  const bool refused = reply->status == STATUS_REFUSED;
  const bool in_force = object != NULL
                        && (reply->status == STATUS_OK
                            || (refused && is_own_write (sc, object)));
  if (in_force)
    finish_accepted (sc, object->version);
  else if (refused)
    finish_overwritten (sc, object == NULL ? 0 : object->version);
  else
    schedule_read_back (sc);
}

/* The version is unchanged, but the lost write may be queued in a slow
   platform and take effect after this read.  The same write, with the same id
   and condition, resolves this: at most one of the two can take effect, and
   either means that the command did. */
static void
on_read_back (void *owner, const struct platform_reply *reply)
{
  struct service_command *sc = owner;
  const struct platform_object *object
      = reply->count > 0 ? &reply->objects[0] : NULL;
  if (reply->status == STATUS_NOT_FOUND)
    finish_overwritten (sc, 0);
  else if (reply->status != STATUS_OK || object == NULL)
    schedule_read_back (sc);
  else if (is_own_write (sc, object))
    finish_accepted (sc, object->version);
  else if (object->version != sc->before->version)
    finish_overwritten (sc, object->version);
  else
    platform_put (sc->platform, PLATFORM_KIND_SERVICE, sc->command.service,
                  sc->before->version, sc->value, on_rewritten, sc);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct service_command *sc = timer->data;
  platform_get (sc->platform, PLATFORM_KIND_SERVICE, sc->command.service,
                on_read_back, sc);
}

static void
finish_unchanged (struct service_command *sc, enum status status,
                  const struct platform_reply *reply)
{
  finish_failed (sc, status == STATUS_LIMIT ? STATUS_UNREACHABLE : status,
                 "nothing was changed: %s", reply->message);
}

static void
on_written (void *owner, const struct platform_reply *reply)
{
  struct service_command *sc = owner;
  const struct platform_object *object
      = reply->count > 0 ? &reply->objects[0] : NULL;
  const bool version_changed
      = object != NULL && object->version != sc->before->version;
  switch (reply->status)
    {
    case STATUS_OK:
      finish_accepted (sc, object == NULL ? 0 : object->version);
      return;
    case STATUS_REFUSED:
      if (version_changed)
        finish_conflict (sc, object);
      else
        finish_unchanged (sc, reply->status, reply);
      return;
    case STATUS_NOT_FOUND:
    case STATUS_INVALID:
    case STATUS_UNREACHABLE:
    case STATUS_LIMIT:
      finish_unchanged (sc, reply->status, reply);
      return;
    default:
      schedule_read_back (sc);
    }
}

static void
write_service (struct service_command *sc, struct service_spec *after)
{
  uint64_t random[2];
  rng_secure_bytes (random, sizeof random);
  snprintf (sc->write_id, sizeof sc->write_id, "%016" PRIx64 "%016" PRIx64,
            random[0], random[1]);
  memcpy (after->write_id, sc->write_id, sizeof after->write_id);
  sc->value = service_spec_format (after);
  platform_put (sc->platform, PLATFORM_KIND_SERVICE, sc->command.service,
                sc->before->version, sc->value, on_written, sc);
}

/* The command names an outdated version.  The difference between the two
   versions isn't known here, so the current state of what the command concerns
   is reported. */
static void
finish_outdated (struct service_command *sc)
{
  char message[MESSAGE_SIZE];
  char changed[MESSAGE_SIZE];
  const struct service_spec *now = sc->before;
  const struct target_spec *target
      = service_spec_target (now, sc->command.target);
  snprintf (message, sizeof message,
            "the service is at version %" PRIu64 ", not %" PRIu64
            "; nothing was changed: check the service and decide again",
            now->version, sc->command.version);
  const size_t used = (size_t)snprintf (
      changed, sizeof changed,
      "version %" PRIu64 ": floor_capacity %" PRIu32 "; ejection %s",
      now->version, now->floor_capacity,
      now->ejection_paused ? "paused" : "automatic");
  if (sc->command.target[0] != '\0' && used < sizeof changed)
    snprintf (changed + used, sizeof changed - used, "; target %s %s",
              sc->command.target,
              target == NULL                          ? "is gone"
              : target->state == TARGET_STATE_DRAINED ? "drained"
                                                      : "active");
  const struct operator_result result = { .status = STATUS_REFUSED,
                                          .message = message,
                                          .version = now->version,
                                          .changed = changed };
  finish (sc, &result);
}

static void
check_and_write (struct service_command *sc)
{
  bool changed;
  if (sc->command.version != OPERATOR_ANY_VERSION
      && sc->command.version != sc->before->version)
    {
      finish_outdated (sc);
      return;
    }
  struct service_spec *after = service_spec_copy (sc->before);
  const enum status status
      = service_command_apply (after, &sc->command, &changed);
  if (status != STATUS_OK)
    finish_failed (sc, status, "%s", status_message ());
  else if (!changed)
    finish_accepted (sc, sc->before->version);
  else
    write_service (sc, after);
  service_spec_destroy (after);
}

static void
on_read (void *owner, const struct platform_reply *reply)
{
  struct service_command *sc = owner;
  if (reply->status == STATUS_NOT_FOUND)
    finish_failed (sc, STATUS_NOT_FOUND,
                   "there is no service %s; `show services` lists the "
                   "services",
                   sc->command.service);
  else if (reply->status == STATUS_INVALID)
    finish_failed (sc, STATUS_INVALID, "nothing was changed: %s",
                   reply->message);
  else if (reply->status != STATUS_OK || reply->count == 0)
    finish_failed (sc, STATUS_UNREACHABLE,
                   "nothing was changed, since the service can't be read: %s",
                   reply->message);
  else if (service_spec_parse (sc->command.service, reply->objects[0].value,
                               reply->objects[0].version, &sc->before)
           != STATUS_OK)
    finish_failed (sc, STATUS_INVALID, "nothing was changed: %s",
                   status_message ());
  else
    check_and_write (sc);
}

struct service_command *
service_command_start (const struct service_command_options *options,
                       const struct operator_command *command,
                       operator_result_done *done, void *owner)
{
  const uint32_t limit_ms
      = options->limit_ms > 0 ? options->limit_ms : DEFAULT_LIMIT_MS;
  struct service_command *sc = xcalloc (1, sizeof *sc);
  sc->loop = options->loop;
  sc->platform = options->platform;
  sc->command = *command;
  sc->done = done;
  sc->owner = owner;
  sc->deadline_ms = clock_now_ms () + limit_ms;
  sc->back_off_ms
      = options->back_off_ms > 0 ? options->back_off_ms : DEFAULT_BACK_OFF_MS;
  ev_timer_init (&sc->timer, on_timer, 0., 0.);
  sc->timer.data = sc;
  platform_get (sc->platform, PLATFORM_KIND_SERVICE, sc->command.service,
                on_read, sc);
  return sc;
}

void
service_command_cancel (struct service_command *sc)
{
  platform_cancel (sc->platform, sc);
  free_command (sc);
}
