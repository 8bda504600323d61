/** @file
 * Checks by the reference model whether a decision of the service's policy
 * was allowed.  An empty string means that it was; otherwise the string
 * describes the error.
 */
#ifndef POLICY_CHOICE_TESTS_REFERENCE_CHECKER_H
#define POLICY_CHOICE_TESTS_REFERENCE_CHECKER_H

#include "policy/choice/tests/reference_model.h"

struct reference_checker : reference_model
{
  std::string
  check_sent (const policy_request &r, const policy_decision &d,
              const std::vector<uint32_t> &allowed, bool only)
  {
    if (d.verdict != POLICY_SEND)
      return "not sent although a slot was free";
    if (std::count (allowed.begin (), allowed.end (), d.target) == 0)
      return "sent to a target that wasn't allowed";
    if ((d.reason == POLICY_REASON_ONLY_CHOICE) != only)
      return "wrong reason for sending";
    targets[d.target].in_flight++;
    if (targets[d.target].open.size () < 8)
      targets[d.target].open.push_back (now);
    targets[d.target].tier_updated = now;
    targets[d.target].last_used = now;
    return "";
  }
  std::string
  check_refused (const policy_decision &d, policy_reason reason)
  {
    if (d.verdict != POLICY_REFUSE || d.reason != reason)
      return std::string ("should be refused: ") + policy_reason_name (reason);
    if (reason == POLICY_REASON_NO_TARGET)
      return d.retry_after_ms == 0 ? "" : "retry delay without targets";
    const double ms = std::clamp (std::ceil (wait () / 1000), 1.0, 60000.0);
    return d.retry_after_ms == (uint32_t)ms ? "" : "wrong retry delay";
  }

  /* Checks the tiers in their order; TAKEN is set if one of them was used. */
  std::string
  check_healthy (const policy_request &r, const policy_decision &d,
                 bool reuse_tried, bool &taken)
  {
    for (tier of : { HEALTHY, WARMING })
      {
        const auto found = candidates (of, r, reuse_tried);
        taken = !found.empty ();
        if (taken)
          return check_sent (r, d, best_targets (found, r),
                             found.size () == 1);
      }
    return "";
  }
  std::string
  check_suspect (const policy_request &r, const policy_decision &d,
                 bool fits_deadline, double w, bool &taken)
  {
    const auto found = candidates (SUSPECT, r);
    std::vector<uint32_t> allowed;
    const auto possible = best_targets (found, r);
    for (uint32_t i : possible)
      if (is_acceptable (r, i, fits_deadline, w))
        allowed.push_back (i);
    const bool must_send
        = !allowed.empty () && allowed.size () == possible.size ();
    const bool was_sent
        = d.verdict == POLICY_SEND
          && std::count (found.begin (), found.end (), d.target) > 0;
    taken = must_send || (!allowed.empty () && was_sent);
    return taken ? check_sent (r, d, allowed, found.size () == 1) : "";
  }

  bool
  check_probe (const policy_request &r, const policy_decision &d,
               std::string &wrong)
  {
    const uint32_t probe_count = (avoids () ? suspects () : 0) + idle_count;
    if (!r.repeatable || r.attempt > 1 || probe_count == 0)
      {
        if (d.reason == POLICY_REASON_TRICKLE)
          wrong = "probe without a suspect or idle target";
        return false;
      }
    probe_tokens = std::min (
        probe_tokens + (double)probe_count / eligible () / 20, 2.0);
    const auto found = candidates (SUSPECT, r, true);
    if (probe_tokens < 1 || found.size () + idle_count == 0)
      {
        if (d.reason == POLICY_REASON_TRICKLE)
          wrong = "probe exceeds the probe budget";
        return false;
      }
    std::vector<uint32_t> idle_suspects;
    for (uint32_t i : found)
      if (targets[i].in_flight == 0)
        idle_suspects.push_back (i);
    const bool all_idle = idle_suspects.size () == found.size ();
    const auto idle_others = idle_targets ();
    idle_suspects.insert (idle_suspects.end (), idle_others.begin (),
                          idle_others.end ());
    if (d.reason != POLICY_REASON_TRICKLE)
      {
        if (all_idle && idle_others.size () >= idle_count)
          wrong = "probe not sent";
        return false;
      }
    probe_tokens -= 1;
    wrong = check_sent (r, d, idle_suspects, false);
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
      return "decision for another request";
    if (eligible () == 0)
      return check_refused (d, POLICY_REASON_NO_TARGET);
    if (r.deadline_us <= now)
      return check_refused (d, POLICY_REASON_TOO_LATE);
    const uint32_t attempts_sent = r.attempt - 1 - r.unsent;
    if (r.attempt > 1 && (attempts_sent >= options.attempts || r.unsent > 3))
      return check_refused (d, POLICY_REASON_ATTEMPTS);
    if (attempts_sent > 0 && !r.after_unsent)
      {
        if (!may_retry ())
          return check_refused (d, POLICY_REASON_RETRY_BUDGET);
        budget_events.push_back ({ now, -1, options.retries });
      }
    std::string wrong;
    if (check_probe (r, d, wrong) || !wrong.empty ())
      return wrong;
    const bool first = queue.empty ();
    bool taken = false;
    if (first && (wrong = check_healthy (r, d, false, taken), taken))
      return wrong;
    const bool fits_deadline = fits (r);
    if (wrong = check_suspect (r, d, fits_deadline, wait (), taken); taken)
      return wrong;
    if (first && r.tried_count > 0 && (!fits_deadline || all_tried (r)))
      if (wrong = check_healthy (r, d, true, taken); taken)
        return wrong;
    if (!queue_has_space (r))
      return check_refused (d, POLICY_REASON_QUEUE_FULL);
    if (!fits_deadline)
      return check_refused (d, POLICY_REASON_TOO_LATE);
    return check_queued (r, d);
  }
  std::string
  check_queued (const policy_request &r, const policy_decision &d)
  {
    const bool waits
        = !r.repeatable && !candidates (SUSPECT, r, true).empty ();
    if (d.verdict != POLICY_QUEUE
        || d.reason
               != (waits ? POLICY_REASON_WAIT_FOR_GOOD
                         : POLICY_REASON_NO_FREE_SLOT))
      return "not queued";
    const int64_t expires = r.deadline_us - (int64_t)reserved_for_response (r);
    queue.push_back ({ r, expires, now + (expires - now) / 2 });
    return "";
  }

  /* Checks whether W may be sent now; TAKEN is set if it was or must be. */
  std::string
  check_entry (const reference_waiting &w, const policy_decision &d,
               bool &taken)
  {
    std::string wrong = check_healthy (w.r, d, false, taken);
    if (!taken)
      wrong = check_suspect (w.r, d, true, mean_interval (), taken);
    if (!taken && w.r.tried_count > 0
        && (now >= w.reuse_tried || all_tried (w.r)))
      wrong = check_healthy (w.r, d, true, taken);
    return wrong;
  }
  std::string
  next (bool has_decision, const policy_decision &d)
  {
    refresh ();
    if (queue.empty ())
      return has_decision ? "decision although the queue is empty" : "";
    int64_t first = INT64_MAX;
    for (auto &w : queue)
      first = std::min (first, w.expires);
    if (eligible () == 0 || first <= now)
      return check_expired (has_decision, d, first);
    const reference_waiting last = queue.back ();
    if (queue.size () * mean_interval () > 2.0 * (last.expires - now))
      {
        queue.pop_back ();
        if (!has_decision || d.request_id != last.r.id)
          return "request that can't meet its deadline not refused";
        return check_refused (d, POLICY_REASON_TOO_LATE);
      }
    const bool older = queue[0].r.repeatable;
    for (bool lane : { older, !older })
      {
        int examined = 0;
        for (size_t i = 0; i < queue.size () && examined < 4; i++)
          {
            if (queue[i].r.repeatable != lane)
              continue;
            examined++;
            bool taken = false;
            /* If no request was sent, none may be sendable. */
            policy_decision seen = d;
            if (!has_decision || d.request_id != queue[i].r.id)
              seen.verdict = POLICY_QUEUE;
            const std::string wrong = check_entry (queue[i], seen, taken);
            if (taken)
              {
                queue.erase (queue.begin () + i);
                return wrong;
              }
            if (queue[i].r.tried_count == 0)
              break;
          }
      }
    return has_decision ? "sent although it had to wait" : "";
  }
  std::string
  check_expired (bool has_decision, const policy_decision &d, int64_t first)
  {
    for (size_t i = 0; has_decision && i < queue.size (); i++)
      if (queue[i].r.id == d.request_id)
        {
          if (queue[i].expires != first)
            return "expired too early";
          const bool none = eligible () == 0;
          queue.erase (queue.begin () + i);
          return check_refused (d, none ? POLICY_REASON_NO_TARGET
                                        : POLICY_REASON_TOO_LATE);
        }
    return "not refused immediately";
  }

  void
  outcome (const policy_outcome &o)
  {
    reference_target &t = targets[o.target];
    const uint32_t in_flight = t.in_flight;
    uint32_t all_in_flight = 0;
    for (auto &other : targets)
      all_in_flight += other.in_flight;
    t.in_flight -= t.in_flight > 0;
    close (t, now - o.latency_us);
    advance (t);
    if (o.end != ATTEMPT_CANCELLED)
      {
        t.samples++;
        t.is_new = false;
        const double p_if_healthy = o.end == ATTEMPT_ANSWERED ? 0.99
                                    : o.end == ATTEMPT_SHED   ? 0.1
                                                              : 0.01;
        const double p_if_unhealthy = o.end == ATTEMPT_ANSWERED ? 0.25
                                      : o.end == ATTEMPT_SHED   ? 0.25
                                                                : 0.75;
        set_p_unhealthy_ended (
            t, t.p_unhealthy_ended * p_if_unhealthy
                   / (t.p_unhealthy_ended * p_if_unhealthy
                      + (1 - t.p_unhealthy_ended) * p_if_healthy));
        const bool has_latency
            = t.latency_samples > 0 || o.end == ATTEMPT_TIMED_OUT;
        if (o.end == ATTEMPT_ANSWERED
            || (has_latency && o.latency_us > t.latency))
          t.latency = t.latency_samples++ == 0
                          ? o.latency_us
                          : t.latency + (o.latency_us - t.latency) / 16;
      }
    if (o.end == ATTEMPT_TIMED_OUT)
      hang_share += 0.05 * (1 - hang_share);
    if (o.end == ATTEMPT_CUT || o.end == ATTEMPT_FAILED)
      hang_share -= 0.05 * hang_share;
    if (o.end == ATTEMPT_ANSWERED)
      {
        latency_histogram_add (&histogram, o.latency_us);
        const double own
            = std::max (o.latency_us - 2.0 * t.config.distance_us, 1.0);
        t.slot_latency
            = t.slot_latency > 0 ? (3 * t.slot_latency + own) / 4 : own;
        const double ratio
            = usual_latency > 0 ? t.slot_latency / usual_latency : 1.3;
        const bool is_busy = all_in_flight > fair_slots;
        const bool is_over = in_flight > t.config.slots - t.max_reduction ();
        const double change = is_busy && is_over && ratio > 1.5 ? 0.5
                              : !is_busy || ratio < 1.2         ? -0.05
                                                                : 0;
        t.slot_reduction
            = std::clamp (t.slot_reduction + change, 0.0, t.max_reduction ());
      }
    outcomes++;
    evaluate (t);
    t.tier_updated = now;
    refresh ();
    const double elapsed = now - last_end;
    if (elapsed >= 5000000)
      intervals = 0;
    if (had_waiting && !queue.empty ())
      interval
          = intervals++ == 0 ? elapsed : interval + (elapsed - interval) / 32;
    had_waiting = !queue.empty ();
    last_end = now;
  }
  void
  eject (uint32_t i, bool ejected)
  {
    if (targets[i].ejected && !ejected)
      targets[i].warm_up_start = now;
    targets[i].tier_updated
        = targets[i].ejected == ejected ? targets[i].tier_updated : now;
    targets[i].ejected = ejected;
  }
  void
  replace (const std::vector<policy_target> &configs)
  {
    std::vector<reference_target> old = targets;
    if (old.empty ())
      learned = now;
    targets.clear ();
    for (auto &c : configs)
      {
        reference_target t;
        t.updated = now;
        t.warm_up_start = old.empty () ? INT64_MIN : now;
        t.is_new = !old.empty ();
        set_p_unhealthy_ended (t, t.is_new ? 0 : base_unhealthy_share);
        for (auto &o : old)
          if (o.config.key == c.key)
            {
              t = o;
              if (t.warm_up_factor (now) >= 1)
                t.warm_up_start = INT64_MIN;
              if (c.accepts_work && !o.config.accepts_work)
                t.warm_up_start = now;
            }
        const int64_t declared = t.config.warm_up_us;
        const bool existed = t.config.key != 0;
        t.config = c;
        if (existed && t.warm_up_start != INT64_MIN && declared >= 0)
          t.config.warm_up_us = declared;
        targets.push_back (t);
      }
    for (auto &w : queue)
      renumber (w.r, old);
    refreshed = INT64_MIN / 2;
    refresh ();
  }
  void
  renumber (policy_request &r, const std::vector<reference_target> &old)
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
