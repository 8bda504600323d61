// Hosts, platform and network of the model test of the floor, driven by seeded
// events; see floor_model_test.cc.
#ifndef POLICY_FLOOR_TESTS_FLOOR_SIMULATION_H
#define POLICY_FLOOR_TESTS_FLOOR_SIMULATION_H

#include "policy/floor/tests/floor_simulation_types.h"

namespace
{
class simulation
{
public:
  simulation (uint64_t seed, counters *counts) : counts_ (counts)
  {
    rng_seed (&rng_, seed);
    // Some seeds change owners rarely, others several times within a hold
    // time.
    takeover_permille_ = chance (500) ? 60 : 60 + below (600);
    release_permille_ = chance (700) ? 60 : 600;
    std::vector<floor_target> targets (targets_count);
    for (int i = 0; i < targets_count; i++)
      {
        snprintf (targets[i].name, sizeof targets[i].name, "t%d", i);
        targets[i].capacity = 1 + below (4);
        targets[i].active = true;
      }
    specs_.push_back ({ 1, 5, false, targets });
    for (int i = 0; i < hosts_count; i++)
      {
        hosts_[i].name = "h" + std::to_string (i);
        hosts_[i].rate = 0.996 + 0.008 * rng_unit (&rng_);
        hosts_[i].offset_ms = below (1000000);
        start (i);
        schedule_poll (i);
      }
    schedule_fault ();
  }

  ~simulation ()
  {
    for (auto &h : hosts_)
      {
        floor_owner_destroy (h.owner);
        floor_view_destroy (h.view);
      }
    floor_record_clear (&stored_);
  }

  // Returns the number of the first event after which an invariant is broken,
  // or 0.
  uint64_t
  run (uint64_t limit)
  {
    for (uint64_t n = 1; n <= limit && !queue_.empty (); n++)
      {
        event e = queue_.top ();
        queue_.pop ();
        now_us_ = std::max (now_us_, e.at_us);
        dispatch (e);
        counts_->events++;
        check_floor ();
        if (!violation_.empty ())
          return n;
      }
    return 0;
  }

  const std::string &
  violation () const
  {
    return violation_;
  }

private:
  uint64_t
  below (uint64_t bound)
  {
    return rng_below (&rng_, bound);
  }
  bool
  chance (uint32_t permille)
  {
    return below (1000) < permille;
  }
  int64_t
  clock_ms (int i) const
  {
    return (int64_t)(hosts_[i].offset_ms + now_us_ / 1000.0 * hosts_[i].rate);
  }
  int64_t
  delay_us ()
  {
    if (chance (30))
      return below (3000000);
    return 500 + below (8000);
  }

  void
  post (int64_t in_us, int at_host, std::function<void ()> run)
  {
    const uint64_t inc = at_host < 0 ? 0 : hosts_[at_host].incarnation;
    queue_.push ({ now_us_ + in_us, order_++, at_host, inc, std::move (run) });
  }

  void
  dispatch (event &e)
  {
    if (e.at_host >= 0)
      {
        host &h = hosts_[e.at_host];
        if (e.incarnation != h.incarnation)
          return;
        if (h.suspended_until_us > now_us_)
          {
            e.at_us = h.suspended_until_us;
            queue_.push (e);
            return;
          }
      }
    e.run ();
  }

  void
  start (int i)
  {
    host &h = hosts_[i];
    floor_owner_destroy (h.owner);
    floor_view_destroy (h.view);
    h.incarnation = rng_next (&rng_) | 1;
    const floor_owner_options options = { h.name.c_str (),
                                          h.incarnation,
                                          rng_next (&rng_),
                                          enforce_ms,
                                          authority_ms,
                                          20,
                                          300 };
    h.owner = floor_owner_create (&options);
    h.view = floor_view_create ();
    floor_spec s = specs_.back ().view ();
    floor_owner_set_spec (h.owner, clock_ms (i), &s);
  }

  void
  schedule_poll (int i)
  {
    post (poll_us / 2 + below (poll_us), i, [this, i] { poll (i); });
  }

  // A host polls every other one for its decision, starts its calls and
  // requests random changes.
  void
  poll (int i)
  {
    host &h = hosts_[i];
    const int64_t poll_ms = clock_ms (i);
    for (int j = 0; j < hosts_count; j++)
      if (!link_failed_[i][j])
        post (delay_us (), j,
              [this, i, j, poll_ms] { answer_poll (i, j, poll_ms); });
    floor_view_tick (h.view, poll_ms);
    floor_owner_tick (h.owner, poll_ms);
    for (int k = 0; k < 3; k++)
      request_random_change (i);
    start_call (i);
    schedule_poll (i);
  }

  void
  answer_poll (int from, int j, int64_t poll_ms)
  {
    host &h = hosts_[j];
    floor_owner_epoch_seen (h.owner, clock_ms (j),
                            floor_view_epoch (hosts_[from].view));
    floor_decision d;
    if (!floor_owner_decision (h.owner, clock_ms (j), &d)
        || link_failed_[j][from])
      return;
    std::vector<std::string> names;
    for (size_t k = 0; k < d.count; k++)
      names.emplace_back (d.targets[k]);
    post (delay_us (), from, [this, from, d, names, poll_ms] {
      receive_decision (from, d, names, poll_ms);
    });
    start_call (j);
  }

  void
  receive_decision (int i, floor_decision d,
                    const std::vector<std::string> &names, int64_t poll_ms)
  {
    std::vector<std::array<char, FLOOR_NAME_SIZE>> buffer (names.size ());
    for (size_t k = 0; k < names.size (); k++)
      snprintf (buffer[k].data (), FLOOR_NAME_SIZE, "%s", names[k].c_str ());
    d.targets = (const char (*)[FLOOR_NAME_SIZE])buffer.data ();
    floor_view_apply (hosts_[i].view, clock_ms (i), poll_ms, &d);
  }

  void
  request_random_change (int i)
  {
    host &h = hosts_[i];
    const int64_t now_ms = clock_ms (i);
    if (chance (10))
      floor_owner_pause (h.owner, now_ms, chance (150));
    if (floor_owner_role (h.owner) != FLOOR_ROLE_OWNER)
      return;
    const std::string t = target_name (below (targets_count));
    if (chance (500))
      {
        const auto result = floor_owner_eject (h.owner, now_ms, t.c_str (),
                                               below (100), chance (100));
        counts_->ejected += result == FLOOR_EJECT_EJECTED;
        counts_->outage_ejections += result == FLOOR_EJECT_EJECTED && outage_;
      }
    else if (chance (500))
      counts_->freed
          += floor_owner_reinstate (h.owner, now_ms, t.c_str (), chance (500));
  }

  void
  start_call (int i)
  {
    host &h = hosts_[i];
    const floor_request r = floor_owner_next_request (h.owner, clock_ms (i));
    if (const uint64_t epoch = floor_owner_take_stopped_epoch (h.owner))
      announce (i, epoch);
    if (r.call == FLOOR_CALL_NONE)
      return;
    const bool write = r.call == FLOOR_CALL_WRITE;
    const uint64_t id = ++calls_;
    call_of_[i] = id;
    // The result that is given after a timeout.
    post (400000, i, [this, i, id] { reply (i, id, FLOOR_REPLY_UNKNOWN); });
    if (h.platform_out && chance (500))
      {
        post (5000, i,
              [this, i, id] { reply (i, id, FLOOR_REPLY_UNREACHABLE); });
        return;
      }
    if (h.platform_out || outage_)
      return;
    std::string text;
    if (write)
      {
        char *t = floor_record_format (r.record);
        text = t;
        free (t);
      }
    const uint64_t expected = r.expected_version;
    post (delay_us (), -1,
          [=, this] { at_platform (i, id, write, expected, text); });
  }

  void
  at_platform (int i, uint64_t id, bool write, uint64_t expected,
               const std::string &text)
  {
    if (outage_)
      return;
    floor_reply_status status = FLOOR_REPLY_OK;
    if (write && expected != version_)
      status = FLOOR_REPLY_CONFLICT;
    else if (write)
      store (text);
    else if (version_ == 0)
      status = FLOOR_REPLY_NOT_FOUND;
    if (hosts_[i].platform_in || chance (60))
      {
        counts_->lost_writes += write && status == FLOOR_REPLY_OK;
        return;
      }
    const uint64_t version = version_;
    const std::string value = stored_text_;
    spec s = specs_.back ();
    post (delay_us (), i, [=, this] () mutable {
      if (call_of_[i] != id)
        return;
      floor_spec f = s.view ();
      floor_owner_set_spec (hosts_[i].owner, clock_ms (i), &f);
      reply (i, id, status, version, value);
    });
  }

  // The invariant of the record: every write keeps the floor by the settings
  // of its writer, or allows no more than the record it replaces.
  void
  store (const std::string &text)
  {
    floor_record next = {};
    if (floor_record_parse (text.c_str (), &next) != STATUS_OK)
      violation_ = "unreadable record";
    else if (version_ > 0
             && (next.epoch < stored_.epoch || next.epoch > stored_.epoch + 1))
      violation_ = "epoch jumped";
    else
      check_record (next);
    if (next.epoch > stored_.epoch)
      counts_->takeovers++;
    floor_record_clear (&stored_);
    stored_ = next;
    stored_text_ = text;
    version_ += 1 + below (3);
  }

  void
  check_record (const floor_record &next)
  {
    floor_spec s = specs_[next.spec_version - 1].view ();
    const int64_t total = floor_record_claimed_capacity (&next, &s)
                          + next.reserve + next.old_reserve;
    const int64_t before = floor_record_claimed_capacity (&stored_, &s)
                           + stored_.reserve + stored_.old_reserve;
    const int64_t allowed
        = (int64_t)floor_spec_capacity (&s) - s.floor_capacity;
    if (total > allowed && total > before)
      violation_ = "record allows " + std::to_string (total) + " of "
                   + std::to_string (allowed);
  }

  void
  reply (int i, uint64_t id, floor_reply_status status, uint64_t version = 0,
         const std::string &value = "")
  {
    if (call_of_[i] != id)
      return;
    call_of_[i] = 0;
    floor_record record = {};
    if (!value.empty ())
      floor_record_parse (value.c_str (), &record);
    const floor_reply r = { status, version, &record };
    floor_owner_handle_reply (hosts_[i].owner, clock_ms (i), &r);
    floor_record_clear (&record);
    start_call (i);
  }

  void
  announce (int i, uint64_t epoch)
  {
    for (int j = 0; j < hosts_count; j++)
      if (j != i && !link_failed_[i][j])
        post (delay_us (), j, [this, j, epoch] {
          floor_owner_predecessor_stopped (hosts_[j].owner, clock_ms (j),
                                           epoch);
        });
  }

  void
  schedule_fault ()
  {
    post (2000 + below (40000), -1, [this] { inject_fault (); });
  }

  void
  inject_fault ()
  {
    const int i = below (hosts_count);
    host &h = hosts_[i];
    switch (below (14))
      {
      case 0:
        link_failed_[i][below (hosts_count)] = chance (300);
        break;
      case 1:
        h.platform_out = chance (250);
        break;
      case 2:
        h.platform_in = chance (250);
        break;
      case 3:
        outage_ = chance (outage_ ? 700 : 150);
        break;
      case 4:
        if (chance (300))
          h.suspended_until_us = now_us_ + below (2500000);
        break;
      case 5:
        if (chance (60))
          {
            call_of_[i] = 0;
            start (i);
            schedule_poll (i);
          }
        break;
      case 6:
        if (!outage_ && chance (70))
          change_spec ();
        break;
      case 7:
        if (chance (release_permille_))
          floor_owner_release (h.owner, clock_ms (i));
        break;
      default:
        if (h.suspended_until_us <= now_us_
            && chance (vacant () ? 900 : takeover_permille_))
          floor_owner_set_candidate (h.owner, clock_ms (i), chance (800),
                                     chance (300) ? UINT64_MAX
                                                  : stored_.epoch);
      }
    schedule_fault ();
  }

  // Returns whether no host considers itself owner.
  bool
  vacant () const
  {
    for (const auto &h : hosts_)
      if (floor_owner_role (h.owner) == FLOOR_ROLE_OWNER)
        return false;
    return true;
  }

  void
  change_spec ()
  {
    spec next = specs_.back ();
    next.version++;
    floor_target &t = next.targets[below (targets_count)];
    switch (below (4))
      {
      case 0:
        next.floor_capacity = below (12);
        break;
      case 1:
        t.active = chance (800);
        break;
      case 2:
        t.capacity = below (6);
        break;
      default:
        next.paused = chance (60);
      }
    specs_.back ().end_us = now_us_;
    specs_.push_back (next);
  }

  void
  check_floor ()
  {
    std::set<std::string> ejected;
    int owners = 0;
    for (int i = 0; i < hosts_count; i++)
      {
        for (int k = 0; k < targets_count; k++)
          if (floor_view_ejected (hosts_[i].view, clock_ms (i),
                                  target_name (k).c_str ()))
            ejected.insert (target_name (k));
        owners += floor_owner_role (hosts_[i].owner) == FLOOR_ROLE_OWNER;
      }
    counts_->two_owners += owners > 1;
    int64_t lowest_floor = INT64_MAX;
    std::map<std::string, int64_t> max_capacity, min_capacity;
    for (auto s = specs_.rbegin ();
         s != specs_.rend () && s->end_us >= now_us_ - settle_bound_us; s++)
      {
        lowest_floor = std::min<int64_t> (lowest_floor, s->floor_capacity);
        for (const auto &t : s->targets)
          {
            const int64_t c = s->capacity_of (t.name);
            max_capacity[t.name] = std::max (max_capacity[t.name], c);
            min_capacity[t.name] = min_capacity.count (t.name)
                                       ? std::min (min_capacity[t.name], c)
                                       : c;
          }
      }
    int64_t slack = -lowest_floor;
    for (const auto &m : max_capacity)
      slack
          += m.second - (ejected.count (m.first) ? min_capacity[m.first] : 0);
    // A floor above all capacity is not breached by ejections.
    bool counted = false;
    for (const auto &name : ejected)
      counted |= min_capacity[name] > 0;
    counts_->at_floor += counted && slack == 0;
    if (slack < 0 && counted)
      violation_ = "floor short by " + std::to_string (-slack) + " with "
                   + std::to_string (ejected.size ()) + " targets ejected";
  }

  counters *counts_;
  rng rng_;
  uint32_t takeover_permille_, release_permille_;
  int64_t now_us_ = 0;
  uint64_t order_ = 0, calls_ = 0;
  host hosts_[hosts_count];
  bool link_failed_[hosts_count][hosts_count] = {};
  uint64_t call_of_[hosts_count] = {};
  std::priority_queue<event> queue_;
  std::vector<spec> specs_;
  bool outage_ = false;
  uint64_t version_ = 0;
  floor_record stored_ = {};
  std::string stored_text_;
  std::string violation_;
};
}

#endif
