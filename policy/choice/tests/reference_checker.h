/** @file
 * Whether a decision of the service's policy was allowed, by the naive
 * version.  An empty string means yes, else it says what was wrong.
 */
#ifndef POLICY_CHOICE_TESTS_REFERENCE_CHECKER_H
#define POLICY_CHOICE_TESTS_REFERENCE_CHECKER_H

#include "policy/choice/tests/reference_model.h"

struct naive_judge : naive_choice
{
  std::string
  sent (const policy_request &r, const policy_decision &d,
        const std::vector<uint32_t> &allowed, bool only)
  {
    if (d.verdict != POLICY_SEND)
      return "not sent though a slot was free";
    if (std::count (allowed.begin (), allowed.end (), d.target) == 0)
      return "sent to a target that was not allowed";
    if ((d.reason == POLICY_REASON_ONLY_CHOICE) != only)
      return "wrong reason to send";
    targets[d.target].in_flight++;
    if (targets[d.target].open.size () < 8)
      targets[d.target].open.push_back (now);
    targets[d.target].placed = now;
    targets[d.target].used = now;
    return "";
  }
  std::string
  refused (const policy_decision &d, policy_reason reason)
  {
    if (d.verdict != POLICY_REFUSE || d.reason != reason)
      return std::string ("should be refused: ") + policy_reason_name (reason);
    if (reason == POLICY_REASON_NO_TARGET)
      return d.retry_after_ms == 0 ? "" : "a time to come back from nothing";
    const double ms = std::clamp (std::ceil (wait () / 1000), 1.0, 60000.0);
    return d.retry_after_ms == (uint32_t)ms ? "" : "wrong time to come back";
  }

  /* Tries the tiers in their order; TAKEN says that one of them took it. */
  std::string
  good (const policy_request &r, const policy_decision &d, bool again,
        bool &taken)
  {
    for (tier of : { CLEAR, WARMING })
      {
        const auto found = candidates (of, r, again);
        taken = !found.empty ();
        if (taken)
          return sent (r, d, winners (found, r), found.size () == 1);
      }
    return "";
  }
  std::string
  suspect (const policy_request &r, const policy_decision &d, bool fit,
           double w, bool &taken)
  {
    const auto found = candidates (SUSPECT, r);
    std::vector<uint32_t> allowed;
    const auto possible = winners (found, r);
    for (uint32_t i : possible)
      if (worth (r, i, fit, w))
        allowed.push_back (i);
    const bool must = !allowed.empty () && allowed.size () == possible.size ();
    const bool did
        = d.verdict == POLICY_SEND
          && std::count (found.begin (), found.end (), d.target) > 0;
    taken = must || (!allowed.empty () && did);
    return taken ? sent (r, d, allowed, found.size () == 1) : "";
  }

  bool
  trickled (const policy_request &r, const policy_decision &d,
            std::string &wrong)
  {
    const uint32_t untested = (avoids () ? suspects () : 0) + neglected;
    if (!r.repeatable || r.attempt > 1 || untested == 0)
      {
        if (d.reason == POLICY_REASON_TRICKLE)
          wrong = "trickle where there is none";
        return false;
      }
    trickle = std::min (trickle + (double)untested / eligible () / 20, 2.0);
    const auto found = candidates (SUSPECT, r, true);
    if (trickle < 1 || found.size () + neglected == 0)
      {
        if (d.reason == POLICY_REASON_TRICKLE)
          wrong = "more than a trickle";
        return false;
      }
    std::vector<uint32_t> idle;
    for (uint32_t i : found)
      if (targets[i].in_flight == 0)
        idle.push_back (i);
    const bool all_idle = idle.size () == found.size ();
    const auto unused = neglected_now ();
    idle.insert (idle.end (), unused.begin (), unused.end ());
    if (d.reason != POLICY_REASON_TRICKLE)
      {
        if (all_idle && unused.size () >= neglected)
          wrong = "chance withheld";
        return false;
      }
    trickle -= 1;
    wrong = sent (r, d, idle, false);
    return true;
  }

  std::string
  admit (const policy_request &r, const policy_decision &d)
  {
    refresh ();
    if (r.attempt <= 1)
      budget_events.push_back (
          { now, options.retries.percent / 100.0, options.retries });
    if (d.request_id != r.id)
      return "another request's decision";
    if (eligible () == 0)
      return refused (d, POLICY_REASON_NO_TARGET);
    if (r.deadline_us <= now)
      return refused (d, POLICY_REASON_TOO_LATE);
    const uint32_t asked = r.attempt - 1 - r.unsent;
    if (r.attempt > 1 && (asked >= options.attempts || r.unsent > 3))
      return refused (d, POLICY_REASON_ATTEMPTS);
    if (asked > 0 && !r.after_unsent)
      {
        if (!may_retry ())
          return refused (d, POLICY_REASON_RETRY_BUDGET);
        budget_events.push_back ({ now, -1, options.retries });
      }
    std::string wrong;
    if (trickled (r, d, wrong) || !wrong.empty ())
      return wrong;
    const bool first = queue.empty ();
    bool taken = false;
    if (first && (wrong = good (r, d, false, taken), taken))
      return wrong;
    const bool fit = fits (r);
    if (wrong = suspect (r, d, fit, wait (), taken); taken)
      return wrong;
    if (first && r.tried_count > 0 && (!fit || all_tried (r)))
      if (wrong = good (r, d, true, taken); taken)
        return wrong;
    if (!room_in_queue (r))
      return refused (d, POLICY_REASON_QUEUE_FULL);
    if (!fit)
      return refused (d, POLICY_REASON_TOO_LATE);
    return queued (r, d);
  }
  std::string
  queued (const policy_request &r, const policy_decision &d)
  {
    const bool waits
        = !r.repeatable && !candidates (SUSPECT, r, true).empty ();
    if (d.verdict != POLICY_QUEUE
        || d.reason
               != (waits ? POLICY_REASON_WAIT_FOR_GOOD
                         : POLICY_REASON_NO_FREE_SLOT))
      return "should wait";
    const int64_t give_up = r.deadline_us - (int64_t)kept_for_answer (r);
    queue.push_back ({ r, give_up, now + (give_up - now) / 2 });
    return "";
  }

  /* May W be sent now?  MUST: it has to. */
  std::string
  entry (const naive_waiting &w, const policy_decision &d, bool &taken)
  {
    std::string wrong = good (w.r, d, false, taken);
    if (!taken)
      wrong = suspect (w.r, d, true, mean_interval (), taken);
    if (!taken && w.r.tried_count > 0 && (now >= w.again || all_tried (w.r)))
      wrong = good (w.r, d, true, taken);
    return wrong;
  }
  std::string
  next (bool some, const policy_decision &d)
  {
    refresh ();
    if (queue.empty ())
      return some ? "a decision from nothing" : "";
    int64_t first = INT64_MAX;
    for (auto &w : queue)
      first = std::min (first, w.give_up);
    if (eligible () == 0 || first <= now)
      return given_up (some, d, first);
    const naive_waiting last = queue.back ();
    if (queue.size () * mean_interval () > 2.0 * (last.give_up - now))
      {
        queue.pop_back ();
        if (!some || d.request_id != last.r.id)
          return "the hopeless one still waits";
        return refused (d, POLICY_REASON_TOO_LATE);
      }
    const bool older = queue[0].r.repeatable;
    for (bool lane : { older, !older })
      {
        int looked = 0;
        for (size_t i = 0; i < queue.size () && looked < 4; i++)
          {
            if (queue[i].r.repeatable != lane)
              continue;
            looked++;
            bool taken = false;
            /* Nobody was sent: then nobody may be sendable. */
            policy_decision seen = d;
            if (!some || d.request_id != queue[i].r.id)
              seen.verdict = POLICY_QUEUE;
            const std::string wrong = entry (queue[i], seen, taken);
            if (taken)
              {
                queue.erase (queue.begin () + i);
                return wrong;
              }
            if (queue[i].r.tried_count == 0)
              break;
          }
      }
    return some ? "sent though it had to wait" : "";
  }
  std::string
  given_up (bool some, const policy_decision &d, int64_t first)
  {
    for (size_t i = 0; some && i < queue.size (); i++)
      if (queue[i].r.id == d.request_id)
        {
          if (queue[i].give_up != first)
            return "given up too early";
          const bool none = eligible () == 0;
          queue.erase (queue.begin () + i);
          return refused (d, none ? POLICY_REASON_NO_TARGET
                                  : POLICY_REASON_TOO_LATE);
        }
    return "not answered at once";
  }

  void
  outcome (const policy_outcome &o)
  {
    naive_target &t = targets[o.target];
    t.in_flight -= t.in_flight > 0;
    close (t, now - o.latency_us);
    advance (t);
    if (o.end != ATTEMPT_CANCELLED)
      {
        t.samples++;
        t.fresh = false;
        const double well = o.end == ATTEMPT_ANSWERED ? 0.99
                            : o.end == ATTEMPT_SHED   ? 0.1
                                                      : 0.01;
        const double ill = o.end == ATTEMPT_ANSWERED ? 0.25
                           : o.end == ATTEMPT_SHED   ? 0.25
                                                     : 0.75;
        set_known (t, t.known * ill / (t.known * ill + (1 - t.known) * well));
        const bool known = t.latencies > 0 || o.end == ATTEMPT_TIMED_OUT;
        if (o.end == ATTEMPT_ANSWERED || (known && o.latency_us > t.latency))
          t.latency = t.latencies++ == 0
                          ? o.latency_us
                          : t.latency + (o.latency_us - t.latency) / 16;
      }
    if (o.end == ATTEMPT_TIMED_OUT)
      hung += 0.05 * (1 - hung);
    if (o.end == ATTEMPT_CUT || o.end == ATTEMPT_FAILED)
      hung -= 0.05 * hung;
    if (o.end == ATTEMPT_ANSWERED)
      latency_histogram_add (&times, o.latency_us);
    outcomes++;
    judge (t);
    t.placed = now;
    refresh ();
    const double passed = now - last_end;
    if (passed >= 5000000)
      intervals = 0;
    if (busy && !queue.empty ())
      interval
          = intervals++ == 0 ? passed : interval + (passed - interval) / 32;
    busy = !queue.empty ();
    last_end = now;
  }
  void
  eject (uint32_t i, bool ejected)
  {
    if (targets[i].ejected && !ejected)
      targets[i].warm_from = now;
    targets[i].placed
        = targets[i].ejected == ejected ? targets[i].placed : now;
    targets[i].ejected = ejected;
  }
  void
  replace (const std::vector<policy_target> &configs)
  {
    std::vector<naive_target> old = targets;
    if (old.empty ())
      learned = now;
    targets.clear ();
    for (auto &c : configs)
      {
        naive_target t;
        t.updated = now;
        t.warm_from = old.empty () ? INT64_MIN : now;
        t.fresh = !old.empty ();
        set_known (t, t.fresh ? 0 : base_ill);
        for (auto &o : old)
          if (o.config.key == c.key)
            {
              t = o;
              if (t.warmth (now) >= 1)
                t.warm_from = INT64_MIN;
              if (c.accepts_work && !o.config.accepts_work)
                t.warm_from = now;
            }
        const int64_t told = t.config.warm_up_us;
        const bool known = t.config.key != 0;
        t.config = c;
        if (known && t.warm_from != INT64_MIN && told >= 0)
          t.config.warm_up_us = told;
        targets.push_back (t);
      }
    for (auto &w : queue)
      renumber (w.r, old);
    refreshed = INT64_MIN / 2;
    refresh ();
  }
  void
  renumber (policy_request &r, const std::vector<naive_target> &old)
  {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < r.tried_count; i++)
      {
        const uint64_t key = old[r.tried[i]].config.key;
        for (uint32_t j = 0; j < targets.size (); j++)
          if (targets[j].config.key == key)
            r.tried[kept++] = j;
      }
    r.tried_count = kept;
  }
};

#endif
