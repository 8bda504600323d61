/** @file
 * A platform in memory for tests: one store, and one client per host that can
 * be disconnected, read an old state or lose the response to a write.
 */
#ifndef NODE_CONTROL_TESTS_FAKE_PLATFORM_H
#define NODE_CONTROL_TESTS_FAKE_PLATFORM_H

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include <ev.h>

#include "base/xmalloc.h"
#include "wire/platform.h"
}

struct fake_object
{
  uint64_t version;
  std::string value;
  bool removed;
};

/* Versions come from one increasing sequence, removals included. */
struct fake_store
{
  uint64_t sequence = 0;
  std::map<std::string, std::map<std::string, fake_object>> kinds;

  uint64_t
  put (const std::string &kind, const std::string &name,
       const std::string &value)
  {
    kinds[kind][name] = { ++sequence, value, false };
    return sequence;
  }

  uint64_t
  remove (const std::string &kind, const std::string &name)
  {
    kinds[kind][name] = { ++sequence, "", true };
    return sequence;
  }
};

struct fake_platform
{
  struct platform base;
  struct ev_loop *loop;
  fake_store *store;
  bool is_down;
  bool refuses = false;   /* refuses all calls: too many of them */
  bool forgets_revisions; /* refuses watches, their revision is unknown */
  int lost_responses;     /* of the next writes */
  bool delays_removals = false; /* delays the replies to removals */
  int removals = 0;             /* requested removals */
  int writes;
  int gets;
  int newest_lists = 0;       /* lists of the newest state */
  const fake_store *snapshot; /* an old state that is read instead */
  int lists = 0;
  std::string failing_kind; /* its calls fail */
  /* Kinds whose watches and lists have responses that can't be read, and whose
     watches have responses that are cut. */
  std::string unreadable_watch, unreadable_list, cut_watch;

  struct call
  {
    std::string verb, kind, name, value;
    bool removes;
    uint64_t number;
    platform_done *done;
    void *owner;
    double end; /* of a watch, on the loop's clock */
    bool is_silent = false;
    bool is_cut = false;
    platform_read_mode mode = PLATFORM_READ_LATEST;
  };

  std::list<call> calls;
  std::function<void (const call &)> before_put;
  ev_timer timer;

  fake_platform (struct ev_loop *on, fake_store *from)
      : base{ &ops, 0, 0, 0, nullptr, nullptr, 0 }, loop (on), store (from),
        is_down (false), forgets_revisions (false), lost_responses (0),
        writes (0), gets (0), snapshot (nullptr)
  {
    ev_timer_init (&timer, poll, 0, 0.002);
    timer.data = this;
    ev_timer_start (loop, &timer);
  }

  ~fake_platform ()
  {
    ev_timer_stop (loop, &timer);
  }

  const fake_store &
  view () const
  {
    return snapshot != nullptr ? *snapshot : *store;
  }

  void
  reply (const call &c, status code, const std::vector<platform_object> &found,
         uint64_t revision)
  {
    const platform_reply answer
        = { code,          code == STATUS_OK ? nullptr : "fake",
            revision,      found.data (),
            found.size (), false };
    c.done (c.owner, &answer);
  }

  /* Objects of the kind newer than SINCE; removed ones only for a watch. */
  std::vector<platform_object>
  read (const call &c, uint64_t since, bool is_watch, uint64_t *revision)
  {
    std::vector<platform_object> found;
    *revision = 0;
    const auto kind = view ().kinds.find (c.kind);
    if (kind == view ().kinds.end ())
      return found;
    for (const auto &[name, object] : kind->second)
      {
        *revision = std::max (*revision, object.version);
        if (object.version > since && (is_watch || !object.removed))
          found.push_back (
              { name.c_str (), object.version,
                object.removed ? nullptr : object.value.c_str () });
      }
    return found;
  }

  /* Replies to C if its response is cut or can't be read. */
  bool
  reply_unreadable (const call &c)
  {
    const bool is_cut = c.verb == "watch" && c.kind == cut_watch;
    if (!is_cut && !(c.verb == "watch" && c.kind == unreadable_watch)
        && !(c.verb == "list" && c.kind == unreadable_list))
      return false;
    const platform_reply answer
        = { is_cut ? STATUS_LOST_ANSWER : STATUS_INVALID,
            "fake",
            0,
            nullptr,
            0,
            is_cut };
    c.done (c.owner, &answer);
    return true;
  }

  void
  do_get (const call &c)
  {
    gets++;
    const auto kind = view ().kinds.find (c.kind);
    if (kind == view ().kinds.end () || kind->second.count (c.name) == 0
        || kind->second.at (c.name).removed)
      return reply (c, STATUS_NOT_FOUND, {}, 0);
    const fake_object &object = kind->second.at (c.name);
    reply (c, STATUS_OK,
           { { c.name.c_str (), object.version, object.value.c_str () } }, 0);
  }

  void
  do_put (const call &c)
  {
    if (before_put)
      before_put (c);
    auto &kind = store->kinds[c.kind];
    const auto held = kind.find (c.name);
    const bool is_absent = held == kind.end () || held->second.removed;
    const uint64_t version = is_absent ? 0 : held->second.version;
    if (version != c.number && is_absent)
      return reply (c, STATUS_REFUSED, {}, 0);
    if (version != c.number)
      return reply (
          c, STATUS_REFUSED,
          { { c.name.c_str (), version, held->second.value.c_str () } }, 0);
    writes++;
    const uint64_t now = c.removes ? store->remove (c.kind, c.name)
                                   : store->put (c.kind, c.name, c.value);
    if (lost_responses > 0)
      {
        lost_responses--;
        return reply (c, STATUS_LOST_ANSWER, {}, 0);
      }
    reply (c, STATUS_OK, { { c.name.c_str (), now, nullptr } }, 0);
  }

  /* Replies to C, unless it is a watch that has nothing to return yet. */
  bool
  try_reply (const call &c)
  {
    uint64_t revision;
    if (delays_removals && c.removes)
      return false;
    if (refuses)
      {
        reply (c, STATUS_LIMIT, {}, 0);
        return true;
      }
    if (c.is_silent)
      {
        if (ev_now (loop) < c.end)
          return false;
        reply (c, STATUS_REFUSED, {}, 0);
        return true;
      }
    if (reply_unreadable (c))
      return true;
    if (c.is_cut)
      reply (c, STATUS_LOST_ANSWER, {}, 0);
    else if (is_down || c.kind == failing_kind)
      reply (c, STATUS_UNREACHABLE, {}, 0);
    else if (c.verb == "get")
      do_get (c);
    else if (c.verb == "put")
      do_put (c);
    else if (c.verb == "list")
      {
        const auto found = read (c, 0, false, &revision);
        reply (c, STATUS_OK, found, revision);
      }
    else if (forgets_revisions)
      reply (c, STATUS_REFUSED, {}, 0);
    else
      {
        const auto found = read (c, c.number, true, &revision);
        if (found.empty () && ev_now (loop) < c.end)
          return false;
        reply (c, STATUS_OK, found, revision);
      }
    return true;
  }

  /* Shows the next era, as the response to any call after a restore does. */
  void
  begin_next_era ()
  {
    base.era++;
    base.restored (base.restored_owner, base.era - 1, base.era);
  }

  /* All watches in flight stop returning changes.  When they time out, they
     are refused because their history is gone. */
  void
  silence_watches ()
  {
    for (call &c : calls)
      c.is_silent = c.verb == "watch";
  }

  /* The connections of all watches in flight are closed. */
  void
  cut_watches ()
  {
    for (call &c : calls)
      c.is_cut = c.verb == "watch";
  }

  bool
  has_call (const std::string &verb) const
  {
    for (const auto &c : calls)
      if (c.verb == verb)
        return true;
    return false;
  }

  bool
  has_call (const std::string &verb, const std::string &kind,
            platform_read_mode mode) const
  {
    for (const auto &c : calls)
      if (c.verb == verb && c.kind == kind && c.mode == mode)
        return true;
    return false;
  }

  static void
  poll (struct ev_loop *loop, ev_timer *watcher, int events)
  {
    auto *self = (fake_platform *)watcher->data;
    std::list<call> due;
    due.swap (self->calls);
    for (const auto &c : due)
      if (!self->try_reply (c))
        self->calls.push_back (c);
  }

  static void
  add (struct platform *platform, const call &c)
  {
    platform->calls++;
    ((fake_platform *)platform)->removals += c.removes;
    ((fake_platform *)platform)->lists += c.verb == "list";
    if (c.verb == "list" && c.mode == PLATFORM_READ_LATEST)
      ((fake_platform *)platform)->newest_lists++;
    ((fake_platform *)platform)->calls.push_back (c);
  }

  static const struct platform_ops ops;
};

inline const struct platform_ops fake_platform::ops = {
  [] (struct platform *p, const char *kind, const char *name,
      platform_done *done, void *owner) {
    add (p, { "get", kind, name, "", false, 0, done, owner, 0 });
  },
  [] (struct platform *p, const char *kind, platform_read_mode mode,
      platform_done *done, void *owner) {
    add (p, { "list", kind, "", "", false, 0, done, owner, 0, false, false,
              mode });
  },
  [] (struct platform *p, const char *kind, const char *name,
      uint64_t expected, const char *value, platform_done *done, void *owner) {
    add (p, { "put", kind, name, value == nullptr ? "" : value,
              value == nullptr, expected, done, owner, 0 });
  },
  [] (struct platform *p, const char *kind, uint64_t revision,
      uint32_t timeout_ms, platform_read_mode mode, platform_done *done,
      void *owner) {
    add (p, { "watch", kind, "", "", false, revision, done, owner,
              ev_now (((fake_platform *)p)->loop) + timeout_ms / 1000.0, false,
              false, mode });
  },
  [] (struct platform *p, void *owner) {
    ((fake_platform *)p)->calls.remove_if ([=] (const call &c) {
      return c.owner == owner;
    });
  },
  [] (struct platform *) {},
};

#endif
