/** @file
 * Expected work of the requests of a service, learned per request class,
 * route and service from the attempts that were answered.
 *
 * Work is the time in microseconds that a target of median speed takes for a
 * request.  Callers divide measured times by the slowness of the target
 * first; otherwise a class whose requests ran at slow targets would seem
 * expensive at all of them.  Samples decay with a half-life, since the work
 * of a class changes with the data behind it.
 */
#ifndef POLICY_COST_COST_MODEL_H
#define POLICY_COST_COST_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/cost/work_distribution.h"

enum
{
  COST_MODEL_HALF_LIFE_US = 10000000,
  /** Keys kept; the least recently used one is evicted. */
  COST_MODEL_KEYS_MAX = 1024,
  /** Keys of a request, from the most specific: class, route, service. */
  COST_MODEL_LEVELS = 3,
};

/** A measured amount of work. */
struct cost_sample
{
  double work_us;
  /** The attempt timed out: its work is at least this. */
  bool is_censored;
  /** Above 0, at most 1: how certain it is that the time was spent on work of
   * the request. */
  double weight;
};

struct cost_model;

struct cost_model *cost_model_create (void);
void cost_model_destroy (struct cost_model *model);

/** Expected work of a request with KEYS (0: unknown): the mean of the most
 * specific key that has one.
 * @return 0 if none has */
double cost_model_expected_us (const struct cost_model *model,
                               const uint64_t keys[COST_MODEL_LEVELS]);

/** Learn SAMPLE, taken at NOW_US, for all KEYS.  A new key starts from the
 * mean of the next less specific one.  A censored sample that isn't above
 * the mean of a key says nothing about it and is ignored. */
void cost_model_observe (struct cost_model *model, int64_t now_us,
                         const uint64_t keys[COST_MODEL_LEVELS],
                         const struct cost_sample *sample);

/** The distribution of work relative to what was expected. */
const struct work_distribution *
cost_model_distribution (const struct cost_model *model);

/** Number of keys. */
uint32_t cost_model_size (const struct cost_model *model);

#endif
