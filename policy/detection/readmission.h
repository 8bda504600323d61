/** @file
 * One target's way out of service and back: ejected for a back-off, on trial
 * with a trickle of real requests, warming up, in service.
 *
 * A health endpoint that always says yes must not readmit, so only real
 * requests end a trial.  A service without repeatable routes sends its first
 * trial request only after probes have succeeded, and a smaller trickle.
 * Back-off doubles with each ejection that follows soon after a return, and
 * is forgiven with time in service.
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
  int64_t until_us;      /**< end of back-off or of warming */
  int64_t flap_decay_us; /**< when a flap was last forgiven */
  uint32_t flaps;
  uint32_t probes_good;  /**< in a row */
  uint32_t trial_good;   /**< good outcomes on this trial */
  uint32_t trial_needed; /**< good outcomes a trial takes */
  /** A fault's evidence on this trial, by test. */
  double trial_scores[DETECTION_TESTS];
};

void readmission_init (struct readmission *r, int64_t now_us);

/** The target was taken out of service. */
void readmission_eject (struct readmission *r,
                        const struct readmission_options *options,
                        int64_t now_us);

/** The target was put back. */
void readmission_reinstate (struct readmission *r,
                            const struct readmission_options *options,
                            int64_t now_us);

/** Let time pass: back-off ends, warming ends, flaps are forgiven. */
void readmission_tick (struct readmission *r,
                       const struct readmission_options *options,
                       int64_t now_us);

/** A probe ended. */
void readmission_probe_result (struct readmission *r,
                               const struct readmission_options *options,
                               int64_t now_us, bool ok);

/** Real requests on trial ended, GOOD of them well, with the log-likelihood
 * RATIOS of a fault by each test.  A trial that fails ejects again, for
 * longer.
 * @return true when it failed */
bool readmission_trial_update (struct readmission *r,
                               const struct readmission_options *options,
                               int64_t now_us, uint32_t good,
                               const double ratios[DETECTION_TESTS]);

/** Has the trial been passed? */
bool readmission_trial_passed (const struct readmission *r);

/** Good outcomes still missing until the trial is passed. */
uint32_t readmission_good_needed (const struct readmission *r);

/** Share of its even share of traffic that the target gets now, in 1/1000. */
uint32_t readmission_share_permille (const struct readmission *r,
                                     const struct readmission_options *options,
                                     int64_t now_us);

#endif
