#include "node/caller/leaving_probe.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"
#include "node/caller/target_call.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  BODY_MAX_BYTES = 64 * 1024,
};

static const double PROBE_INTERVAL_S = 2.0;

/* A probe request to one target. */
struct pending_probe
{
  struct leaving_probe *probe;
  struct caller_service *service;
  uint64_t key;
  struct target_call *call;
  bool leaving;
  size_t body_bytes;
  struct pending_probe *prev;
  struct pending_probe *next;
};

struct leaving_probe
{
  struct caller_context *context;
  ev_timer timer;
  struct pending_probe *pending;
};

static const char *
on_head (void *owner, const struct target_head *head)
{
  struct pending_probe *pending = owner;
  const char *name = pending->probe->context->interface->leaving;
  const char *leaving = header_list_find (head->headers, name);
  pending->leaving = leaving != NULL && strcmp (leaving, "1") == 0;
  return NULL;
}

/* A longer body isn't received further, until the probe is cancelled. */
static bool
on_body (void *owner, const char *data, size_t size)
{
  struct pending_probe *pending = owner;
  pending->body_bytes += size;
  return pending->body_bytes <= BODY_MAX_BYTES;
}

static void
finish_probe (struct pending_probe *pending)
{
  struct caller_service *service = pending->service;
  const uint32_t target = caller_service_find_target (service, pending->key);
  if (target != POLICY_NO_TARGET)
    service->targets[target].probing = false;
  DL_DELETE (pending->probe->pending, pending);
  caller_service_unref (service);
  free (pending);
}

static void
on_end (void *owner, enum target_call_end end, const char *message)
{
  struct pending_probe *pending = owner;
  if (end == TARGET_CALL_COMPLETE && !pending->leaving)
    caller_service_set_leaving (pending->service, pending->key, false);
  finish_probe (pending);
}

static void
start_probe (struct leaving_probe *probe, struct caller_service *service,
             size_t i)
{
  static const struct target_call_events events
      = { .head = on_head, .body = on_body, .end = on_end };
  static const struct header_list no_headers;
  struct pending_probe *pending = xcalloc (1, sizeof *pending);
  service->targets[i].probing = true;
  caller_service_ref (service);
  pending->probe = probe;
  pending->service = service;
  pending->key = service->targets[i].key;
  DL_APPEND (probe->pending, pending);
  const struct target_call_options options
      = { .curl = probe->context->curl,
          .events = &events,
          .owner = pending,
          .address = service->spec->targets[i].address,
          .method = "OPTIONS",
          .uri = "*",
          .headers = &no_headers,
          .force_new_connection = true,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  pending->call = target_call_start (&options);
}

/* Cancel the probes without a response; on_timer() repeats them. */
static void
cancel_pending (struct leaving_probe *probe)
{
  struct pending_probe *pending;
  struct pending_probe *next;
  DL_FOREACH_SAFE (probe->pending, pending, next)
  {
    target_call_cancel (pending->call);
    finish_probe (pending);
  }
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct leaving_probe *probe = timer->data;
  cancel_pending (probe);
  struct caller_service *service;
  for (service = probe->context->services; service != NULL;
       service = service->hh.next)
    for (size_t i = 0;
         service->spec != NULL && i < service->spec->target_count; i++)
      if (service->targets[i].leaving && !service->targets[i].probing)
        start_probe (probe, service, i);
}

struct leaving_probe *
leaving_probe_create (struct caller_context *context)
{
  struct leaving_probe *probe = xcalloc (1, sizeof *probe);
  probe->context = context;
  ev_timer_init (&probe->timer, on_timer, PROBE_INTERVAL_S, PROBE_INTERVAL_S);
  probe->timer.data = probe;
  ev_timer_start (context->loop, &probe->timer);
  return probe;
}

void
leaving_probe_destroy (struct leaving_probe *probe)
{
  if (probe == NULL)
    return;
  cancel_pending (probe);
  ev_timer_stop (probe->context->loop, &probe->timer);
  free (probe);
}
