/** @file
 * Metrics of the caller side.
 */
#ifndef NODE_CALLER_CALLER_COUNTERS_H
#define NODE_CALLER_CALLER_COUNTERS_H

#include "base/counters.h"

/** The metric families; each use looks up a series by its labels. */
struct caller_counters
{
  struct counter_family *requests;        /**< by service and outcome */
  struct counter_family *attempts;        /**< by service and end */
  struct counter_family *retries;         /**< by service */
  struct counter_family *timeouts;        /**< by service and next step */
  struct counter_family *working_set;     /**< by service */
  struct counter_family *refusals;        /**< by service and reason */
  struct counter_family *precedence;      /**< by service and reason */
  struct counter_family *target_crashes;  /**< by service */
  struct counter_family *rejections;      /**< by service and connection */
  struct counter_family *foreign_answers; /**< by service */
  struct counter_family *half_closed;     /**< by service and what followed */
  struct counter_family *poison_blocks;   /**< by source */
  struct counter_family *request_times;   /**< by service and outcome */
  struct counter_family *attempt_times;   /**< by service and end */
  struct counter_histogram *config_age;   /**< of each routed request */
  struct counter_family *forwards;        /**< by service */
  struct counter_family *expected_work;   /**< by service */
  struct counter_family *actual_work;     /**< by service */
  struct counter *in_flight;
  struct counter *lingering; /**< closed connections still delivered */
  struct counter *cut_from_targets;
  struct counter *address_answers;
};

/** Register the families with COUNTERS. */
void caller_counters_init (struct caller_counters *families,
                           struct counters *counters);

/** Add one to the series of FAMILY with labels FIRST and SECOND; SECOND is
 * NULL for a family with one label. */
void caller_counters_add (struct counter_family *family, const char *first,
                          const char *second);

/** Add AMOUNT to the series of FAMILY with label FIRST. */
void caller_counters_add_amount (struct counter_family *family,
                                 const char *first, int64_t amount);

/** Observe TIME_US in the histogram of FAMILY with labels FIRST and SECOND. */
void caller_counters_observe (struct counter_family *family, const char *first,
                              const char *second, int64_t time_us);

#endif
