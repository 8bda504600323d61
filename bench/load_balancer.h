/** @file
 * The balancers that the load benchmark compares, service_policy and naive
 * ones, behind one interface.
 */
#ifndef BENCH_LOAD_BALANCER_H
#define BENCH_LOAD_BALANCER_H

#include "policy/service_policy.h"

/** A load balancer; first member of each implementation. */
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

/** Target selection of a naive balancer. */
enum naive_kind
{
  NAIVE_ROUND_ROBIN,
  NAIVE_LEAST_IN_FLIGHT,
};

/** A balancer that uses service_policy. */
struct load_balancer *
policy_balancer_create (const struct service_policy_options *options,
                        const struct policy_target *targets, uint32_t count);

/** A balancer that respects slots, has a bounded FIFO queue and retries
 * without a budget, and ignores outcomes. */
struct load_balancer *
naive_balancer_create (enum naive_kind kind,
                       const struct service_policy_options *options,
                       const struct policy_target *targets, uint32_t count);

#endif
