#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C"
{
#include "policy/choice/run_record.h"
}

namespace
{

constexpr uint32_t promises[] = { 408, 421, 429, 503 };

/* One attempt as the network sees it. */
struct Attempt
{
  bool byte_left = false;
  bool stated_not_run = false;
};

/* Knows of each attempt what happened to it, not only what the host saw. */
struct Reference
{
  std::vector<Attempt> attempts;
  bool host_reported = false;

  bool
  has_run_perhaps () const
  {
    for (const Attempt &attempt : attempts)
      if (attempt.byte_left && !attempt.stated_not_run)
        return true;
    return host_reported;
  }
};

/* Guards against a promise of "not run" while an attempt is in flight. */
TEST (RunRecord, AttemptMayHaveRunFromItsBeginning)
{
  run_record record = {};
  EXPECT_FALSE (run_record_may_have_run (&record));
  run_record_begin (&record);
  EXPECT_TRUE (run_record_may_have_run (&record));
  EXPECT_FALSE (run_record_may_have_run_before (&record));
  for (uint32_t status : promises)
    EXPECT_EQ (run_record_status (&record, status), 502u);
  EXPECT_EQ (run_record_status (&record, 504), 504u);
  EXPECT_EQ (run_record_status (&record, 404), 404u);
}

/* Guards against a lost attempt that a later rejection takes back. */
TEST (RunRecord, ProofHoldsForTheLastAttemptOnly)
{
  for (run_proof proof :
       { RUN_PROOF_NEVER_SENT, RUN_PROOF_REJECTED, RUN_PROOF_HOST_REFUSED })
    {
      run_record record = {};
      run_record_begin (&record);
      run_record_end (&record, proof);
      EXPECT_FALSE (run_record_may_have_run (&record));
      EXPECT_EQ (run_record_status (&record, 503), 503u);
      run_record_begin (&record);
      run_record_end (&record, RUN_PROOF_NONE);
      run_record_begin (&record);
      EXPECT_TRUE (run_record_may_have_run_before (&record));
      run_record_end (&record, proof);
      EXPECT_TRUE (run_record_may_have_run (&record));
    }
}

/* Guards against a report of another host that this host's own proofs take
   back. */
TEST (RunRecord, ReportOfAnotherHostStays)
{
  run_record record = {};
  run_record_note_host (&record);
  EXPECT_TRUE (run_record_may_have_run (&record));
  run_record_begin (&record);
  EXPECT_TRUE (run_record_may_have_run_before (&record));
  run_record_end (&record, RUN_PROOF_REJECTED);
  EXPECT_EQ (run_record_status (&record, 429), 502u);
}

/* Ends the last attempt as one of the ways in which attempts end: without a
   word, unsent, rejected, refused. */
void
end_attempt (std::mt19937 &random, run_record *record, Attempt *attempt)
{
  switch (random () % 4)
    {
    case 0:
      run_record_end (record, RUN_PROOF_NONE);
      break;
    case 1:
      if (!attempt->byte_left)
        run_record_end (record, RUN_PROOF_NEVER_SENT);
      break;
    case 2:
      attempt->stated_not_run = attempt->byte_left;
      if (attempt->stated_not_run)
        run_record_end (record, RUN_PROOF_REJECTED);
      break;
    default:
      attempt->stated_not_run = attempt->byte_left;
      if (attempt->stated_not_run)
        run_record_end (record, RUN_PROOF_HOST_REFUSED);
      break;
    }
}

/* Guards against any order of attempts, ends and reports that yields a promise
   after a byte of a request left without a statement. */
TEST (RunRecord, NeverPromisesMoreThanTheNetworkShows)
{
  std::mt19937 random (71);
  int promised = 0;
  for (int round = 0; round < 20000; round++)
    {
      run_record record = {};
      Reference reference;
      for (int step = 0; step < 12; step++)
        {
          Attempt *last = reference.attempts.empty ()
                              ? nullptr
                              : &reference.attempts.back ();
          const uint32_t action = random () % 16;
          if (action < 4)
            {
              run_record_begin (&record);
              reference.attempts.emplace_back ();
            }
          else if (action < 7 && last != nullptr)
            last->byte_left = last->byte_left || !last->stated_not_run;
          else if (action < 15 && last != nullptr && record.last_may_have_run)
            {
              end_attempt (random, &record, last);
              /* Only begun attempts send. */
              last->stated_not_run
                  = last->stated_not_run || !record.last_may_have_run;
            }
          else if (action == 15 && random () % 4 == 0)
            {
              run_record_note_host (&record);
              reference.host_reported = true;
            }
          const bool promises_now = run_record_status (&record, 503) == 503;
          promised += promises_now && !reference.attempts.empty ();
          ASSERT_FALSE (promises_now && reference.has_run_perhaps ())
              << "round " << round << " step " << step;
        }
    }
  EXPECT_GT (promised, 1000);
}

}
