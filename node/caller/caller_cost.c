#include "node/caller/caller_cost.h"

#include "base/clock.h"
#include "base/hash.h"

enum
{
  /* Sizes of one class differ by less than a factor of four. */
  SIZE_CLASS_SHIFT = 2,
  SIZE_CLASS_UNKNOWN = 64,
};

void
caller_cost_update_services (struct caller_context *context)
{
  for (struct caller_service *service = context->services; service != NULL;
       service = service->hh.next)
    caller_service_set_by_cost (
        service,
        context->settings->placement.by_cost
            && route_table_routes_differ (context->routes, service->name));
}

static uint64_t
size_class (const struct request_head *head)
{
  if (head->body == REQUEST_BODY_CHUNKED)
    return SIZE_CLASS_UNKNOWN;
  uint64_t bytes
      = head->body == REQUEST_BODY_SIZED ? (uint64_t)head->body_bytes : 0;
  uint64_t steps = 0;
  for (; bytes > 0; bytes >>= SIZE_CLASS_SHIFT)
    steps++;
  return steps;
}

void
caller_cost_keys (const struct exchange *x, uint64_t keys[POLICY_COST_KEYS])
{
  for (int i = 0; i < POLICY_COST_KEYS; i++)
    keys[i] = 0;
  if (!x->service->by_cost)
    return;
  const uint64_t service = hash_string (x->service->name);
  uint64_t route = hash_pair (service, hash_string (x->route));
  route = hash_pair (route, hash_string (x->route_host));
  /* Routes of one prefix for different methods. */
  route = hash_pair (route, x->repeatable);
  uint64_t request_class = hash_pair (route, hash_string (x->head.method));
  request_class = hash_pair (request_class, x->workspace_key);
  request_class = hash_pair (request_class, size_class (&x->head));
  keys[0] = request_class;
  keys[1] = route;
  keys[2] = service;
}

void
caller_cost_learn (struct exchange *x, enum attempt_end end,
                   int64_t latency_us)
{
  const struct exchange_attempt *attempt = &x->attempt;
  struct caller_service *service = x->service;
  const struct caller_counters *counters = &x->context->counters;
  /* The time to the head isn't the whole time, and the time through another
     host isn't only the target's. */
  const bool is_partial = attempt->caller_was_slow && attempt->head_received;
  if (!service->by_cost || is_partial || attempt->is_indirect)
    return;
  if (end == ATTEMPT_ANSWERED && attempt->expected_us > 0)
    {
      caller_counters_add_amount (counters->expected_work, service->name,
                                  attempt->expected_us);
      caller_counters_add_amount (counters->actual_work, service->name,
                                  latency_us);
    }
  const struct policy_outcome outcome
      = { .target = service_policy_find (service->policy, attempt->key),
          .end = end,
          .latency_us = latency_us,
          .repeatable = x->repeatable };
  uint64_t keys[POLICY_COST_KEYS];
  caller_cost_keys (x, keys);
  service_policy_learn_work (service->policy, clock_now_us (), &outcome, keys);
}
