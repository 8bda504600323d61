/** @file
 * A target, or another host, whose test decides when it answers, with which
 * bytes, and how its connection ends.
 */
#ifndef NODE_CALLER_TESTS_STAGED_TARGET_H
#define NODE_CALLER_TESTS_STAGED_TARGET_H

#include <list>
#include <string>

#include <arpa/inet.h>
#include <ev.h>
#include <sys/socket.h>
#include <unistd.h>

class StagedTarget
{
public:
  explicit StagedTarget (struct ev_loop *loop) : loop_ (loop)
  {
    sockaddr_in any = {};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bind (fd_, reinterpret_cast<sockaddr *> (&any), sizeof any);
    listen (fd_, 16);
    ev_io_init (&io_, on_accept, fd_, EV_READ);
    io_.data = this;
    ev_io_start (loop, &io_);
  }

  ~StagedTarget ()
  {
    for (Peer &peer : peers_)
      end (&peer, false);
    if (fd_ >= 0)
      refuse ();
  }

  StagedTarget (const StagedTarget &) = delete;
  StagedTarget &operator= (const StagedTarget &) = delete;

  std::string
  address () const
  {
    sockaddr_in in = {};
    socklen_t size = sizeof in;
    getsockname (fd_, reinterpret_cast<sockaddr *> (&in), &size);
    return "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
  }

  /** Of all connections. */
  std::string received;
  int connections = 0;

  /** Write BYTES to the newest connection. */
  void
  write (const std::string &bytes)
  {
    if (!peers_.empty ())
      send (peers_.back ().fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
  }

  /** Write BYTES to the oldest connection. */
  void
  write_first (const std::string &bytes)
  {
    if (!peers_.empty ())
      send (peers_.front ().fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
  }

  /** End the newest connection, in order or by a reset. */
  void
  end (bool reset)
  {
    if (!peers_.empty ())
      end (&peers_.back (), reset);
  }

  /** Refuse further connections. */
  void
  refuse ()
  {
    ev_io_stop (loop_, &io_);
    ::close (fd_);
    fd_ = -1;
  }

private:
  struct Peer
  {
    StagedTarget *target;
    int fd;
    ev_io io;
  };

  static void
  on_accept (struct ev_loop *loop, ev_io *io, int)
  {
    auto *target = static_cast<StagedTarget *> (io->data);
    const int fd = accept4 (target->fd_, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd < 0)
      return;
    target->connections++;
    target->peers_.push_back ({ target, fd, {} });
    Peer *peer = &target->peers_.back ();
    ev_io_init (&peer->io, on_readable, fd, EV_READ);
    peer->io.data = peer;
    ev_io_start (loop, &peer->io);
  }

  static void
  on_readable (struct ev_loop *loop, ev_io *io, int)
  {
    auto *peer = static_cast<Peer *> (io->data);
    char data[16384];
    const ssize_t size = recv (peer->fd, data, sizeof data, 0);
    if (size > 0)
      peer->target->received.append (data, static_cast<size_t> (size));
    else
      ev_io_stop (loop, io);
  }

  void
  end (Peer *peer, bool reset)
  {
    if (peer->fd < 0)
      return;
    const linger at_once = { 1, 0 };
    if (reset)
      setsockopt (peer->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ev_io_stop (loop_, &peer->io);
    ::close (peer->fd);
    peer->fd = -1;
  }

  struct ev_loop *loop_;
  int fd_;
  ev_io io_;
  std::list<Peer> peers_;
};

#endif
