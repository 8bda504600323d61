/** @file
 * What the load benchmark compares: the project's policy and naive ones
 * behind one interface.
 */
#ifndef BENCH_LOAD_BALANCER_H
#define BENCH_LOAD_BALANCER_H

#include "policy/service_policy.h"

/** One way to spread requests.  First member of each implementation. */
struct load_balancer
{
  struct policy_decision (*admit) (struct load_balancer *self, int64_t now_us,
                                   const struct policy_request *r);
  void (*outcome) (struct load_balancer *self, int64_t now_us,
                   const struct policy_outcome *outcome);
  bool (*next) (struct load_balancer *self, int64_t now_us,
                struct policy_decision *decision);
  int64_t (*wake_us) (struct load_balancer *self);
  void (*destroy) (struct load_balancer *self);
};

/** How naive balancers choose. */
enum naive_kind
{
  NAIVE_ROUND_ROBIN,
  NAIVE_LEAST_IN_FLIGHT,
};

/** service_policy. */
struct load_balancer *
policy_balancer_create (const struct service_policy_options *options,
                        const struct policy_target *targets, uint32_t count);

/** Slots respected, a bounded first-in first-out queue, retries without a
 * budget, no look at outcomes. */
struct load_balancer *
naive_balancer_create (enum naive_kind kind,
                       const struct service_policy_options *options,
                       const struct policy_target *targets, uint32_t count);

#endif
