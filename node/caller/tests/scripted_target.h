/** @file
 * A target that keeps its connections open and whose test writes the bytes of
 * its responses, to one request after the other.
 */
#ifndef NODE_CALLER_TESTS_SCRIPTED_TARGET_H
#define NODE_CALLER_TESTS_SCRIPTED_TARGET_H

#include <functional>
#include <list>
#include <map>
#include <string>

#include <ev.h>

/** A request, without its body. */
struct ScriptedRequest
{
  std::string id;   /**< X-Request-Id; "": none */
  std::string path; /**< with the query */
  int number;       /**< on its connection, from 1 */
};

/** What happens to the connection after a response. */
enum class ScriptedEnd
{
  keep,
  close, /**< in order */
  reset
};

class ScriptedTarget
{
public:
  explicit ScriptedTarget (struct ev_loop *loop);
  ~ScriptedTarget ();
  ScriptedTarget (const ScriptedTarget &) = delete;
  ScriptedTarget &operator= (const ScriptedTarget &) = delete;

  std::string address () const;
  /** Requests with ID that were received. */
  int received (const std::string &id) const;

  /** Returns the bytes to send once a request was received; "": none. */
  std::function<std::string (const ScriptedRequest &)> script;
  /** Unset: connections are kept. */
  std::function<ScriptedEnd (const ScriptedRequest &)> end;
  int connections = 0;

private:
  struct Peer
  {
    ScriptedTarget *target;
    int fd;
    std::string input;
    int requests;
    ev_io io;
  };

  static void on_accept (struct ev_loop *loop, ev_io *io, int events);
  static void on_readable (struct ev_loop *loop, ev_io *io, int events);
  bool answer_next (Peer *peer);
  void drop (Peer *peer);

  struct ev_loop *loop_;
  int fd_;
  ev_io io_;
  std::list<Peer> peers_;
  std::map<std::string, int> received_;
};

#endif
