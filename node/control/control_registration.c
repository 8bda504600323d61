#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "wire/platform_version.h"

enum
{
  BACKOFF_MIN_MS = 200,
  BACKOFF_MAX_MS = 5000,
  /** Hosts whose records the platform has lost at the same time write them
   * again spread over this time for each host of the fleet. */
  WRITE_SPREAD_MS_PER_HOST = 5,
};

void
control_retry_within (struct control_task *task, struct ev_timer *timer,
                      uint32_t *backoff_ms, uint32_t max_ms)
{
  const double jitter = 0.5 + 0.5 * rng_unit (&task->random);
  if (*backoff_ms == 0)
    *backoff_ms = BACKOFF_MIN_MS;
  if (*backoff_ms > max_ms)
    *backoff_ms = max_ms;
  ev_timer_stop (task->options.loop, timer);
  ev_timer_set (timer, *backoff_ms * jitter / 1000.0, 0);
  ev_timer_start (task->options.loop, timer);
  *backoff_ms *= 2;
}

void
control_retry_later (struct control_task *task, struct ev_timer *timer,
                     uint32_t *backoff_ms)
{
  control_retry_within (task, timer, backoff_ms, BACKOFF_MAX_MS);
}

static char *
format_own_record (const struct control_task *task)
{
  struct host_record record = task->self->record;
  record.leaving = task->is_leaving;
  return host_record_format (&record);
}

static void
registration_failed (struct control_registration *registration,
                     const struct platform_reply *reply)
{
  LOG_WARN ("register-failed", LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
  control_retry_later (registration->task, &registration->retry,
                       &registration->backoff_ms);
}

static void registration_next (struct control_registration *registration);

static void
complete_registration (struct control_registration *registration,
                       uint64_t version, const char *value)
{
  struct control_task *task = registration->task;
  registration->is_registered = true;
  registration->version = version;
  registration->backoff_ms = 0;
  control_members_note_contact (task, clock_now_ms ());
  LOG_INFO ("registered",
            LOG_INT ("version", platform_version_revision (version)),
            LOG_STR ("state", task->is_leaving ? "leaving" : "live"));
  control_settings_apply (task, PLATFORM_KIND_HOST, task->self->record.name,
                          version, value, "own record");
}

static platform_done put_done;

static void
write_record (struct control_registration *registration, uint64_t expected)
{
  struct control_task *task = registration->task;
  char *value = format_own_record (task);
  registration->is_pending = true;
  platform_put (task->options.platform, PLATFORM_KIND_HOST,
                task->self->record.name, expected, value, put_done,
                registration);
  free (value);
}

static bool
is_own_record (const struct control_task *task, const char *value)
{
  struct host_record record;
  if (host_record_parse (task->self->record.name, value, &record) != STATUS_OK)
    return false;
  return record.incarnation == task->self->record.incarnation
         && record.leaving == task->is_leaving;
}

/* Overwrite the platform's record unless it is this host's current one. */
static void
update_record (struct control_registration *registration,
               const struct platform_object *object)
{
  if (object->value == NULL)
    write_record (registration, PLATFORM_VERSION_NONE);
  else if (is_own_record (registration->task, object->value))
    complete_registration (registration, object->version, object->value);
  else
    write_record (registration, object->version);
}

/* After a lost response the object is read back; it contains the own
   incarnation if the write took effect. */
static void
put_done (void *owner, const struct platform_reply *reply)
{
  struct control_registration *registration = owner;
  registration->is_pending = false;
  registration->must_read = reply->status != STATUS_OK;
  if (reply->status == STATUS_REFUSED && reply->count == 1)
    {
      update_record (registration, &reply->objects[0]);
      return;
    }
  if (reply->status == STATUS_OK && reply->count == 1)
    {
      char *value = format_own_record (registration->task);
      complete_registration (registration, reply->objects[0].version, value);
      free (value);
      return;
    }
  registration_failed (registration, reply);
}

static void
get_done (void *owner, const struct platform_reply *reply)
{
  struct control_registration *registration = owner;
  registration->is_pending = false;
  if (reply->status == STATUS_NOT_FOUND)
    {
      write_record (registration, PLATFORM_VERSION_NONE);
      return;
    }
  if (reply->status != STATUS_OK || reply->count != 1)
    {
      registration_failed (registration, reply);
      return;
    }
  update_record (registration, &reply->objects[0]);
}

/* The first attempt writes with the last known version, or as if there were
   no record.  That is right for all hosts except restarted ones, and saves a
   call for each. */
static void
registration_next (struct control_registration *registration)
{
  struct control_task *task = registration->task;
  if (registration->is_pending || registration->is_registered)
    return;
  if (!registration->must_read)
    {
      write_record (registration, registration->version);
      return;
    }
  registration->is_pending = true;
  platform_get (task->options.platform, PLATFORM_KIND_HOST,
                task->self->record.name, get_done, registration);
}

static void
registration_retry_cb (struct ev_loop *loop, struct ev_timer *watcher,
                       int events)
{
  registration_next (watcher->data);
}

void
control_registration_write (struct control_task *task)
{
  struct control_registration *registration = &task->registration;
  ev_timer_stop (task->options.loop, &registration->retry);
  if (registration->is_pending)
    platform_cancel (task->options.platform, registration);
  registration->is_pending = false;
  registration->is_registered = false;
  registration_next (registration);
}

static void
write_soon (struct control_registration *registration)
{
  struct control_task *task = registration->task;
  const double spread_ms = (double)task->fleet_count * WRITE_SPREAD_MS_PER_HOST
                           * rng_unit (&task->random);
  ev_timer_stop (task->options.loop, &registration->retry);
  ev_timer_set (&registration->retry, spread_ms / 1000.0, 0);
  ev_timer_start (task->options.loop, &registration->retry);
}

/* Another program may keep removing the record.  So that both don't remove and
   write it as fast as they can, only the first removal in a while is reverted
   soon. */
void
control_registration_restore (struct control_task *task, uint64_t version)
{
  struct control_registration *registration = &task->registration;
  const int64_t now_ms = clock_now_ms ();
  const bool is_first = registration->last_removed_ms == 0
                        || now_ms - registration->last_removed_ms
                               > 2 * (int64_t)BACKOFF_MAX_MS;
  registration->last_removed_ms = now_ms;
  registration->version = version;
  registration->is_registered = false;
  if (is_first)
    {
      registration->restore_backoff_ms = 0;
      write_soon (registration);
      return;
    }
  control_retry_later (task, &registration->retry,
                       &registration->restore_backoff_ms);
}

void
control_registration_check (struct control_task *task)
{
  struct control_registration *registration = &task->registration;
  registration->is_registered = false;
  registration->must_read = true;
  write_soon (registration);
}

void
control_registration_start (struct control_task *task)
{
  task->registration.task = task;
  ev_timer_init (&task->registration.retry, registration_retry_cb, 0, 0);
  task->registration.retry.data = &task->registration;
  control_registration_write (task);
}

void
control_registration_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->registration.retry);
  platform_cancel (task->options.platform, &task->registration);
}
