#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/control/poison_record.h"
#include "policy/poison/poison_table.h"

enum
{
  QUEUED_WRITES_MAX = 64,
  STORED_NAMES_MAX = 1024,
};

/** A queued write or removal of a platform object. */
struct control_poison_write
{
  char name[FINGERPRINT_TEXT_SIZE];
  char *value; /* NULL: remove */
  struct control_poison_write *prev, *next;
};

/** A block that this host has stored or queued for storing. */
struct control_poison_stored_name
{
  char name[FINGERPRINT_TEXT_SIZE];
  char *value;
  bool is_lost; /* a restore may have lost it; to be written again */
  UT_hash_handle hh;
};

static void start_next_write (struct control_task *task);
static void queue_lost_blocks (struct control_task *task);

static void
drop_write (struct control_task *task)
{
  struct control_poison_write *write = task->poison.writes;
  DL_DELETE (task->poison.writes, write);
  task->poison.write_count--;
  free (write->value);
  free (write);
}

static void
retry_later (struct control_task *task, const struct platform_reply *reply)
{
  LOG_WARN ("poison-store-failed",
            LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
  control_retry_later (task, &task->poison.retry, &task->poison.backoff_ms);
}

/* A retry reads the object first and so detects a write whose response was
   lost. */
static void
put_done (void *owner, const struct platform_reply *reply)
{
  struct control_poison_store *store = owner;
  struct control_task *task = store->task;
  store->is_pending = false;
  if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    {
      retry_later (task, reply);
      return;
    }
  store->backoff_ms = 0;
  drop_write (task);
  start_next_write (task);
}

/* The current object provides the version for a conditional write. */
static void
get_done (void *owner, const struct platform_reply *reply)
{
  struct control_poison_store *store = owner;
  struct control_task *task = store->task;
  const struct control_poison_write *write = store->writes;
  const bool exists = reply->status == STATUS_OK && reply->count == 1
                      && reply->objects[0].value != NULL;
  const bool is_done
      = exists ? write->value != NULL
                     && strcmp (reply->objects[0].value, write->value) == 0
               : write->value == NULL;
  store->is_pending = false;
  if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    retry_later (task, reply);
  else if (is_done)
    {
      drop_write (task);
      start_next_write (task);
    }
  else
    {
      store->is_pending = true;
      platform_put (task->options.platform, PLATFORM_KIND_POISON, write->name,
                    exists ? reply->objects[0].version : PLATFORM_VERSION_NONE,
                    write->value, put_done, store);
    }
}

static void
start_next_write (struct control_task *task)
{
  struct control_poison_store *store = &task->poison;
  if (store->writes == NULL)
    queue_lost_blocks (task);
  if (store->is_pending || store->writes == NULL
      || ev_is_active (&store->retry))
    return;
  store->is_pending = true;
  platform_get (task->options.platform, PLATFORM_KIND_POISON,
                store->writes->name, get_done, store);
}

/* Takes ownership of VALUE, which is NULL for a removal. */
static void
add_write (struct control_task *task, const char *name, char *value)
{
  struct control_poison_store *store = &task->poison;
  if (store->write_count == QUEUED_WRITES_MAX)
    {
      LOG_WARN ("poison-store-failed", LOG_STR ("name", name),
                LOG_STR ("why", "too many writes are queued"));
      free (value);
      return;
    }
  struct control_poison_write *write = xcalloc (1, sizeof *write);
  snprintf (write->name, sizeof write->name, "%s", name);
  write->value = value;
  DL_APPEND (store->writes, write);
  store->write_count++;
  start_next_write (task);
}

static void
remove_stored_name (struct control_poison_store *store,
                    struct control_poison_stored_name *name)
{
  HASH_DEL (store->stored_names, name);
  free (name->value);
  free (name);
}

static void
add_stored_name (struct control_poison_store *store, const char *text,
                 const char *value)
{
  struct control_poison_stored_name *name;
  HASH_FIND_STR (store->stored_names, text, name);
  if (name != NULL)
    {
      free (name->value);
      name->value = xstrdup (value);
      return;
    }
  if (HASH_COUNT (store->stored_names) == STORED_NAMES_MAX)
    remove_stored_name (store, store->stored_names);
  name = xcalloc (1, sizeof *name);
  snprintf (name->name, sizeof name->name, "%s", text);
  name->value = xstrdup (value);
  HASH_ADD_STR (store->stored_names, name, name);
}

/* Queues blocks that a restore may have lost, as far as there is room. */
static void
queue_lost_blocks (struct control_task *task)
{
  struct control_poison_store *store = &task->poison;
  struct control_poison_stored_name *name;
  for (name = store->stored_names;
       name != NULL && store->write_count < QUEUED_WRITES_MAX;
       name = name->hh.next)
    {
      if (!name->is_lost)
        continue;
      name->is_lost = false;
      add_write (task, name->name, xstrdup (name->value));
    }
}

void
control_poison_store_write_again (struct control_task *task)
{
  struct control_poison_stored_name *name;
  for (name = task->poison.stored_names; name != NULL; name = name->hh.next)
    name->is_lost = true;
  queue_lost_blocks (task);
}

/* Several hosts store the same block, and one may write it after another has
   removed it.  The block would remain on the platform, so each host that has
   stored it removes it. */
void
control_poison_store_clear (struct control_task *task,
                            const struct fingerprint *fingerprint)
{
  struct control_poison_store *store = &task->poison;
  struct control_poison_stored_name *name;
  char text[FINGERPRINT_TEXT_SIZE];
  fingerprint_format (fingerprint, text);
  HASH_FIND_STR (store->stored_names, text, name);
  if (name == NULL)
    return;
  remove_stored_name (store, name);
  add_write (task, text, NULL);
}

void
control_poison_store_write (struct control_task *task,
                            const struct bus_poison *announced)
{
  const struct poison_row *row = &announced->rows[0];
  struct poison_record record
      = { .row = *row, .expires_unix_ms = clock_unix_ms () + row->left_ms };
  char name[FINGERPRINT_TEXT_SIZE];
  fingerprint_format (&row->fingerprint, name);
  snprintf (record.service, sizeof record.service, "%s", announced->service);
  char *value = row->strikes > 0 ? poison_record_format (&record) : NULL;
  if (value != NULL)
    add_stored_name (&task->poison, name, value);
  add_write (task, name, value);
}

static void
load_block (struct control_task *task, const struct platform_object *object,
            struct poison_row *rows, size_t *count)
{
  struct poison_record record;
  if (poison_record_parse (object->name, object->value, &record) != STATUS_OK)
    {
      LOG_WARN ("poison-record-refused", LOG_STR ("name", object->name),
                LOG_STR ("why", status_message ()));
      return;
    }
  const int64_t remaining_ms = record.expires_unix_ms - clock_unix_ms ();
  if (remaining_ms < -POISON_BLOCK_RETENTION_MS)
    {
      add_write (task, object->name, NULL);
      return;
    }
  record.row.left_ms = 0;
  if (remaining_ms > 0)
    record.row.left_ms
        = remaining_ms < UINT32_MAX ? (uint32_t)remaining_ms : UINT32_MAX;
  rows[(*count)++] = record.row;
}

static void list_blocks (struct control_poison_store *store);

static void
list_done (void *owner, const struct platform_reply *reply)
{
  struct control_poison_store *store = owner;
  struct control_task *task = store->task;
  if (reply->status != STATUS_OK)
    {
      control_retry_later (task, &store->list_retry, &store->list_backoff_ms);
      return;
    }
  if (reply->count == 0)
    return;
  struct poison_row *rows = xcalloc (reply->count, sizeof *rows);
  size_t count = 0;
  for (size_t i = 0; i < reply->count && count < POISON_ENTRIES_MAX; i++)
    if (reply->objects[i].value != NULL)
      load_block (task, &reply->objects[i], rows, &count);
  LOG_INFO ("poison-listed", LOG_INT ("blocked", count));
  control_poison_deliver (task, "", rows, count);
}

static void
list_blocks (struct control_poison_store *store)
{
  platform_list (store->task->options.platform, PLATFORM_KIND_POISON,
                 PLATFORM_READ_LATEST, list_done, store);
}

static void
list_retry_cb (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  list_blocks (timer->data);
}

static void
retry_cb (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  start_next_write (timer->data);
}

void
control_poison_store_prepare (struct control_task *task)
{
  struct control_poison_store *store = &task->poison;
  store->task = task;
  ev_timer_init (&store->retry, retry_cb, 0, 0);
  store->retry.data = task;
  ev_timer_init (&store->list_retry, list_retry_cb, 0, 0);
  store->list_retry.data = store;
}

void
control_poison_store_start (struct control_task *task)
{
  list_blocks (&task->poison);
}

void
control_poison_store_stop (struct control_task *task)
{
  struct control_poison_store *store = &task->poison;
  ev_timer_stop (task->options.loop, &store->retry);
  ev_timer_stop (task->options.loop, &store->list_retry);
  platform_cancel (task->options.platform, store);
}

void
control_poison_store_release (struct control_task *task)
{
  while (task->poison.writes != NULL)
    drop_write (task);
  struct control_poison_stored_name *name = task->poison.stored_names;
  HASH_CLEAR (hh, task->poison.stored_names);
  while (name != NULL)
    {
      struct control_poison_stored_name *next = name->hh.next;
      free (name->value);
      free (name);
      name = next;
    }
}
