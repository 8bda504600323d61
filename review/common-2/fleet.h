// Hosts as processes, back ends and callers in threads, and the record.
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdarg>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>

#include "store.h"

/** The times of the record count from the first line. */
class Record
{
public:
  explicit Record (const std::string &path)
      : file_ (fopen (path.c_str (), "w"))
  {
    if (file_ == nullptr)
      {
        perror (path.c_str ());
        exit (2);
      }
  }
  __attribute__ ((format (printf, 2, 3))) void
  line (const char *format, ...)
  {
    char text[600];
    va_list arguments;
    va_start (arguments, format);
    vsnprintf (text, sizeof text, format, arguments);
    va_end (arguments);
    const std::lock_guard<std::mutex> lock (mutex_);
    fprintf (file_, "%9.3f %s\n",
             static_cast<double> (now_ms () - start_) / 1e3, text);
    fflush (file_);
  }

private:
  std::mutex mutex_;
  FILE *file_;
  int64_t start_ = now_ms ();
};

/** A tree of the fields that the platform fills templates in with. */
struct Value
{
  std::string text;                                 /**< as JSON; leaf */
  std::vector<std::pair<std::string, Value>> items; /**< table or list */
  bool is_list = false;

  static Value
  string (const std::string &text)
  {
    return { "\"" + text + "\"", {}, false };
  }
  static Value
  plain (const std::string &text)
  {
    return { text, {}, false };
  }
  const Value *
  find (const std::string &path) const
  {
    const size_t dot = path.find ('.');
    for (const auto &[key, value] : items)
      if (key == path.substr (0, dot))
        return dot == std::string::npos ? &value
                                        : value.find (path.substr (dot + 1));
    return nullptr;
  }
  bool
  is_set () const
  {
    return !items.empty () || (!text.empty () && text != "false");
  }
  std::string
  plain_text () const
  {
    if (!items.empty ())
      {
        std::string all;
        for (const auto &[key, value] : items)
          all += (all.empty () ? "" : ",") + value.plain_text ();
        return all;
      }
    return text.size () >= 2 && text[0] == '"'
               ? text.substr (1, text.size () - 2)
               : text;
  }
};

/** Fill in a template as DEPLOY.md says. */
class Template
{
public:
  static std::string
  fill (const std::string &text, const Value &fields)
  {
    std::string out;
    fill (text, { &fields }, "", true, out);
    return out;
  }

private:
  using Scopes = std::vector<const Value *>;

  static const Value *
  look_up (const Scopes &scopes, const std::string &name)
  {
    if (name == ".")
      return scopes.back ();
    for (auto scope = scopes.rbegin (); scope != scopes.rend (); ++scope)
      if (const Value *found = (*scope)->find (name))
        return found;
    return nullptr;
  }

  static void
  fill (const std::string &text, const Scopes &scopes, const std::string &key,
        bool is_last, std::string &out)
  {
    size_t at = 0;
    for (;;)
      {
        const size_t open = text.find ("{{", at);
        out += text.substr (at, open - at);
        if (open == std::string::npos)
          return;
        const size_t close = text.find ("}}", open);
        std::string name = text.substr (open + 2, close - open - 2);
        at = close + 2;
        if (name[0] == '#' || name[0] == '^')
          {
            const std::string end = "{{/" + name.substr (1) + "}}";
            const size_t stop = text.find (end, at);
            section (name, text.substr (at, stop - at), scopes, out);
            at = stop + end.size ();
          }
        else if (name == ",")
          out += is_last ? "" : ",";
        else if (name == "@")
          out += key;
        else
          {
            const size_t bar = name.find ('|');
            const Value *value = look_up (scopes, name.substr (0, bar));
            if (value != nullptr)
              out += bar != std::string::npos ? value->text
                                              : value->plain_text ();
          }
      }
  }

  static void
  section (const std::string &name, const std::string &inner,
           const Scopes &scopes, std::string &out)
  {
    const Value *value = look_up (scopes, name.substr (1));
    const bool is_set = value != nullptr && value->is_set ();
    if (name[0] == '^')
      {
        if (!is_set)
          fill (inner, scopes, "", true, out);
        return;
      }
    if (!is_set)
      return;
    Scopes more = scopes;
    more.push_back (value);
    if (value->items.empty ())
      {
        fill (inner, more, "", true, out);
        return;
      }
    for (size_t i = 0; i < value->items.size (); i++)
      {
        more.back () = &value->items[i].second;
        fill (inner, more, value->items[i].first,
              i + 1 == value->items.size (), out);
      }
  }
};

/** A host: the program of the deploy file as a process. */
struct Host
{
  std::string name, zone, ip, front, ready, control, directory, settings, log;
  std::string platform;
  pid_t pid = -1;
};

class Fleet
{
public:
  /** ROOT: the repository; FOLDER: temporary. */
  Fleet (const std::string &root, const std::string &folder, Record &record)
      : record (record), root_ (root), folder_ (folder)
  {
    signal (SIGPIPE, SIG_IGN);
  }
  ~Fleet ()
  {
    for (Host &host : hosts)
      stop (host, SIGKILL);
  }

  Record &record;
  Store store;
  std::deque<Host> hosts;
  /** Bounds beside those of a small deployment. */
  std::vector<std::pair<std::string, Value>> more_bounds;

  Host &
  add_host (const std::string &zone)
  {
    const size_t n = hosts.size () + 1;
    hosts.emplace_back ();
    Host &host = hosts.back ();
    host.name = "front-" + std::to_string (n);
    host.zone = zone;
    /* The operators' port of the template is fixed, so that the address must
       be this process's own. */
    const int own = static_cast<int> (getpid ());
    host.ip = "127." + std::to_string (16 + own / 250 % 200) + "."
              + std::to_string (1 + own % 250) + "." + std::to_string (n);
    host.front = free_address (host.ip);
    host.ready = free_address (host.ip);
    host.control = free_address (host.ip);
    host.directory = free_address (host.ip);
    host.platform = store.open_address ("127.0.2.1");
    host.log = folder_ + "/" + host.name + ".log";
    return host;
  }

  void
  write_settings (Host &host)
  {
    const std::string path = root_ + "/deploy/host.json.in";
    std::ifstream file (path);
    std::stringstream text;
    text << file.rdbuf ();
    Value fields;
    const auto s = &Value::string;
    const auto p = &Value::plain;
    Value listen, platform, bounds, limits, seeds;
    listen.items = { { "Front", s (host.front) },
                     { "Ready", s (host.ready) },
                     { "Control", s (host.control) },
                     { "Directory", s (host.directory) } };
    platform.items
        = { { "Address", s (host.platform) }, { "form", s ("objects") } };
    bounds.items = { { "RetryBudgetRatio", p ("0.2") },
                     { "RetryWindow", s ("10s") },
                     { "RetrySlack", p ("56") },
                     { "FloorShare", p ("0.7") },
                     { "ConfigApply", s ("2000ms") },
                     { "Drain", s ("2000ms") },
                     { "Grace", s ("6s") },
                     { "ttl_max", s ("5s") } };
    for (const auto &bound : more_bounds)
      bounds.items.push_back (bound);
    limits.items = { { "CpuShare", p ("0.2") },
                     { "Cores", p ("1") },
                     { "MemoryMb", p ("260") },
                     { "MaxFds", p ("4100") },
                     { "LinkMbps", p ("1000.0") } };
    for (size_t i = 0; i < hosts.size () && i < 3; i++)
      seeds.items.emplace_back (std::to_string (i), s (hosts[i].control));
    fields.items
        = { { "NodeName", s (host.name) },
            { "Zone", s (host.zone) },
            { "Ip", s (host.ip) },
            { "Listen", listen },
            { "Platform", platform },
            { "Seeds", seeds },
            { "Contracts", s ("base,drain,config,cost,retry,recover,health,"
                              "platform") },
            { "Bounds", bounds },
            { "Limits", limits } };
    host.settings = folder_ + "/" + host.name + ".json";
    std::ofstream (host.settings) << Template::fill (text.str (), fields);
  }

  void
  start (Host &host)
  {
    write_settings (host);
    host.pid = fork ();
    if (host.pid == 0)
      {
        prctl (PR_SET_PDEATHSIG, SIGKILL);
        const int log
            = open (host.log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2 (log, 1);
        dup2 (log, 2);
        if (chdir (root_.c_str ()) != 0)
          _exit (127);
        execl ("target/node/daemon/jaystaird", "target/node/daemon/jaystaird",
               "--settings", host.settings.c_str (), nullptr);
        _exit (127);
      }
    record.line ("start %s front %s", host.name.c_str (), host.front.c_str ());
  }

  /** Send SIGNAL and wait for the end. @return the wait status */
  int
  stop (Host &host, int number)
  {
    int status = 0;
    if (host.pid <= 0)
      return 0;
    kill (host.pid, number);
    waitpid (host.pid, &status, 0);
    host.pid = -1;
    return status;
  }

  bool
  is_ready (const Host &host)
  {
    const int fd = connect_to (host.ready, 500);
    if (fd < 0)
      return false;
    Reader reader (fd);
    Message answer;
    const bool is_read
        = send_all (fd,
                    "GET /jaystair/readiness HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n",
                    now_ms () + 500)
          && read_head (reader, answer, now_ms () + 1000) == Read::ok;
    close (fd);
    return is_read && answer.status () == 200;
  }

  bool
  wait_ready (int timeout_ms)
  {
    const int64_t until = now_ms () + timeout_ms;
    for (Host &host : hosts)
      while (host.pid > 0 && !is_ready (host))
        {
          if (now_ms () > until)
            return false;
          usleep (50000);
        }
    return true;
  }

  /** The first lines of HOST's log that hold WORD go into the record. */
  void
  quote_log (const Host &host, const std::string &word, int most)
  {
    std::ifstream file (host.log);
    std::string line;
    while (most > 0 && std::getline (file, line))
      if (line.find (word) != std::string::npos)
        {
          record.line ("log of %s: %.400s", host.name.c_str (), line.c_str ());
          most--;
        }
  }

private:
  std::string root_, folder_;
};

/** What a back end does with one request, after it has read it. */
struct Conduct
{
  int work_ms = 20;
};

/** One lifetime of a back end. */
class Backend
{
public:
  struct Run
  {
    std::string id, method, path, body;
    int64_t arrived_ms;
  };

  Backend (Record &record, const std::string &id, const std::string &service,
           const std::string &zone, int work_ms)
      : id (id), service (service), zone (zone), record_ (record),
        work_ms_ (work_ms)
  {
    fd_ = listen_on ("127.0.4.1", address);
    thread_ = std::thread ([this] { accept_all (); });
  }
  ~Backend ()
  {
    end ();
  }

  const std::string id, service, zone;
  std::string address;

  std::string
  entry (const std::string &state) const
  {
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + address
           + "\",\"Zone\":\"" + zone
           + "\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state
           + "\",\"ColdLeft\":\"0ms\",\"Seq\":1}";
  }

  std::vector<Run>
  runs ()
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    return runs_;
  }

  /** The process ends: its sockets are closed, as the kernel does. */
  void
  end ()
  {
    if (ended_.exchange (true))
      return;
    shutdown (fd_, SHUT_RDWR);
    close (fd_);
    thread_.join ();
    std::vector<std::thread> threads;
    {
      const std::lock_guard<std::mutex> lock (mutex_);
      for (const int fd : connections_)
        {
          set_reset (fd);
          shutdown (fd, SHUT_RDWR);
        }
      threads.swap (threads_);
    }
    for (std::thread &thread : threads)
      thread.join ();
  }

private:
  Record &record_;
  int work_ms_, fd_;
  std::thread thread_;
  std::atomic<bool> ended_{ false };
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<std::thread> threads_;
  std::vector<int> connections_;

  void
  accept_all ()
  {
    while (!ended_)
      {
        const int fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        const int one = 1;
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard<std::mutex> lock (mutex_);
        connections_.push_back (fd);
        threads_.emplace_back ([this, fd] { serve (fd); });
      }
  }

  void
  serve (int fd)
  {
    Reader reader (fd);
    Message request;
    const int64_t far = now_ms () + 600000;
    while (!ended_ && read_head (reader, request, far) == Read::ok
           && read_body (reader, request, far, false) == Read::ok)
      if (!respond (fd, request))
        break;
    const std::lock_guard<std::mutex> lock (mutex_);
    connections_.erase (
        std::find (connections_.begin (), connections_.end (), fd));
    if (ended_)
      set_reset (fd);
    close (fd);
  }

  bool
  respond (int fd, const Message &request)
  {
    const std::string attempt = request.field ("X-Attempt-Id");
    const std::string meant = request.field ("X-Target-Instance");
    if (!meant.empty () && meant != id)
      {
        record_.line ("back end %s answers 421 to %s", id.c_str (),
                      attempt.c_str ());
        return send_all (fd,
                         "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                             + attempt
                             + "\r\nX-Not-Executed: 1\r\nContent-Length: "
                               "0\r\n\r\n",
                         now_ms () + 5000);
      }
    {
      const std::lock_guard<std::mutex> lock (mutex_);
      runs_.push_back ({ attempt, request.word (0), request.word (1),
                         request.body, now_ms () });
    }
    record_.line ("back end %s runs %s %s", id.c_str (), attempt.c_str (),
                  request.word (1).c_str ());
    const int64_t until = now_ms () + work_ms_;
    while (!ended_ && now_ms () < until)
      usleep (2000);
    if (ended_)
      return false;
    const std::string body = "done " + attempt + "\n";
    return send_all (fd,
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                         + "\r\nX-Response-Signature: " + id + "." + attempt
                         + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
                         + std::to_string (body.size ()) + "\r\n\r\n" + body,
                     now_ms () + 5000);
  }
};

/** What a caller has seen of one request. */
struct Outcome
{
  int status = 0; /**< 0: no whole answer */
  std::string body, signature;
  int64_t sent_ms = 0, ended_ms = 0;
};

/** Send one request on a new connection and wait for its answer. */
inline Outcome
ask (const std::string &front, const std::string &method,
     const std::string &path, const std::string &id, int deadline_ms,
     const std::string &body = "")
{
  Outcome outcome;
  outcome.sent_ms = now_ms ();
  const int fd = connect_to (front, 1000);
  if (fd >= 0)
    {
      std::string text
          = method + " " + path
            + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string (deadline_ms) + "\r\n";
      if (method != "GET")
        text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
      const int64_t until = now_ms () + deadline_ms;
      Reader reader (fd);
      Message answer;
      outcome.sent_ms = now_ms ();
      if (send_all (fd, text + "\r\n" + body, until))
        while (read_head (reader, answer, until) == Read::ok)
          if (answer.status () >= 200)
            {
              if (read_body (reader, answer, until, true) == Read::ok)
                {
                  outcome.status = answer.status ();
                  outcome.body = answer.body;
                  outcome.signature = answer.field ("X-Response-Signature");
                }
              break;
            }
      close (fd);
    }
  outcome.ended_ms = now_ms ();
  return outcome;
}

inline std::string
route_text (const std::string &name, const std::string &prefix,
            const std::string &kind, const std::string &service,
            const std::string &timeout = "4000ms")
{
  return "\"" + name + "\":{\"Host\":\"a.example\",\"PathPrefix\":\"" + prefix
         + "\",\"Kind\":\"" + kind + "\",\"Timeout\":\"" + timeout
         + "\",\"TargetLatency\":\"1000ms\",\"Priority\":1,\"Service\":\""
         + service + "\",\"MaxAttempts\":2}";
}

inline std::string
config_text (int version, const std::string &routes,
             const std::vector<std::string> &services,
             const std::string &more = "")
{
  char hex[16];
  snprintf (hex, sizeof hex, "%08x", static_cast<unsigned> (version));
  std::string declared;
  for (const std::string &service : services)
    declared += (declared.empty () ? "\"" : ",\"") + service
                + "\":{\"HealthPath\":\"/health\",\"MaxConns\":330}";
  return std::string ("{\"Version\":\"") + hex + "\",\"Routes\":{" + routes
         + "},\"Services\":{" + declared
         + "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
           "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}"
         + more + "}";
}

#endif
