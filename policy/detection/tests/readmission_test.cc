#include <gtest/gtest.h>

extern "C"
{
#include "policy/detection/readmission.h"
}

namespace
{

constexpr int64_t second_us = 1000000;

readmission_options
test_options ()
{
  readmission_options options{};
  options.backoff_us = 10 * second_us;
  options.backoff_max_us = 60 * second_us;
  options.backoff_decay_us = 300 * second_us;
  options.warm_up_us = 10 * second_us;
  return options;
}

/* A target that repeatedly passes its trial and fails at once must stay out
   longer each time, so that fewer requests fail, but only up to a bound. */
TEST (Readmission, BackoffDoublesToABoundAndDecays)
{
  readmission_options options = test_options ();
  readmission r;
  readmission_init (&r, 0);
  int64_t now_us = 0;
  for (int64_t seconds : { 10, 20, 40, 60, 60 })
    {
      readmission_eject (&r, &options, now_us);
      EXPECT_EQ (r.until_us - now_us, seconds * second_us);
      readmission_tick (&r, &options, r.until_us - 1);
      EXPECT_EQ (r.state, DETECTION_EJECTED);
      now_us = r.until_us;
      readmission_tick (&r, &options, now_us);
      EXPECT_EQ (r.state, DETECTION_ON_TRIAL);
      readmission_reinstate (&r, &options, now_us);
    }
  now_us += 3 * options.backoff_decay_us;
  readmission_tick (&r, &options, now_us);
  EXPECT_EQ (r.state, DETECTION_IN_SERVICE);
  EXPECT_EQ (r.flaps, 2u);
}

/* A failed trial counts as a flap, too. */
TEST (Readmission, FailedTrialEjectsForLonger)
{
  readmission_options options = test_options ();
  readmission r;
  readmission_init (&r, 0);
  readmission_eject (&r, &options, 0);
  readmission_tick (&r, &options, r.until_us);
  const double bad[DETECTION_TESTS] = { 2, 7, 0 };
  int64_t now_us = 15 * second_us;
  EXPECT_TRUE (readmission_trial_update (&r, &options, now_us, 0, bad));
  EXPECT_EQ (r.state, DETECTION_EJECTED);
  EXPECT_EQ (r.until_us, now_us + 20 * second_us);
  EXPECT_FALSE (readmission_trial_passed (&r));
}

/* The trial share grows with successful requests and the slow start with
   time. */
TEST (Readmission, SharesGrow)
{
  readmission_options options = test_options ();
  readmission r;
  readmission_init (&r, 0);
  readmission_eject (&r, &options, 0);
  EXPECT_EQ (readmission_share_permille (&r, &options, 0), 0u);
  int64_t now_us = r.until_us;
  readmission_tick (&r, &options, now_us);
  const double good[DETECTION_TESTS] = { -0.1, -0.5, -0.5 };
  uint32_t last = 0;
  while (!readmission_trial_passed (&r))
    {
      uint32_t share = readmission_share_permille (&r, &options, now_us);
      EXPECT_GE (share, last);
      EXPECT_LE (share, 400u);
      last = share;
      ASSERT_LE (r.trial_good, 30u);
      readmission_trial_update (&r, &options, now_us, 1, good);
    }
  EXPECT_EQ (r.trial_good, 30u);
  readmission_reinstate (&r, &options, now_us);
  EXPECT_EQ (readmission_share_permille (&r, &options, now_us), 400u);
  EXPECT_EQ (readmission_share_permille (&r, &options, now_us + 5 * second_us),
             700u);
  readmission_tick (&r, &options, now_us + 10 * second_us);
  EXPECT_EQ (r.state, DETECTION_IN_SERVICE);
}

}
