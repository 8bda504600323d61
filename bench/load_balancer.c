#include "bench/load_balancer.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

struct policy_balancer
{
  struct load_balancer base;
  struct service_policy *policy;
};

static struct service_policy *
policy_of (struct load_balancer *self)
{
  return ((struct policy_balancer *)self)->policy;
}

static struct policy_decision
policy_admit (struct load_balancer *self, int64_t now_us,
              const struct policy_request *r)
{
  return service_policy_admit (policy_of (self), now_us, r);
}

static void
policy_outcome (struct load_balancer *self, int64_t now_us,
                const struct policy_outcome *outcome)
{
  service_policy_outcome (policy_of (self), now_us, outcome);
}

static bool
policy_next (struct load_balancer *self, int64_t now_us,
             struct policy_decision *decision)
{
  return service_policy_next (policy_of (self), now_us, decision);
}

static int64_t
policy_wake_us (struct load_balancer *self)
{
  return service_policy_wake_us (policy_of (self));
}

static void
policy_destroy (struct load_balancer *self)
{
  service_policy_destroy (policy_of (self));
  free (self);
}

struct load_balancer *
policy_balancer_create (const struct service_policy_options *options,
                        const struct policy_target *targets, uint32_t count)
{
  struct policy_balancer *b = xcalloc (1, sizeof *b);
  b->base = (struct load_balancer){
    .admit = policy_admit,
    .outcome = policy_outcome,
    .next = policy_next,
    .wake_us = policy_wake_us,
    .destroy = policy_destroy,
  };
  b->policy = service_policy_create (options);
  service_policy_set_targets (b->policy, 0, targets, count);
  return &b->base;
}

struct naive_balancer
{
  struct load_balancer base;
  enum naive_kind kind;
  uint32_t count;
  uint32_t next_target;
  uint32_t *in_flight;
  uint32_t *slots;
  struct policy_request *queue;
  uint32_t queued;
  uint32_t queue_max;
  uint32_t attempts;
};

static uint32_t
naive_choose (struct naive_balancer *b)
{
  uint32_t best = POLICY_NO_TARGET;
  for (uint32_t i = 0; i < b->count; i++)
    {
      const uint32_t t = (b->next_target + i) % b->count;
      if (b->in_flight[t] >= b->slots[t])
        continue;
      if (best == POLICY_NO_TARGET || b->in_flight[t] < b->in_flight[best])
        best = t;
      if (b->kind == NAIVE_ROUND_ROBIN)
        break;
    }
  if (best != POLICY_NO_TARGET)
    b->next_target = (best + 1) % b->count;
  return best;
}

static bool
naive_send (struct naive_balancer *b, const struct policy_request *r,
            struct policy_decision *d)
{
  const uint32_t target = naive_choose (b);
  if (target == POLICY_NO_TARGET)
    return false;
  b->in_flight[target]++;
  *d = (struct policy_decision){
    .verdict = POLICY_SEND,
    .target = target,
    .request_id = r->id,
  };
  return true;
}

static struct policy_decision
naive_admit (struct load_balancer *self, int64_t now_us,
             const struct policy_request *r)
{
  struct naive_balancer *b = (struct naive_balancer *)self;
  struct policy_decision d = { .verdict = POLICY_REFUSE, .request_id = r->id };
  if (r->attempt > b->attempts || r->deadline_us <= now_us)
    return d;
  if (b->queued == 0 && naive_send (b, r, &d))
    return d;
  if (b->queued == b->queue_max)
    return d;
  b->queue[b->queued++] = *r;
  d.verdict = POLICY_QUEUE;
  return d;
}

static void
naive_outcome (struct load_balancer *self, int64_t now_us,
               const struct policy_outcome *outcome)
{
  ((struct naive_balancer *)self)->in_flight[outcome->target]--;
}

static bool
naive_next (struct load_balancer *self, int64_t now_us,
            struct policy_decision *decision)
{
  struct naive_balancer *b = (struct naive_balancer *)self;
  if (b->queued == 0)
    return false;
  const struct policy_request r = b->queue[0];
  if (r.deadline_us <= now_us)
    *decision = (struct policy_decision){
      .verdict = POLICY_REFUSE,
      .request_id = r.id,
    };
  else if (!naive_send (b, &r, decision))
    return false;
  b->queued--;
  memmove (b->queue, b->queue + 1, b->queued * sizeof *b->queue);
  return true;
}

static int64_t
naive_wake_us (struct load_balancer *self)
{
  const struct naive_balancer *b = (struct naive_balancer *)self;
  return b->queued > 0 ? b->queue[0].deadline_us : INT64_MAX;
}

static void
naive_destroy (struct load_balancer *self)
{
  struct naive_balancer *b = (struct naive_balancer *)self;
  free (b->in_flight);
  free (b->slots);
  free (b->queue);
  free (b);
}

struct load_balancer *
naive_balancer_create (enum naive_kind kind,
                       const struct service_policy_options *options,
                       const struct policy_target *targets, uint32_t count)
{
  struct naive_balancer *b = xcalloc (1, sizeof *b);
  b->base = (struct load_balancer){
    .admit = naive_admit,
    .outcome = naive_outcome,
    .next = naive_next,
    .wake_us = naive_wake_us,
    .destroy = naive_destroy,
  };
  b->kind = kind;
  b->count = count;
  b->queue_max = options->queue_requests;
  b->attempts = options->attempts;
  b->in_flight = xcalloc (count, sizeof *b->in_flight);
  b->slots = xcalloc (count, sizeof *b->slots);
  for (uint32_t i = 0; i < count; i++)
    b->slots[i] = targets[i].slots;
  b->queue = xcalloc (b->queue_max + 1, sizeof *b->queue);
  return &b->base;
}
