/** @file
 * What a person needs to understand the state of a target: why, since when,
 * on whose evidence, and what would bring it back.
 */
#ifndef POLICY_DETECTION_EXPLANATION_H
#define POLICY_DETECTION_EXPLANATION_H

#include <stddef.h>
#include <stdint.h>

enum
{
  DETECTION_DCS_MAX = 16
};

/** Where a target stands. */
enum detection_state
{
  DETECTION_IN_SERVICE,
  DETECTION_EJECTED,  /**< no traffic until the back-off is over */
  DETECTION_PROBING,  /**< no traffic; probes must succeed first */
  DETECTION_ON_TRIAL, /**< ejected but for a trickle of real requests */
  DETECTION_WARMING   /**< back in service, share growing */
};

/** What the scores say of a target. */
enum detection_verdict
{
  DETECTION_GOOD,
  DETECTION_LEARNING,      /**< too little evidence to judge anyone */
  DETECTION_SUSPECT,       /**< score raised, below the threshold */
  DETECTION_BAD,           /**< to be ejected */
  DETECTION_PATH_FAULT,    /**< only one dc or host sees it fail */
  DETECTION_UPSTREAM_FAULT /**< bad, as are most others: not its fault */
};

/** Which test has the highest score. */
enum detection_reason
{
  DETECTION_REASON_SOME_FAILURES, /**< far more failures than its peers */
  DETECTION_REASON_MANY_FAILURES, /**< about every second request or more */
  DETECTION_REASON_SLOW,          /**< too many beyond the high quantile */
  DETECTION_TESTS,                /**< how many tests there are */
  DETECTION_REASON_NONE = DETECTION_TESTS
};

/** Recent evidence (fading over half a minute) of one dc's hosts. */
struct detection_dc_evidence
{
  uint64_t dc_key;
  uint32_t requests;
  uint32_t failures;
  uint32_t slow;
  double score; /**< of this dc's evidence alone */
};

struct detection_explanation
{
  enum detection_state state;
  int64_t state_since_us;
  enum detection_verdict verdict;
  enum detection_reason reason; /**< when ejected: what convicted it */
  double score;
  double threshold;
  double baseline_failures; /**< share that is normal in this service */
  int64_t slow_us;          /**< latencies from here on count as slow */
  double baseline_slow;     /**< share of slow ones that is normal */
  uint64_t path_dc_key;     /**< with DETECTION_PATH_FAULT */
  uint64_t path_host_key;   /**< 0: the whole dc */
  uint32_t hints_bad;       /**< unhealthy hints of late; never decisive */
  uint32_t flaps;           /**< ejections not yet forgiven */
  int64_t next_us;          /**< when the state may change next; 0: open */
  uint32_t share_permille;  /**< of an even share it gets */
  uint32_t good_needed;     /**< more good outcomes until it may return */
  struct detection_dc_evidence dcs[DETECTION_DCS_MAX];
  size_t dc_count;
};

const char *detection_state_name (enum detection_state state);
const char *detection_verdict_name (enum detection_verdict verdict);
const char *detection_reason_name (enum detection_reason reason);

/** Write one sentence for people into TEXT: the state, why, and what would
 * bring the target back.
 * @return the length it needs, as snprintf() */
int detection_explanation_format (const struct detection_explanation *e,
                                  int64_t now_us, char *text, size_t size);

#endif
