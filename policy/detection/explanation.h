/** @file
 * The state of a target as shown to operators: the reason, the time of the
 * last change, the evidence, and the condition for its return.
 */
#ifndef POLICY_DETECTION_EXPLANATION_H
#define POLICY_DETECTION_EXPLANATION_H

#include <stddef.h>
#include <stdint.h>

enum
{
  DETECTION_DCS_MAX = 16
};

/** State of a target. */
enum detection_state
{
  DETECTION_IN_SERVICE,
  DETECTION_EJECTED,  /**< no traffic until the back-off ends */
  DETECTION_PROBING,  /**< no traffic; probes must succeed first */
  DETECTION_ON_TRIAL, /**< ejected, but gets a small share of real requests */
  DETECTION_WARMING   /**< in service again, with a growing share */
};

/** Result of the evaluation of a target.  The names are those of the verdict
 * field in output. */
enum detection_verdict
{
  DETECTION_GOOD,
  DETECTION_LEARNING,      /**< too little evidence to evaluate any target */
  DETECTION_SUSPECT,       /**< elevated score, below the threshold */
  DETECTION_BAD,           /**< to be ejected */
  DETECTION_PATH_FAULT,    /**< only one dc or host observes failures */
  DETECTION_UPSTREAM_FAULT /**< bad, as most others are: a shared cause */
};

/** The test with the highest score. */
enum detection_reason
{
  DETECTION_REASON_SOME_FAILURES, /**< far more failures than its peers */
  DETECTION_REASON_MANY_FAILURES, /**< about half of the requests or more */
  DETECTION_REASON_SLOW, /**< too many requests beyond the high quantile */
  DETECTION_TESTS,       /**< number of tests */
  DETECTION_REASON_NONE = DETECTION_TESTS
};

/** Recent evidence of the hosts of one dc; it decays with a time constant of
 * 30 s. */
struct detection_dc_evidence
{
  uint64_t dc_key;
  uint32_t requests;
  uint32_t failures;
  uint32_t slow;
  double score; /**< from the evidence of this dc only */
};

struct detection_explanation
{
  enum detection_state state;
  int64_t state_since_us;
  enum detection_verdict verdict;
  enum detection_reason reason; /**< if ejected: why */
  double score;
  double threshold;
  double baseline_failures; /**< normal share of failures of the service */
  int64_t slow_us;          /**< latencies from this one on count as slow */
  double baseline_slow;   /**< normal share of slow requests of the service */
  uint64_t path_dc_key;   /**< with DETECTION_PATH_FAULT */
  uint64_t path_host_key; /**< 0: the whole dc */
  /** Consecutive hints other than HEALTHY; never decisive. */
  uint32_t hints_bad;
  uint32_t flaps;  /**< recent ejections, decaying with time in service */
  int64_t next_us; /**< when the state may change next; 0: unknown */
  uint32_t share_permille; /**< of an even share of the traffic */
  uint32_t good_needed;    /**< successful requests still needed to return */
  struct detection_dc_evidence dcs[DETECTION_DCS_MAX];
  size_t dc_count;
};

const char *detection_state_name (enum detection_state state);
const char *detection_verdict_name (enum detection_verdict verdict);
const char *detection_reason_name (enum detection_reason reason);

/** Writes one sentence for operators into TEXT: the state, the reasons, and
 * the condition for the return of the target.
 * @return the required length, as snprintf() */
int detection_explanation_format (const struct detection_explanation *e,
                                  int64_t now_us, char *text, size_t size);

#endif
