/** @file
 * What a stand-in target does wrong, and what it counts.
 */
#ifndef STANDINS_TARGET_FAULTS_H
#define STANDINS_TARGET_FAULTS_H

#include <stdint.h>

#include <json-c/json.h>

enum
{
  TARGET_LIMIT_SIZE = 32,
};

/** What goes wrong; shares are in percent of requests. */
struct target_faults
{
  uint32_t fail;     /**< answered with 500 */
  uint32_t hang;     /**< never answered */
  uint32_t cut;      /**< the answer ends in its middle */
  uint32_t close;    /**< closed without an answer, after the request ran */
  uint32_t early;    /**< shed at the head, without reading the body */
  uint32_t shed;     /**< refused with 503 and `Jaystair-Outcome: not-run` */
  uint32_t delay_ms; /**< before each answer */
  uint32_t jitter;   /**< 1: the delay is any from 0 to delay_ms */
  /** 1: a request on a connection that carried one before runs and is then
   * closed without an answer. */
  uint32_t close_reused;
  /** 1: a request whose path contains "/crash" crashes the target after its
   * run was recorded. */
  uint32_t crash;
  /** Value of Jaystair-Limit in each answer; "": the field is absent. */
  char limit[TARGET_LIMIT_SIZE];
  uint32_t leave; /**< 1: says so in each answer, and sheds */
};

/** Totals. */
struct target_counts
{
  uint64_t runs;
  uint64_t cancelled; /**< the other side closed before the answer */
  uint64_t truncated_uploads;
  uint64_t connections;
};

/** Set the member called NAME to the number in VALUE; other names are
 * ignored. */
void target_faults_set (struct target_faults *faults, const char *name,
                        const char *value);

/** The members of COUNTS as a new object. */
struct json_object *target_counts_json (const struct target_counts *counts);

#endif
