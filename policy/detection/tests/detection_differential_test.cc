#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/detection/cusum.h"
#include "policy/detection/detector.h"
#include "policy/detection/evidence.h"
#include "policy/detection/recorder.h"
}

namespace
{

constexpr int64_t second_us = 1000000;

/* Reference implementation of Page's test: one outcome at a time, with the
   minimum of the partial sums; the score is the distance of the sum from
   it. */
class ReferenceCusum
{
public:
  ReferenceCusum (double normal, double faulty)
      : normal_ (normal), faulty_ (faulty)
  {
  }

  void
  add (bool bad)
  {
    sum_ += bad ? std::log (faulty_ / normal_)
                : std::log ((1 - faulty_) / (1 - normal_));
    min_ = std::min (min_, sum_);
  }

  double
  score () const
  {
    return sum_ - min_;
  }

private:
  double normal_;
  double faulty_;
  double sum_ = 0;
  double min_ = 0;
};

/* Outcome by outcome the score must equal the reference; in batches it may
   only be lower.  The first event that differs is the end of the shortest
   failing prefix. */
TEST (Differential, CusumEqualsReference)
{
  constexpr double no_limit = 1e300;
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      rng rng;
      rng_seed (&rng, seed);
      double normal = 0.002 + 0.2 * rng_unit (&rng);
      double faulty = normal + (0.95 - normal) * (0.1 + rng_unit (&rng) * 0.9);
      double actual = rng_unit (&rng) < 0.5 ? normal : faulty;
      cusum test = cusum_make (normal, faulty);
      ReferenceCusum reference (normal, faulty);
      double single = 0;
      double batched = 0;
      uint32_t hits = 0;
      uint32_t misses = 0;
      uint64_t next_batch = 1 + rng_below (&rng, 40);
      for (int event = 1; event <= 15000; event++)
        {
          bool bad = rng_unit (&rng) < actual;
          reference.add (bad);
          single = cusum_update (single, cusum_ratio (&test, bad, !bad),
                                 no_limit);
          ASSERT_NEAR (single, reference.score (),
                       1e-7 * (1 + reference.score ()))
              << "seed " << seed << ", shortest failing prefix " << event;
          hits += bad;
          misses += !bad;
          if (--next_batch > 0)
            continue;
          batched = cusum_update (batched, cusum_ratio (&test, hits, misses),
                                  no_limit);
          ASSERT_LE (batched, single + 1e-7 * (1 + single))
              << "seed " << seed << ", shortest failing prefix " << event;
          hits = misses = 0;
          next_batch = 1 + rng_below (&rng, 40);
        }
    }
}

/* A recorded outcome, to be counted again. */
struct Outcome
{
  uint64_t key;
  attempt_end end;
  int64_t latency_us;
};

detection_evidence
recount (const std::vector<Outcome> &outcomes, uint64_t key)
{
  detection_evidence e{};
  for (const Outcome &o : outcomes)
    {
      if (o.key != key)
        continue;
      e.sheds += o.end == ATTEMPT_SHED;
      if (o.end == ATTEMPT_SHED || o.end == ATTEMPT_CANCELLED)
        continue;
      e.requests++;
      e.failures += o.end != ATTEMPT_ANSWERED;
      e.timeouts += o.end == ATTEMPT_TIMED_OUT;
      if (o.end != ATTEMPT_ANSWERED)
        continue;
      uint32_t bucket = DETECTION_LATENCY_BUCKETS - 1;
      while (bucket > 0
             && detection_evidence_bucket_min_us (bucket) > o.latency_us)
        bucket--;
      e.latency[bucket]++;
    }
  return e;
}

bool
same (const detection_evidence &a, const detection_evidence &b)
{
  bool equal = a.requests == b.requests && a.failures == b.failures
               && a.timeouts == b.timeouts && a.sheds == b.sheds;
  for (int i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    equal = equal && a.latency[i] == b.latency[i];
  return equal;
}

/* Compares random outcomes, target changes and collections with a recount of
   the list. */
TEST (Differential, RecorderEqualsRecount)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      rng rng;
      rng_seed (&rng, seed);
      detection_recorder *recorder = detection_recorder_create ();
      std::vector<uint64_t> keys;
      std::vector<Outcome> outcomes;
      for (int event = 1; event <= 10000; event++)
        {
          if (event % 2500 == 1)
            {
              uint64_t count = 1 + rng_below (&rng, 40);
              keys.clear ();
              for (uint64_t i = 0; i < count; i++)
                keys.push_back (i * 8 + seed);
              detection_recorder_set_targets (recorder, keys.data (),
                                              keys.size ());
              outcomes.erase (
                  std::remove_if (outcomes.begin (), outcomes.end (),
                                  [&] (const Outcome &o) {
                                    return o.key >= count * 8 + seed;
                                  }),
                  outcomes.end ());
            }
          if (rng_below (&rng, 200) != 0)
            {
              /* Some keys are unknown; all cancellations are early. */
              uint64_t key = rng_below (&rng, keys.size () + 2) * 8 + seed;
              auto end = (attempt_end)rng_below (&rng, ATTEMPT_CANCELLED + 1);
              int64_t latency_us
                  = end == ATTEMPT_CANCELLED
                        ? 0
                        : (int64_t)rng_exponential (&rng, 200000);
              detection_recorder_record (recorder, key, end, latency_us);
              if (key < keys.size () * 8 + seed)
                outcomes.push_back ({ key, end, latency_us });
              continue;
            }
          size_t max_items = 1 + rng_below (&rng, 60);
          std::vector<detection_report_item> items (max_items);
          size_t count = detection_recorder_collect (recorder, items.data (),
                                                     max_items);
          for (size_t i = 0; i < count; i++)
            {
              uint64_t key = items[i].target_key;
              ASSERT_TRUE (same (items[i].evidence, recount (outcomes, key)))
                  << "seed " << seed << ", shortest failing prefix " << event;
              outcomes.erase (std::remove_if (outcomes.begin (),
                                              outcomes.end (),
                                              [&] (const Outcome &o) {
                                                return o.key == key;
                                              }),
                              outcomes.end ());
            }
          if (count == max_items)
            continue;
          for (const Outcome &o : outcomes)
            {
              ASSERT_EQ (o.end, ATTEMPT_CANCELLED)
                  << "seed " << seed << ", shortest failing prefix " << event;
            }
        }
      detection_recorder_destroy (recorder);
    }
}

/* The decisions must be consistent in any order of reports, hints, probes,
   ejections and target changes, also if the caller doesn't follow them. */
TEST (Differential, DecisionsAreConsistentInAnyOrder)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      rng rng;
      rng_seed (&rng, seed);
      detection_detector_options options{};
      options.prefer_faster_detection = seed % 2 == 0;
      options.has_repeatable_routes = seed % 4 < 2;
      options.backoff_us = second_us;
      detection_detector *detector = detection_detector_create (&options);
      std::vector<uint64_t> keys;
      /* Whether the caller last ejected the target. */
      std::map<uint64_t, bool> out;
      uint64_t reported = 0;
      int64_t now_us = 1;
      for (int event = 1; event <= 10000; event++)
        {
          std::string where = "seed " + std::to_string (seed)
                              + ", shortest failing prefix "
                              + std::to_string (event);
          now_us += (int64_t)rng_exponential (&rng, 100000);
          if (event % 1000 == 1)
            {
              keys.clear ();
              uint64_t count = 1 + rng_below (&rng, 12);
              for (uint64_t i = 1; i <= count; i++)
                keys.push_back (i);
              detection_detector_set_targets (detector, now_us, keys.data (),
                                              keys.size ());
              for (uint64_t key = count + 1; key <= 12; key++)
                out.erase (key);
            }
          uint64_t key = keys[rng_below (&rng, keys.size ())];
          switch (rng_below (&rng, 16))
            {
            case 0:
              detection_detector_hint (detector, now_us, key,
                                       (detection_hint)rng_below (&rng, 3));
              break;
            case 1:
              detection_detector_probe_result (detector, now_us, key,
                                               rng_below (&rng, 4) != 0);
              break;
            case 2:
              if (rng_below (&rng, 20) == 0)
                {
                  detection_detector_ejected (detector, now_us, key);
                  out[key] = true;
                }
              break;
            default:
              {
                detection_report_item item{};
                item.target_key = key;
                uint64_t share = key % 3 == 0 ? 50 : 1;
                for (int i = 0; i < 5; i++)
                  detection_evidence_add (
                      &item.evidence,
                      rng_below (&rng, 100) < share ? ATTEMPT_FAILED
                                                    : ATTEMPT_ANSWERED,
                      (int64_t)rng_exponential (&rng, 20000), INT64_MAX);
                reported += item.evidence.requests;
                uint64_t host = 1 + rng_below (&rng, 6);
                detection_detector_report (detector, now_us, host,
                                           100 + host % 3, &item, 1);
              }
            }
          detection_decisions d = detection_detector_step (detector, now_us);
          if (reported < 200)
            {
              ASSERT_EQ (d.eject_count, 0u) << where;
            }
          for (size_t i = 0; i < d.eject_count; i++)
            {
              ASSERT_FALSE (out[d.eject[i].target_key]) << where;
              ASSERT_FALSE (d.upstream_fault) << where;
              ASSERT_GE (d.eject[i].score, 0.9 * d.eject[i].threshold)
                  << where;
              ASSERT_TRUE (i == 0 || d.eject[i - 1].score >= d.eject[i].score)
                  << where;
            }
          for (size_t i = 0; i < d.reinstate_count; i++)
            ASSERT_TRUE (out[d.reinstate[i]]) << where;
          for (size_t i = 0; i < d.probe_count; i++)
            ASSERT_TRUE (out[d.probe[i]]) << where;
          for (size_t i = 0; i < d.share_count; i++)
            {
              ASSERT_LE (d.shares[i].share_permille, 1000u) << where;
              ASSERT_EQ (d.shares[i].state == DETECTION_ON_TRIAL,
                         out[d.shares[i].target_key])
                  << where;
            }
          /* The caller follows some decisions. */
          if (d.eject_count > 0 && rng_below (&rng, 2) == 0)
            {
              uint64_t bad = d.eject[0].target_key;
              detection_detector_ejected (detector, now_us, bad);
              out[bad] = true;
            }
          else if (d.reinstate_count > 0 && rng_below (&rng, 2) == 0)
            {
              uint64_t fit = d.reinstate[0];
              detection_detector_reinstated (detector, now_us, fit);
              out[fit] = false;
            }
        }
      detection_detector_destroy (detector);
    }
}

/* If callers give up on a hanging target before its deadline, all its attempts
   end as cancelled; those that had already been slow must be counted. */
TEST (Recorder, LongCancelledAttemptsCountAsSlow)
{
  detection_recorder *recorder = detection_recorder_create ();
  const uint64_t keys[] = { 1, 2 };
  detection_recorder_set_targets (recorder, keys, 2);
  detection_report_item items[2];
  for (int i = 0; i < 200; i++)
    detection_recorder_record (recorder, 1, ATTEMPT_ANSWERED, 20000);
  ASSERT_EQ (detection_recorder_collect (recorder, items, 2), 1u);
  detection_recorder_record (recorder, 2, ATTEMPT_CANCELLED, 1000);
  EXPECT_EQ (detection_recorder_collect (recorder, items, 2), 0u);
  detection_recorder_record (recorder, 2, ATTEMPT_CANCELLED, 900000);
  ASSERT_EQ (detection_recorder_collect (recorder, items, 2), 1u);
  EXPECT_EQ (items[0].target_key, 2u);
  EXPECT_EQ (detection_evidence_latencies (&items[0].evidence), 1u);
  detection_recorder_destroy (recorder);
}

TEST (Evidence, DeltaUndoesMergeAndHandlesARestart)
{
  detection_evidence first{};
  detection_evidence_add (&first, ATTEMPT_ANSWERED, 5000, INT64_MAX);
  detection_evidence_add (&first, ATTEMPT_TIMED_OUT, 5000, INT64_MAX);
  detection_evidence more{};
  detection_evidence_add (&more, ATTEMPT_FAILED, 5000, INT64_MAX);
  detection_evidence total = first;
  detection_evidence_merge (&total, &more);
  EXPECT_TRUE (same (detection_evidence_delta (&total, &first), more));
  EXPECT_TRUE (same (detection_evidence_delta (&more, &total), more));
}

}
