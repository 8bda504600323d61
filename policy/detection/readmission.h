/** @file
 * The ejection and return of one target: ejected for a back-off time, on trial
 * with a small share of real requests, warming up, in service.
 *
 * A health endpoint that always reports healthy must not readmit a target, so
 * only real requests end a trial.  A service without repeatable routes sends
 * its first trial request only after probes have succeeded, and uses a smaller
 * trial share.  The back-off doubles with each ejection that follows soon
 * after a return, and the number of counted ejections decreases with time in
 * service.
 */
#ifndef POLICY_DETECTION_READMISSION_H
#define POLICY_DETECTION_READMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/detection/explanation.h"

struct readmission_options
{
  bool probe_first; /**< the service has no repeatable routes */
  int64_t backoff_us;
  int64_t backoff_max_us;
  int64_t backoff_decay_us;
  int64_t warm_up_us;
};

struct readmission
{
  enum detection_state state;
  int64_t since_us;
  int64_t until_us;      /**< end of the back-off or of the warm-up */
  int64_t flap_decay_us; /**< when the flap count last decayed */
  uint32_t flaps;
  uint32_t probes_good;  /**< consecutive */
  uint32_t trial_good;   /**< successful requests on this trial */
  uint32_t trial_needed; /**< successful requests needed to pass */
  /** The score of this trial by each test. */
  double trial_scores[DETECTION_TESTS];
};

void readmission_init (struct readmission *r, int64_t now_us);

/** Ejects the target if it is in service or warming. */
void readmission_eject (struct readmission *r,
                        const struct readmission_options *options,
                        int64_t now_us);

/** Returns the target to service; it starts to warm up. */
void readmission_reinstate (struct readmission *r,
                            const struct readmission_options *options,
                            int64_t now_us);

/** Advances to NOW_US: ends the back-off or the warm-up and decays the flap
 * count. */
void readmission_tick (struct readmission *r,
                       const struct readmission_options *options,
                       int64_t now_us);

/** Reports the result of a probe. */
void readmission_probe_result (struct readmission *r,
                               const struct readmission_options *options,
                               int64_t now_us, bool ok);

/** Reports real requests of a trial: GOOD of them succeeded, and RATIOS are
 * the log-likelihood ratios by each test.  A failed trial ejects the target
 * again, for longer.
 * @return true if the trial failed */
bool readmission_trial_update (struct readmission *r,
                               const struct readmission_options *options,
                               int64_t now_us, uint32_t good,
                               const double ratios[DETECTION_TESTS]);

/** Returns whether the trial is passed. */
bool readmission_trial_passed (const struct readmission *r);

/** Returns the number of successful requests still needed to pass the trial.
 */
uint32_t readmission_good_needed (const struct readmission *r);

/** Returns the current traffic share of the target, in permille of an even
 * share. */
uint32_t readmission_share_permille (const struct readmission *r,
                                     const struct readmission_options *options,
                                     int64_t now_us);

#endif
