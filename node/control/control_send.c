#include "node/control/control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/xmalloc.h"

/** An encoded message to this host itself. */
struct control_local_message
{
  char *bytes;
  size_t size;
  struct control_local_message *prev;
  struct control_local_message *next;
};

void
control_call_handler (struct control_task *task, const char *from,
                      const struct peer_message *message)
{
  const struct control_handler_entry *entry = &task->handlers[message->type];
  if (entry->handler != NULL)
    entry->handler (entry->owner, from, message);
}

static void
deliver_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  struct control_local_message *queue = task->local_messages;
  struct control_local_message *entry;
  struct control_local_message *next;
  task->local_messages = NULL;
  DL_FOREACH_SAFE (queue, entry, next)
  {
    struct peer_message message;
    if (peer_message_decode (entry->bytes, entry->size, &message) == STATUS_OK)
      {
        control_call_handler (task, task->self->record.name, &message);
        peer_message_release (&message);
      }
    free (entry->bytes);
    free (entry);
  }
}

static void
send_to_self (struct control_task *task, const struct peer_message *message)
{
  struct control_local_message *entry = xcalloc (1, sizeof *entry);
  entry->bytes = peer_message_encode (message, &entry->size);
  DL_APPEND (task->local_messages, entry);
  if (!ev_is_active (&task->local_timer))
    ev_timer_start (task->options.loop, &task->local_timer);
}

enum status
control_send (struct control_task *task, const char *to,
              const struct peer_message *message)
{
  struct control_host *host = control_hosts_by_name (task, to);
  if (host == NULL)
    return status_set (STATUS_NOT_FOUND, "no host is named %s", to);
  if (host != task->self)
    return control_hosts_send (task, host, message);
  send_to_self (task, message);
  return STATUS_OK;
}

void
control_subscribe (struct control_task *task, enum peer_type type,
                   control_handler *handler, void *owner)
{
  task->handlers[type]
      = (struct control_handler_entry){ .handler = handler, .owner = owner };
}

void
control_send_prepare (struct control_task *task)
{
  ev_timer_init (&task->local_timer, deliver_cb, 0, 0);
  task->local_timer.data = task;
}

void
control_send_release (struct control_task *task)
{
  struct control_local_message *entry;
  struct control_local_message *next;
  ev_timer_stop (task->options.loop, &task->local_timer);
  DL_FOREACH_SAFE (task->local_messages, entry, next)
  {
    free (entry->bytes);
    free (entry);
  }
}
