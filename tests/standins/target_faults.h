/** @file
 * Faults that a stand-in target injects, and its counters.
 */
#ifndef STANDINS_TARGET_FAULTS_H
#define STANDINS_TARGET_FAULTS_H

#include <stdint.h>

#include <json-c/json.h>

enum
{
  TARGET_LIMIT_SIZE = 32,
};

/** Injected faults.  Those without another unit are in percent of requests. */
struct target_faults
{
  uint32_t fail;     /**< status 500 */
  uint32_t hang;     /**< no response at all */
  uint32_t cut;      /**< the response is truncated in the middle */
  uint32_t close;    /**< closed without a response, after the request ran */
  uint32_t early;    /**< shed after the head, without reading the body */
  uint32_t shed;     /**< refused with 503 and `Jaystair-Outcome: not-run` */
  uint32_t delay_ms; /**< delay before each response */
  uint32_t jitter;   /**< 1: the delay is random, between 0 and delay_ms */
  /** 1: a request on a reused connection runs, and the connection is then
   * closed without a response. */
  uint32_t close_reused;
  /** 1: a request whose path contains "/crash" crashes the target after the
   * run is recorded. */
  uint32_t crash;
  /** Value of Jaystair-Limit in each response; "": the field is absent. */
  char limit[TARGET_LIMIT_SIZE];
  uint32_t leave; /**< 1: sheds, with Jaystair-Leaving in each response */
};

/** Counters since the start. */
struct target_counts
{
  uint64_t runs;
  uint64_t cancelled;         /**< the client closed before the response */
  uint64_t truncated_uploads; /**< bodies that ended early */
  uint64_t connections;
};

/** Set the fault NAME to VALUE; unknown names are ignored. */
void target_faults_set (struct target_faults *faults, const char *name,
                        const char *value);

/** Return a new object with the members of COUNTS. */
struct json_object *target_counts_json (const struct target_counts *counts);

#endif
