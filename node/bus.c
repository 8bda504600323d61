#include "node/bus.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/xmalloc.h"

struct subscription
{
  enum bus_topic topic;
  bus_handler *handler;
  void *owner; /* NULL once unsubscribed */
  struct subscription *prev, *next;
};

struct queued_message
{
  struct bus_message message;
  struct queued_message *prev;
  struct queued_message *next;
};

struct bus
{
  struct ev_loop *loop;
  struct ev_prepare deliver;
  struct ev_idle keep_awake; /* keeps the loop running while messages wait */
  struct subscription *subscriptions;
  struct queued_message *queue;
  bool delivering;
};

static void
message_release (struct bus_message *message)
{
  switch (message->topic)
    {
    case BUS_SERVICE_IN_FORCE:
      service_spec_destroy (message->service_in_force.spec);
      break;
    case BUS_CONFIG_IN_FORCE:
      fleet_config_destroy (message->config_in_force.config);
      break;
    case BUS_EJECTIONS:
      free (message->ejections.targets);
      break;
    case BUS_PATH_FAULTS:
      free (message->path_faults.targets);
      break;
    case BUS_HOST_SET:
    case BUS_HOST_SAMPLE:
      free (message->host_set.hosts);
      break;
    case BUS_POISON_ANNOUNCED:
    case BUS_POISON_RECEIVED:
      free (message->poison.rows);
      break;
    case BUS_LIMITS_ANNOUNCED:
    case BUS_LIMITS_RECEIVED:
      free (message->limits.rows);
      break;
    case BUS_SERVICE_REMOVED:
    case BUS_SLOT_SHARES:
    case BUS_OUTCOME_OBSERVED:
    case BUS_OUTCOME_RECEIVED:
    case BUS_MEMBERS:
    case BUS_FRESHNESS:
    case BUS_FRESHNESS_REQUESTED:
    case BUS_CONTACT:
    case BUS_CONTACT_REQUESTED:
    case BUS_QUOTA_REQUESTED:
    case BUS_QUOTA_GRANTED:
    case BUS_RETRIES_WANTED:
    case BUS_RETRIES_REQUESTED:
    case BUS_RETRIES_TRANSFERRED:
    case BUS_RETRIES_RECEIVED:
    case BUS_SHUTDOWN:
    case BUS_TOPIC_COUNT:
      break;
    }
}

/* A handler may unsubscribe, even itself, while the list is iterated; such
   subscriptions are only marked and are freed here. */
static void
free_unsubscribed (struct bus *bus)
{
  struct subscription *subscription;
  struct subscription *next;
  DL_FOREACH_SAFE (bus->subscriptions, subscription, next)
  {
    if (subscription->owner != NULL)
      continue;
    DL_DELETE (bus->subscriptions, subscription);
    free (subscription);
  }
}

static void
dispatch (struct bus *bus, const struct bus_message *message)
{
  const struct subscription *subscription;
  DL_FOREACH (bus->subscriptions, subscription)
  {
    if (subscription->topic == message->topic && subscription->owner != NULL)
      subscription->handler (subscription->owner, message);
  }
}

static void
deliver_cb (struct ev_loop *loop, struct ev_prepare *watcher, int events)
{
  struct bus *bus = watcher->data;
  bus->delivering = true;
  while (bus->queue != NULL)
    {
      struct queued_message *pending = bus->queue;
      DL_DELETE (bus->queue, pending);
      dispatch (bus, &pending->message);
      message_release (&pending->message);
      free (pending);
    }
  bus->delivering = false;
  free_unsubscribed (bus);
  ev_idle_stop (loop, &bus->keep_awake);
}

static void
keep_awake_cb (struct ev_loop *loop, struct ev_idle *watcher, int events)
{
}

struct bus *
bus_create (struct ev_loop *loop)
{
  struct bus *bus = xcalloc (1, sizeof *bus);
  bus->loop = loop;
  ev_prepare_init (&bus->deliver, deliver_cb);
  bus->deliver.data = bus;
  ev_prepare_start (loop, &bus->deliver);
  ev_idle_init (&bus->keep_awake, keep_awake_cb);
  return bus;
}

void
bus_destroy (struct bus *bus)
{
  if (bus == NULL)
    return;
  ev_prepare_stop (bus->loop, &bus->deliver);
  ev_idle_stop (bus->loop, &bus->keep_awake);
  while (bus->queue != NULL)
    {
      struct queued_message *pending = bus->queue;
      DL_DELETE (bus->queue, pending);
      message_release (&pending->message);
      free (pending);
    }
  while (bus->subscriptions != NULL)
    {
      struct subscription *subscription = bus->subscriptions;
      DL_DELETE (bus->subscriptions, subscription);
      free (subscription);
    }
  free (bus);
}

void
bus_subscribe (struct bus *bus, enum bus_topic topic, bus_handler *handler,
               void *owner)
{
  struct subscription *subscription = xcalloc (1, sizeof *subscription);
  subscription->topic = topic;
  subscription->handler = handler;
  subscription->owner = owner;
  DL_APPEND (bus->subscriptions, subscription);
}

void
bus_unsubscribe (struct bus *bus, void *owner)
{
  struct subscription *subscription;
  DL_FOREACH (bus->subscriptions, subscription)
  {
    if (subscription->owner == owner)
      subscription->owner = NULL;
  }
  if (!bus->delivering)
    free_unsubscribed (bus);
}

void
bus_post (struct bus *bus, const struct bus_message *message)
{
  struct queued_message *pending = xcalloc (1, sizeof *pending);
  pending->message = *message;
  DL_APPEND (bus->queue, pending);
  ev_idle_start (bus->loop, &bus->keep_awake);
}
