#include "bench/bench_platform.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"

enum
{
  POLL_MS = 1,
};

struct object
{
  char *kind;
  char *name;
  char *value;
  uint64_t version;
};

struct bench_store
{
  struct ev_loop *loop;
  struct object *objects;
  size_t count;
  uint64_t sequence;
};

enum verb
{
  VERB_GET,
  VERB_LIST,
  VERB_PUT,
  VERB_WATCH,
};

struct call
{
  enum verb verb;
  char *kind;
  char *name;
  char *value;
  uint64_t version; /**< expected version of a put, revision of a watch */
  uint64_t seen_sequence; /**< of the store, when last evaluated */
  platform_done *done;
  void *owner;
  struct call *prev;
  struct call *next;
};

struct bench_platform
{
  struct platform base;
  struct bench_store *store;
  struct ev_timer poll;
  struct call *calls;
};

struct bench_store *
bench_store_create (struct ev_loop *loop)
{
  struct bench_store *store = xcalloc (1, sizeof *store);
  store->loop = loop;
  return store;
}

void
bench_store_destroy (struct bench_store *store)
{
  for (size_t i = 0; i < store->count; i++)
    {
      free (store->objects[i].kind);
      free (store->objects[i].name);
      free (store->objects[i].value);
    }
  free (store->objects);
  free (store);
}

static struct object *
find (const struct bench_store *store, const char *kind, const char *name)
{
  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->objects[i].kind, kind) == 0
        && strcmp (store->objects[i].name, name) == 0)
      return &store->objects[i];
  return NULL;
}

uint64_t
bench_store_put (struct bench_store *store, const char *kind, const char *name,
                 const char *value)
{
  struct object *object = find (store, kind, name);
  if (object == NULL)
    {
      store->objects = xreallocarray (store->objects, store->count + 1,
                                      sizeof *store->objects);
      object = &store->objects[store->count++];
      *object
          = (struct object){ .kind = xstrdup (kind), .name = xstrdup (name) };
    }
  free (object->value);
  object->value = xstrdup (value);
  object->version = ++store->sequence;
  return object->version;
}

static void
call_free (struct call *call)
{
  free (call->kind);
  free (call->name);
  free (call->value);
  free (call);
}

static void
reply_one (const struct call *call, enum status status,
           const struct object *object)
{
  struct platform_object found = { .name = call->name };
  if (object != NULL)
    {
      found.version = object->version;
      found.value = object->value;
    }
  const struct platform_reply reply = { .status = status,
                                        .message = status_name (status),
                                        .objects = &found,
                                        .count = object != NULL };
  call->done (call->owner, &reply);
}

/* Replies with the objects of the kind that are newer than the call's version.
   @return false, without a reply, if a watch finds none */
static bool
reply_list (const struct bench_store *store, const struct call *call)
{
  struct platform_object *found = xcalloc (store->count + 1, sizeof *found);
  struct platform_reply reply = { .status = STATUS_OK, .objects = found };
  for (size_t i = 0; i < store->count; i++)
    {
      const struct object *object = &store->objects[i];
      if (strcmp (object->kind, call->kind) != 0)
        continue;
      if (object->version > reply.revision)
        reply.revision = object->version;
      if (object->version > call->version)
        found[reply.count++]
            = (struct platform_object){ .name = object->name,
                                        .version = object->version,
                                        .value = object->value };
    }
  const bool has_reply = call->verb == VERB_LIST || reply.count > 0;
  if (has_reply)
    call->done (call->owner, &reply);
  free (found);
  return has_reply;
}

static bool
handle_call (const struct bench_platform *platform, struct call *call)
{
  struct bench_store *store = platform->store;
  if (call->verb == VERB_WATCH && call->seen_sequence == store->sequence)
    return false;
  call->seen_sequence = store->sequence;
  if (call->verb == VERB_LIST || call->verb == VERB_WATCH)
    return reply_list (store, call);
  const struct object *current = find (store, call->kind, call->name);
  if (call->verb == VERB_GET)
    {
      reply_one (call, current == NULL ? STATUS_NOT_FOUND : STATUS_OK,
                 current);
      return true;
    }
  if ((current == NULL ? 0 : current->version) != call->version)
    {
      reply_one (call, STATUS_REFUSED, current);
      return true;
    }
  bench_store_put (store, call->kind, call->name, call->value);
  reply_one (call, STATUS_OK, find (store, call->kind, call->name));
  return true;
}

static void
poll_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct bench_platform *platform = watcher->data;
  struct call *due = platform->calls;
  struct call *call;
  struct call *next;
  platform->calls = NULL;
  DL_FOREACH_SAFE (due, call, next)
  {
    DL_DELETE (due, call);
    if (handle_call (platform, call))
      call_free (call);
    else
      DL_APPEND (platform->calls, call);
  }
}

static void
enqueue_call (struct platform *base, const struct call *prototype)
{
  struct bench_platform *platform = (struct bench_platform *)base;
  struct call *call = xmalloc (sizeof *call);
  *call = *prototype;
  call->kind = xstrdup (prototype->kind);
  call->name = xstrdup (prototype->name);
  call->value = xstrdup (prototype->value);
  base->calls++;
  DL_APPEND (platform->calls, call);
}

static void
do_get (struct platform *platform, const char *kind, const char *name,
        platform_done *done, void *owner)
{
  enqueue_call (platform, &(struct call){ .verb = VERB_GET,
                                          .kind = (char *)kind,
                                          .name = (char *)name,
                                          .done = done,
                                          .owner = owner });
}

static void
do_list (struct platform *platform, const char *kind,
         enum platform_read_mode mode, platform_done *done, void *owner)
{
  enqueue_call (platform, &(struct call){ .verb = VERB_LIST,
                                          .kind = (char *)kind,
                                          .done = done,
                                          .owner = owner });
}

static void
do_put (struct platform *platform, const char *kind, const char *name,
        uint64_t expected, const char *value, platform_done *done, void *owner)
{
  enqueue_call (platform, &(struct call){ .verb = VERB_PUT,
                                          .kind = (char *)kind,
                                          .name = (char *)name,
                                          .value = (char *)value,
                                          .version = expected,
                                          .done = done,
                                          .owner = owner });
}

static void
do_watch (struct platform *platform, const char *kind, uint64_t revision,
          uint32_t timeout_ms, enum platform_read_mode mode,
          platform_done *done, void *owner)
{
  enqueue_call (platform, &(struct call){ .verb = VERB_WATCH,
                                          .kind = (char *)kind,
                                          .version = revision,
                                          .done = done,
                                          .owner = owner });
}

static void
do_cancel (struct platform *base, void *owner)
{
  struct bench_platform *platform = (struct bench_platform *)base;
  struct call *call;
  struct call *next;
  DL_FOREACH_SAFE (platform->calls, call, next)
  {
    if (owner != NULL && call->owner != owner)
      continue;
    DL_DELETE (platform->calls, call);
    call_free (call);
  }
}

static void
do_destroy (struct platform *base)
{
  struct bench_platform *platform = (struct bench_platform *)base;
  do_cancel (base, NULL);
  ev_timer_stop (platform->store->loop, &platform->poll);
  free (platform);
}

struct platform *
bench_platform_create (struct bench_store *store)
{
  static const struct platform_ops ops = { .get = do_get,
                                           .list = do_list,
                                           .put = do_put,
                                           .watch = do_watch,
                                           .cancel = do_cancel,
                                           .destroy = do_destroy };
  struct bench_platform *platform = xcalloc (1, sizeof *platform);
  platform->base.ops = &ops;
  platform->store = store;
  ev_timer_init (&platform->poll, poll_cb, 0, POLL_MS / 1000.0);
  platform->poll.data = platform;
  ev_timer_start (store->loop, &platform->poll);
  return &platform->base;
}
