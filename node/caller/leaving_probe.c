#include "node/caller/leaving_probe.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"
#include "node/caller/target_call.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000
};

static const double PERIOD_SECONDS = 2.0;

/* One question to one target. */
struct question
{
  struct leaving_probe *probe;
  struct caller_service *service;
  uint64_t key;
  struct target_call *call;
  bool leaving;
  struct question *prev;
  struct question *next;
};

struct leaving_probe
{
  struct caller_context *context;
  ev_timer timer;
  struct question *questions;
};

static void
on_head (void *owner, const struct target_head *head)
{
  struct question *question = owner;
  const char *name = question->probe->context->interface->leaving;
  const char *leaving = header_list_find (head->headers, name);
  question->leaving = leaving != NULL && strcmp (leaving, "1") == 0;
}

static bool
on_body (void *owner, const char *data, size_t size)
{
  return true;
}

static void
finish (struct question *question)
{
  struct caller_service *service = question->service;
  const uint32_t target = caller_service_find_target (service, question->key);
  if (target != POLICY_NO_TARGET)
    service->targets[target].probing = false;
  DL_DELETE (question->probe->questions, question);
  caller_service_unref (service);
  free (question);
}

static void
on_end (void *owner, enum target_call_end end, const char *message)
{
  struct question *question = owner;
  if (end == TARGET_CALL_COMPLETE && !question->leaving)
    caller_service_set_leaving (question->service, question->key, false);
  finish (question);
}

static void
ask (struct leaving_probe *probe, struct caller_service *service, size_t i)
{
  static const struct target_call_events events
      = { .head = on_head, .body = on_body, .end = on_end };
  static const struct header_list no_headers;
  struct question *question = xcalloc (1, sizeof *question);
  service->targets[i].probing = true;
  caller_service_ref (service);
  question->probe = probe;
  question->service = service;
  question->key = service->targets[i].key;
  DL_APPEND (probe->questions, question);
  const struct target_call_options options
      = { .curl = probe->context->curl,
          .events = &events,
          .owner = question,
          .address = service->spec->targets[i].address,
          .method = "OPTIONS",
          .uri = "*",
          .headers = &no_headers,
          .force_new_connection = true,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  question->call = target_call_start (&options);
}

/* What has not answered by the next turn is asked anew. */
static void
drop_questions (struct leaving_probe *probe)
{
  struct question *question;
  struct question *next;
  DL_FOREACH_SAFE (probe->questions, question, next)
  {
    target_call_cancel (question->call);
    finish (question);
  }
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct leaving_probe *probe = timer->data;
  drop_questions (probe);
  struct caller_service *service;
  for (service = probe->context->services; service != NULL;
       service = service->hh.next)
    for (size_t i = 0;
         service->spec != NULL && i < service->spec->target_count; i++)
      if (service->targets[i].leaving && !service->targets[i].probing)
        ask (probe, service, i);
}

struct leaving_probe *
leaving_probe_create (struct caller_context *context)
{
  struct leaving_probe *probe = xcalloc (1, sizeof *probe);
  probe->context = context;
  ev_timer_init (&probe->timer, on_timer, PERIOD_SECONDS, PERIOD_SECONDS);
  probe->timer.data = probe;
  ev_timer_start (context->loop, &probe->timer);
  return probe;
}

void
leaving_probe_destroy (struct leaving_probe *probe)
{
  if (probe == NULL)
    return;
  drop_questions (probe);
  ev_timer_stop (probe->context->loop, &probe->timer);
  free (probe);
}
