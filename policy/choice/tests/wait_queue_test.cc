#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/wait_queue.h"
}

namespace
{

struct expected_entry
{
  uint64_t id;
  int64_t expires;
  bool repeatable;
  uint32_t bytes;
};

/* Compares the queue with a plain list over random pushes, removals and
   limits. */
TEST (wait_queue, matches_a_list)
{
  struct rng rng;
  rng_seed (&rng, 11);
  struct wait_queue q;
  wait_queue_init (&q);
  wait_queue_set_limits (&q, 8, 500);
  uint32_t count_bound = 8;
  uint32_t bytes_bound = 500;
  std::vector<expected_entry> list;
  for (uint64_t id = 1; id < 200000; id++)
    {
      uint64_t queued_bytes = 0;
      for (auto &l : list)
        queued_bytes += l.bytes;
      const uint32_t bytes = (uint32_t)rng_below (&rng, 100);
      const bool has_space
          = list.size () < count_bound && queued_bytes + bytes <= bytes_bound;
      ASSERT_EQ (wait_queue_has_space (&q, bytes), has_space) << "step " << id;
      if (has_space && rng_below (&rng, 2) == 0)
        {
          policy_request r = {};
          r.id = id;
          r.queued_bytes = bytes;
          r.repeatable = rng_below (&rng, 2) == 0;
          const auto expires = (int64_t)rng_below (&rng, 1000);
          wait_queue_push (&q, &r, expires, 0);
          list.push_back ({ id, expires, r.repeatable, bytes });
        }
      else if (!list.empty ())
        {
          const size_t i = rng_below (&rng, list.size ());
          wait_queue_remove (&q, wait_queue_find (&q, list[i].id));
          list.erase (list.begin () + (long)i);
        }
      if (rng_below (&rng, 1000) == 0)
        {
          count_bound = (uint32_t)rng_below (&rng, 30);
          bytes_bound = (uint32_t)rng_below (&rng, 1500);
          wait_queue_set_limits (&q, count_bound, bytes_bound);
        }
      ASSERT_EQ (q.count, list.size ());
      int64_t first = INT64_MAX;
      for (auto &l : list)
        first = std::min (first, l.expires);
      const uint32_t top = wait_queue_next_expiring (&q);
      ASSERT_EQ (top == WAIT_QUEUE_NONE, list.empty ());
      if (top == WAIT_QUEUE_NONE)
        continue;
      ASSERT_EQ (q.entries[top].expires_us, first) << "step " << id;
      ASSERT_EQ (q.entries[wait_queue_newest (&q)].request.id,
                 list.back ().id);
      for (bool repeatable : { true, false })
        {
          const auto l
              = std::find_if (list.begin (), list.end (), [=] (auto &x) {
                  return x.repeatable == repeatable;
                });
          const uint32_t e = wait_queue_oldest (
              &q, repeatable ? LANE_REPEATABLE : LANE_UNREPEATABLE);
          ASSERT_EQ (e == WAIT_QUEUE_NONE, l == list.end ());
          ASSERT_TRUE (e == WAIT_QUEUE_NONE
                       || q.entries[e].request.id == l->id)
              << "step " << id;
        }
    }
  wait_queue_clear (&q);
}

}
