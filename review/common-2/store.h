// A stand-in of the platform's store, as PROTOCOL.md describes it.
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "net.h"

/** How the store treats the calls that come through one of its addresses. */
enum class Door
{
  open,
  busy,   /**< 503, nothing is done */
  reset,  /**< connections are reset */
  silent, /**< nothing is answered */
};

class Store
{
  struct Object
  {
    uint64_t revision = 0, created = 0;
    std::string spec = "null", status = "null", finalizers = "[]";
  };
  struct Event
  {
    std::string kind, name;
    Object object;
    bool deleted;
  };

public:
  /** Open an address more; each has a door of its own. */
  std::string
  open_address (const std::string &ip)
  {
    std::string address;
    const int fd = listen_on (ip, address);
    const size_t door = doors_.size ();
    doors_.push_back (Door::open);
    std::thread ([this, fd, door] {
      for (;;)
        {
          const int call = accept4 (fd, nullptr, nullptr, SOCK_CLOEXEC);
          if (call >= 0)
            std::thread ([this, call, door] { serve (call, door); }).detach ();
        }
    }).detach ();
    return address;
  }

  void
  set_door (size_t door, Door state)
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    doors_[door] = state;
    changed_.notify_all ();
  }

  /** Write an object as the operator or a back end. @return its revision */
  uint64_t
  put (const std::string &kind, const std::string &name,
       const std::string &spec)
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    Object &object = objects_[kind][name];
    if (object.spec == spec)
      return object.revision;
    object.spec = spec;
    touch (kind, name, object);
    return object.revision;
  }

  void
  remove (const std::string &kind, const std::string &name)
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    erase (kind, name);
  }

  /** Cut off all watches that are waiting now. @return their number */
  int
  cut_watches ()
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    cut_++;
    changed_.notify_all ();
    return waiting_;
  }

  int
  count (const std::string &kind)
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    return static_cast<int> (objects_[kind].size ());
  }

private:
  using Lock = std::unique_lock<std::mutex>;
  struct Answer
  {
    int status;
    std::string body;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Door> doors_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> history_;
  uint64_t revision_ = 100;
  uint64_t cut_ = 0;
  int waiting_ = 0;

  static std::string
  text (const std::string &name, const Object &object)
  {
    return "{\"Metadata\":{\"Name\":\"" + name
           + "\",\"Revision\":" + std::to_string (object.revision)
           + ",\"Created\":" + std::to_string (object.created)
           + ",\"Finalizers\":" + object.finalizers
           + ",\"DeletionRequested\":false},\"Spec\":" + object.spec
           + ",\"Status\":" + object.status + "}";
  }

  void
  touch (const std::string &kind, const std::string &name, Object &object)
  {
    object.revision = ++revision_;
    if (object.created == 0)
      object.created = revision_;
    history_.push_back ({ kind, name, object, false });
    changed_.notify_all ();
  }

  void
  erase (const std::string &kind, const std::string &name)
  {
    const auto found = objects_[kind].find (name);
    if (found == objects_[kind].end ())
      return;
    found->second.revision = ++revision_;
    history_.push_back ({ kind, name, found->second, true });
    objects_[kind].erase (found);
    changed_.notify_all ();
  }

  static std::string
  query_of (const std::string &query, const std::string &name)
  {
    size_t at = 0;
    while (at < query.size ())
      {
        const size_t end = std::min (query.find ('&', at), query.size ());
        if (query.compare (at, name.size () + 1, name + "=") == 0)
          return query.substr (at + name.size () + 1,
                               end - at - name.size () - 1);
        at = end + 1;
      }
    return "";
  }

  /** The text of member KEY of the JSON object in BODY: a value up to its
   * end. */
  static std::string
  member (const std::string &body, const std::string &key)
  {
    int depth = 0;
    bool quoted = false;
    const std::string sought = "\"" + key + "\"";
    for (size_t i = 0; i < body.size (); i++)
      {
        if (!quoted && depth == 1
            && body.compare (i, sought.size (), sought) == 0)
          {
            size_t from = body.find (':', i + sought.size ()) + 1;
            while (body[from] == ' ')
              from++;
            int inner = 0;
            bool in_text = false;
            size_t to = from;
            for (; to < body.size (); to++)
              {
                const char c = body[to];
                if (in_text)
                  {
                    to += c == '\\';
                    in_text = c != '"';
                    continue;
                  }
                in_text = c == '"';
                if (inner == 0 && (c == ',' || c == '}'))
                  break;
                inner += (c == '{' || c == '[') - (c == '}' || c == ']');
              }
            return body.substr (from, to - from);
          }
        const char c = body[i];
        if (quoted)
          {
            i += c == '\\';
            quoted = c != '"';
            continue;
          }
        quoted = c == '"';
        depth += (c == '{' || c == '[') - (c == '}' || c == ']');
      }
    return "";
  }

  static std::string
  unquoted (const std::string &text)
  {
    return text.size () >= 2 && text[0] == '"'
               ? text.substr (1, text.size () - 2)
               : text;
  }

  Answer
  list (const std::string &kind, const std::string &after)
  {
    std::string items;
    size_t count = 0;
    bool more = false;
    for (const auto &[name, object] : objects_[kind])
      {
        if (name <= after)
          continue;
        more = count == 500;
        if (more)
          break;
        items += (count++ > 0 ? "," : "") + text (name, object);
      }
    return { 200, "{\"items\":[" + items
                      + "],\"HasMore\":" + (more ? "true" : "false")
                      + ",\"AtRev\":" + std::to_string (revision_) + "}" };
  }

  Answer
  watch (Lock &lock, size_t door, const std::string &kind, uint64_t since,
         int wait_ms)
  {
    const int64_t until = now_ms () + wait_ms;
    const uint64_t cut = cut_;
    for (;;)
      {
        std::string events;
        if (doors_[door] != Door::open || cut != cut_)
          return { 0, "" };
        for (const Event &event : history_)
          if (event.kind == kind && event.object.revision > since)
            events += std::string (events.empty () ? "" : ",")
                      + "{\"Deleted\":" + (event.deleted ? "true" : "false")
                      + ",\"Object\":" + text (event.name, event.object) + "}";
        const int64_t left = until - now_ms ();
        if (!events.empty () || left <= 0)
          return { 200, "{\"events\":[" + events + "],\"AtRev\":"
                            + std::to_string (revision_) + "}" };
        waiting_++;
        changed_.wait_for (lock, std::chrono::milliseconds (left));
        waiting_--;
      }
  }

  Answer
  write (const std::string &method, const std::string &kind, std::string name,
         const std::string &body, const std::string &query)
  {
    const std::string meta = member (body, "Metadata");
    const bool is_status
        = name.size () > 7
          && name.compare (name.size () - 7, 7, "/status") == 0;
    if (is_status)
      name.resize (name.size () - 7);
    if (method == "POST")
      name = unquoted (member (meta, "Name"));
    auto &kinds = objects_[kind];
    const auto found = kinds.find (name);
    const bool exists = found != kinds.end ();
    if (method == "POST" && exists)
      return { 409, text (name, found->second) };
    if (method != "POST" && !exists)
      return { 404, "{}" };
    std::string expected = query_of (query, "Revision");
    if (expected.empty ())
      expected = member (meta, "Revision");
    if (exists && !expected.empty ()
        && strtoull (expected.c_str (), nullptr, 10) != found->second.revision)
      return { 409, text (name, found->second) };
    if (method == "DELETE")
      {
        const std::string last = text (name, found->second);
        erase (kind, name);
        return { 200, last };
      }
    Object &object = kinds[name];
    const Object before = object;
    if (is_status)
      object.status = member (body, "Status");
    else
      {
        const std::string spec = member (body, "Spec");
        object.spec = spec.empty () ? "null" : spec;
        const std::string finalizers = member (meta, "Finalizers");
        if (!finalizers.empty ())
          object.finalizers = finalizers;
      }
    if (!exists || before.spec != object.spec || before.status != object.status
        || before.finalizers != object.finalizers)
      touch (kind, name, object);
    return { 200, text (name, object) };
  }

  Answer
  answer (Lock &lock, size_t door, const Message &call)
  {
    static const std::string prefix = "/jaystair/objects/";
    const std::string method = call.word (0);
    std::string path = call.word (1);
    const size_t mark = path.find ('?');
    const std::string query
        = mark == std::string::npos ? "" : path.substr (mark + 1);
    path = path.substr (0, mark);
    if (path.compare (0, prefix.size (), prefix) != 0)
      return { 404, "{}" };
    path.erase (0, prefix.size ());
    const size_t slash = path.find ('/');
    const std::string kind = path.substr (0, slash);
    const std::string name
        = slash == std::string::npos ? "" : path.substr (slash + 1);
    if (method != "GET")
      return write (method, kind, name, call.body, query);
    const std::string since = query_of (query, "Watch");
    if (!since.empty ())
      return watch (lock, door, kind, strtoull (since.c_str (), nullptr, 10),
                    atoi (query_of (query, "WaitMs").c_str ()));
    if (name.empty ())
      return list (kind, query_of (query, "after"));
    const auto found = objects_[kind].find (name);
    if (found == objects_[kind].end ())
      return { 404, "{}" };
    return { 200, text (name, found->second) };
  }

  void
  serve (int fd, size_t door)
  {
    Reader reader (fd);
    const int64_t far = now_ms () + 600000;
    Message call;
    while (read_head (reader, call, far) == Read::ok
           && read_body (reader, call, far, false) == Read::ok)
      {
        Lock lock (mutex_);
        while (doors_[door] == Door::silent)
          changed_.wait (lock);
        if (doors_[door] == Door::reset)
          {
            set_reset (fd);
            break;
          }
        const Answer result = doors_[door] == Door::busy
                                  ? Answer{ 503, "{}" }
                                  : answer (lock, door, call);
        lock.unlock ();
        if (result.status == 0)
          break;
        if (!send_all (fd,
                       "HTTP/1.1 " + std::to_string (result.status)
                           + " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: "
                           + std::to_string (result.body.size ()) + "\r\n\r\n"
                           + result.body,
                       now_ms () + 5000))
          break;
      }
    close (fd);
  }
};

#endif
