#include "wire/platform_file.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "wire/platform_file_text.h"
#include "wire/platform_memory.h"

static const double MS_PER_SECOND = 1000.0;

enum call_kind
{
  CALL_GET,
  CALL_LIST,
  CALL_PUT,
  CALL_WATCH
};

struct platform_file
{
  struct platform platform;
  struct ev_loop *loop;
  char *path;
  bool read_only;
  struct platform_memory *memory;
  struct file_call *calls;
};

/* A call runs when its timer fires: in the next loop iteration or, for a watch
   without changes so far, at its timeout. */
struct file_call
{
  struct platform_file *file;
  enum call_kind kind;
  char *object_kind;
  char *name;
  char *value;
  uint64_t version; /* of a put: expected; of a watch: known */
  uint32_t timeout_ms;
  bool waiting;
  ev_timer timer;
  platform_done *done;
  void *owner;
  struct file_call *prev;
  struct file_call *next;
};

static void
unlink_call (struct file_call *call)
{
  ev_timer_stop (call->file->loop, &call->timer);
  DL_DELETE (call->file->calls, call);
}

static void
free_call (struct file_call *call)
{
  free (call->object_kind);
  free (call->name);
  free (call->value);
  free (call);
}

static void
complete (struct file_call *call, const struct platform_reply *reply)
{
  unlink_call (call);
  call->done (call->owner, reply);
  free_call (call);
}

static void
complete_failed (struct file_call *call, enum status status,
                 const char *message)
{
  const struct platform_reply reply = { .status = status, .message = message };
  complete (call, &reply);
}

static void
complete_with_object (struct file_call *call, enum status status,
                      const char *message,
                      const struct platform_object *object)
{
  const struct platform_reply reply = { .status = status,
                                        .message = message,
                                        .objects = object,
                                        .count = object == NULL ? 0 : 1 };
  complete (call, &reply);
}

static void
run_get (struct file_call *call)
{
  const struct platform_object *object = platform_memory_find (
      call->file->memory, call->object_kind, call->name);
  if (object == NULL)
    complete_failed (call, STATUS_NOT_FOUND, "there is no such object");
  else
    complete_with_object (call, STATUS_OK, NULL, object);
}

static void
complete_with_list (struct file_call *call, uint64_t since)
{
  struct platform_memory *memory = call->file->memory;
  struct platform_object *objects;
  const size_t count
      = platform_memory_list (memory, call->object_kind, since, &objects);
  const struct platform_reply reply
      = { .status = STATUS_OK,
          .revision = platform_memory_revision (memory, call->object_kind),
          .objects = objects,
          .count = count };
  complete (call, &reply);
  free (objects);
}

static void
run_watch (struct file_call *call)
{
  const uint64_t revision
      = platform_memory_revision (call->file->memory, call->object_kind);
  if (call->version > revision)
    {
      complete_failed (call, STATUS_REFUSED,
                       "the revision is unknown; list again");
      return;
    }
  if (call->version < revision || call->waiting)
    {
      complete_with_list (call, call->version);
      return;
    }
  call->waiting = true;
  ev_timer_set (&call->timer, call->timeout_ms / MS_PER_SECOND, 0.);
  ev_timer_start (call->file->loop, &call->timer);
}

static void
wake_watches (struct platform_file *file, const char *object_kind)
{
  struct file_call *call;
  DL_FOREACH (file->calls, call)
  {
    if (!call->waiting || strcmp (call->object_kind, object_kind) != 0)
      continue;
    ev_timer_stop (file->loop, &call->timer);
    ev_timer_set (&call->timer, 0., 0.);
    ev_timer_start (file->loop, &call->timer);
  }
}

/* Writes the file before memory changes: a write that can't be stored must not
   take effect. */
static enum status
save_to_file (const struct file_call *call)
{
  const struct platform_file *file = call->file;
  if (strcmp (call->object_kind, PLATFORM_KIND_SERVICE) != 0)
    return STATUS_OK;
  if (file->read_only)
    return status_set (STATUS_REFUSED,
                       "%s is read only; change the file and restart the "
                       "host, or use a platform",
                       file->path);
  const enum status status
      = call->value == NULL
            ? STATUS_OK
            : platform_file_text_check (file->path, call->name, call->value);
  return status != STATUS_OK
             ? status
             : platform_file_text_save (file->path, file->memory, call->name,
                                        call->value);
}

static void
run_put (struct file_call *call)
{
  struct platform_memory *memory = call->file->memory;
  const struct platform_object *old
      = platform_memory_find (memory, call->object_kind, call->name);
  const uint64_t version = old == NULL ? PLATFORM_VERSION_NONE : old->version;
  if (version != call->version || (old == NULL && call->value == NULL))
    {
      complete_with_object (
          call, STATUS_REFUSED,
          "the object was changed concurrently; read it and retry "
          "if the change still applies",
          old);
      return;
    }
  const enum status status = save_to_file (call);
  if (status != STATUS_OK)
    {
      complete_failed (call, status, status_message ());
      return;
    }
  const struct platform_object written
      = { .name = call->name,
          .version = platform_memory_put (memory, call->object_kind,
                                          call->name, call->value),
          .value = call->value };
  wake_watches (call->file, call->object_kind);
  complete_with_object (call, STATUS_OK, NULL, &written);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct file_call *call = timer->data;
  switch (call->kind)
    {
    case CALL_GET:
      run_get (call);
      break;
    case CALL_LIST:
      complete_with_list (call, 0);
      break;
    case CALL_PUT:
      run_put (call);
      break;
    case CALL_WATCH:
      run_watch (call);
      break;
    }
}

static struct file_call *
start_call (struct platform *platform, enum call_kind kind,
            const char *object_kind, platform_done *done, void *owner)
{
  struct platform_file *file = (struct platform_file *)platform;
  struct file_call *call = xcalloc (1, sizeof *call);
  call->file = file;
  call->kind = kind;
  call->object_kind = xstrdup (object_kind);
  call->done = done;
  call->owner = owner;
  ev_timer_init (&call->timer, on_timer, 0., 0.);
  call->timer.data = call;
  DL_APPEND (file->calls, call);
  ev_timer_start (file->loop, &call->timer);
  platform->calls++;
  return call;
}

static void
get (struct platform *platform, const char *kind, const char *name,
     platform_done *done, void *owner)
{
  start_call (platform, CALL_GET, kind, done, owner)->name = xstrdup (name);
}

static void
list (struct platform *platform, const char *kind,
      enum platform_read_mode mode, platform_done *done, void *owner)
{
  start_call (platform, CALL_LIST, kind, done, owner);
}

static void
put (struct platform *platform, const char *kind, const char *name,
     uint64_t expected_version, const char *value, platform_done *done,
     void *owner)
{
  struct file_call *call = start_call (platform, CALL_PUT, kind, done, owner);
  call->name = xstrdup (name);
  call->version = expected_version;
  call->value = xstrdup (value);
}

static void
watch (struct platform *platform, const char *kind, uint64_t revision,
       uint32_t timeout_ms, enum platform_read_mode mode, platform_done *done,
       void *owner)
{
  struct file_call *call
      = start_call (platform, CALL_WATCH, kind, done, owner);
  call->version = revision;
  call->timeout_ms = timeout_ms;
}

static void
cancel (struct platform *platform, void *owner)
{
  struct platform_file *file = (struct platform_file *)platform;
  struct file_call *call;
  struct file_call *next;
  DL_FOREACH_SAFE (file->calls, call, next)
  {
    if (call->owner != owner)
      continue;
    unlink_call (call);
    free_call (call);
  }
}

static void
destroy (struct platform *platform)
{
  struct platform_file *file = (struct platform_file *)platform;
  struct file_call *call;
  struct file_call *next;
  DL_FOREACH_SAFE (file->calls, call, next)
  {
    unlink_call (call);
    free_call (call);
  }
  platform_memory_destroy (file->memory);
  free (file->path);
  free (file);
}

static const struct platform_ops file_ops = { .get = get,
                                              .list = list,
                                              .put = put,
                                              .watch = watch,
                                              .cancel = cancel,
                                              .destroy = destroy };

enum status
platform_file_create (const struct platform_file_options *options,
                      struct platform **platform)
{
  *platform = NULL;
  struct platform_memory *memory = platform_memory_create ();
  const enum status status = platform_file_text_load (options->path, memory);
  if (status != STATUS_OK)
    {
      platform_memory_destroy (memory);
      return status;
    }
  struct platform_file *file = xcalloc (1, sizeof *file);
  file->platform.ops = &file_ops;
  file->loop = options->loop;
  file->path = xstrdup (options->path);
  file->read_only = options->read_only;
  file->memory = memory;
  *platform = &file->platform;
  return STATUS_OK;
}
