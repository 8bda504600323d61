/** @file
 * A target that responds on each connection with bytes set by the test.
 */
#ifndef NODE_CALLER_TESTS_RAW_TARGET_H
#define NODE_CALLER_TESTS_RAW_TARGET_H

#include <list>
#include <string>

#include <ev.h>

class RawTarget
{
public:
  explicit RawTarget (struct ev_loop *loop);
  ~RawTarget ();
  RawTarget (const RawTarget &) = delete;
  RawTarget &operator= (const RawTarget &) = delete;

  std::string address () const;

  std::string answer; /**< written once the head of a request was received */
  bool close_after = true; /**< otherwise the connection stays open */
  int requests = 0;

private:
  struct Peer
  {
    RawTarget *target;
    int fd;
    std::string received;
    bool answered;
    ev_io io;
  };

  static void on_accept (struct ev_loop *loop, ev_io *io, int events);
  static void on_readable (struct ev_loop *loop, ev_io *io, int events);
  void drop (Peer *peer);

  struct ev_loop *loop_;
  int fd_;
  ev_io io_;
  std::list<Peer> peers_;
};

#endif
