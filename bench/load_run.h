/** @file
 * One run of the load benchmark: seeded arrivals and fake targets, simulated
 * in virtual time.
 */
#ifndef BENCH_LOAD_RUN_H
#define BENCH_LOAD_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include "bench/load_balancer.h"

enum
{
  LOAD_SLOTS = 5,
  LOAD_SERVICE_US = 10000, /**< mean time of a good response */
  LOAD_DEADLINE_US = 300000,
};

/** The fault of target 0 from the onset on. */
enum gray_kind
{
  GRAY_NONE,
  GRAY_FAILS_ALL,
  GRAY_FAILS_40,
  GRAY_SLOW_10,
  GRAY_TIMES_OUT_HALF,
  GRAY_FLAPS, /**< fails all for 2 s, is healthy for 2 s, repeatedly */
  ALL_SLOW_3, /**< all targets are three times slower */
  GRAY_KINDS,
};

/** Parameters of a run. */
struct load_case
{
  uint32_t targets;
  uint32_t load_percent; /**< of the slots of ten targets */
  enum gray_kind gray;
  int64_t onset_us;
  int64_t end_us;
  uint64_t seed;
};

/** Results of a run, without the requests that arrived before the onset. */
struct load_result
{
  uint64_t requests;
  uint64_t good; /**< good responses within the deadline */
  uint64_t refused;
  uint64_t refused_after_waiting; /**< of the refused ones, after queueing */
  uint64_t failed;
  uint64_t failed_unrepeatable; /**< of the failed ones, sent once */
  uint64_t attempts;
  uint64_t gray_attempts;
  double seconds;
  int64_t avoided_requests; /**< until the gray target's share fell below
                                 a tenth of the fair one; -1 if it didn't */
  double avoided_ms;
};

struct load_result load_run (const struct load_case *c,
                             struct load_balancer *balancer);

#endif
