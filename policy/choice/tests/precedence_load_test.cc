/* Admission by precedence at a simulated service with too little capacity,
   with the bursts and failures that it is made for. */
#include "policy/choice/tests/precedence_simulation.h"

namespace
{

constexpr int64_t MS = 1000, S = 1000000;

/* The targets serve 400 requests/s.  Lookups and submits need half of that,
   uploads a fifth and in their burst twice all of it. */
precedence_simulation
burst_of_uploads (bool by_precedence)
{
  precedence_simulation s;
  s.kinds = { { 0, 60, 20 * MS, 500 * MS, true },
              { 1, 140, 20 * MS, 800 * MS, false },
              { 2, 80, 20 * MS, S, false, 10 } };
  s.options.queue_requests = 60;
  s.options.modes.by_precedence = by_precedence;
  s.run (30 * S);
  return s;
}

/* A burst of a less urgent kind takes the capacity of the others. */
TEST (PrecedenceLoad, BurstOfALessUrgentKind)
{
  const precedence_simulation before = burst_of_uploads (false);
  const precedence_simulation s = burst_of_uploads (true);
  for (int i = 0; i < 3; i++)
    {
      std::printf ("precedence %d: served %.3f without, %.3f with; "
                   "displaced %.0f\n",
                   i, before.results[i].share (), s.results[i].share (),
                   s.results[i].displaced);
      EXPECT_LE (s.results[i].longest_refusal_us, s.kinds[i].deadline_us);
    }
  EXPECT_LT (before.results[0].share (), 0.9);
  EXPECT_GE (s.results[0].share (), 0.98);
  EXPECT_GE (s.results[1].share (), 0.95);
  EXPECT_GT (s.results[2].displaced, 0);
  EXPECT_GT (s.results[2].share (), 0.25 * s.results[0].share ());
}

/* Each kind must get a quarter of the share of all, and not more than a more
   urgent one. */
void
expect_no_kind_starves (const precedence_simulation &s)
{
  double arrived = 0, served = 0;
  for (auto &result : s.results)
    {
      arrived += result.arrived;
      served += result.served;
    }
  for (size_t i = 0; i < s.kinds.size (); i++)
    {
      std::printf ("precedence %u: served %.3f of all %.3f\n",
                   s.kinds[i].precedence, s.results[i].share (),
                   served / arrived);
      EXPECT_GE (s.results[i].share (), 0.25 * served / arrived);
      EXPECT_TRUE (
          i == 0 || s.results[i].share () <= s.results[i - 1].share () + 0.05);
    }
}

/* Urgent requests alone exceed the capacity. */
TEST (PrecedenceLoad, NoKindStarves)
{
  precedence_simulation s;
  s.kinds = { { 0, 700, 20 * MS, 500 * MS, true },
              { 1, 60, 20 * MS, 800 * MS, false },
              { 2, 30, 20 * MS, S, false },
              { 4, 10, 20 * MS, 2 * S, false } };
  s.options.queue_requests = 60;
  s.options.modes.by_precedence = true;
  s.run (30 * S);
  expect_no_kind_starves (s);
}

/* A host of a large set sees few requests, and of a rare kind one a second. */
TEST (PrecedenceLoad, NoKindStarvesAtAHostWithFewRequests)
{
  precedence_simulation s;
  s.kinds = { { 0, 12, 290 * MS, 2500 * MS, true },
              { 1, 3, 220 * MS, 3 * S, false },
              { 2, 1, 260 * MS, 5 * S, false } };
  s.targets = 1;
  s.options.queue_requests = 60;
  s.options.modes.by_precedence = true;
  s.run (180 * S);
  expect_no_kind_starves (s);
}

/* All targets shed 0.55 of the requests for 8.5 s, more than retries can
   make up for.  The retries must go to the urgent kind first. */
TEST (PrecedenceLoad, RetriesWhileAllTargetsShed)
{
  precedence_simulation results[2];
  for (int i = 0; i < 2; i++)
    {
      precedence_simulation &s = results[i];
      s.kinds = { { 0, 60, 10 * MS, 2 * S, true },
                  { 1, 100, 10 * MS, 2 * S, true },
                  { 2, 100, 10 * MS, 2 * S, true } };
      s.shed_share = 0.55;
      s.targets = 8;
      s.options.modes.by_precedence = i == 1;
      s.run (8500 * MS);
    }
  for (int i = 0; i < 3; i++)
    std::printf ("precedence %d: served %.3f without, %.3f with; retries "
                 "%.0f, %.0f; reserved %.0f\n",
                 i, results[0].results[i].share (),
                 results[1].results[i].share (), results[0].results[i].retries,
                 results[1].results[i].retries,
                 results[1].results[i].reserved);
  const auto &r = results[1].results;
  EXPECT_GT (r[0].share (), results[0].results[0].share () + 0.1);
  EXPECT_GE (r[0].share (), r[1].share ());
  EXPECT_GE (r[1].share (), r[2].share () - 0.02);
  EXPECT_EQ (r[0].reserved, 0);
  EXPECT_GT (r[2].reserved, 0);
  /* The reservation must not leave retries unused. */
  const auto total = [] (const std::vector<simulated_result> &of) {
    return of[0].retries + of[1].retries + of[2].retries;
  };
  EXPECT_GE (total (r), 0.85 * total (results[0].results));
}

}
