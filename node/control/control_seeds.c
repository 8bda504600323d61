#include "node/control/control_internal.h"

#include "base/clock.h"

/* A seed gets a heartbeat like a neighbour; its answer shows whether its
   settings differ. */
static void
seed_ready (void *owner, struct peer_link *link)
{
  struct control_task *task = owner;
  const struct peer_message message
      = { .type = PEER_HEARTBEAT,
          .heartbeat
          = { .sequence = (uint64_t)clock_now_ms (),
              .relay_age_ms = UINT32_MAX,
              .settings_hash = settings_index_hash (task->index) } };
  peer_link_send (link, &message);
}

static void
seed_message (void *owner, struct peer_link *link,
              const struct peer_message *message)
{
  control_link_receive (owner, link, message);
}

static const struct peer_link_events seed_events
    = { .ready = seed_ready, .message = seed_message };

void
control_seeds_open (struct control_task *task)
{
  const struct host_settings *settings = task->options.settings;
  for (size_t i = 0; i < settings->peer_seed_count; i++)
    {
      const struct peer_link_options options
          = { .loop = task->options.loop,
              .identity = &task->identity,
              .events = &seed_events,
              .owner = task,
              .address = settings->peer_seeds[i],
              .name = "",
              .seed = rng_next (&task->random) };
      if (strcmp (settings->peer_seeds[i], settings->peer_address) != 0)
        task->seeds[i] = peer_link_create (&options);
    }
}

void
control_seeds_close (struct control_task *task)
{
  for (size_t i = 0; i < HOST_PEER_SEEDS_MAX; i++)
    {
      peer_link_destroy (task->seeds[i]);
      task->seeds[i] = NULL;
    }
}
