// A path to one back end that can be cut.
#ifndef REVIEW_PATH_H
#define REVIEW_PATH_H

#include "fleet.h"

/** A proxy before one back end.  While it is cut, no byte passes either way
 * and new connections aren't answered, as behind a partition. */
class Path
{
public:
  explicit Path (const std::string &to) : to_ (to)
  {
    fd_ = listen_on ("127.0.5.1", address, backlog);
    thread_ = std::thread ([this] { accept_all (); });
  }
  ~Path ()
  {
    over_ = true;
    thread_.join ();
    for (std::thread &thread : threads_)
      thread.join ();
    close (fd_);
    heal ();
  }

  std::string address;

  /** New connections hang, since the queue of those to be accepted is full. */
  void
  cut ()
  {
    cut_ = true;
    usleep (2 * step_us);
    const sockaddr_in at = socket_address (address);
    for (int i = 0; i < 2 * backlog; i++)
      {
        const int fd
            = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int result = connect (
            fd, reinterpret_cast<const sockaddr *> (&at), sizeof at);
        (void)result;
        fillers_.push_back (fd);
      }
  }

  void
  heal ()
  {
    for (const int fd : fillers_)
      close (fd);
    fillers_.clear ();
    cut_ = false;
  }

private:
  static constexpr int backlog = 64;
  static constexpr int step_us = 10000;

  std::string to_;
  int fd_;
  std::atomic<bool> over_{ false }, cut_{ false };
  std::thread thread_;
  std::vector<std::thread> threads_;
  std::vector<int> fillers_;

  void
  accept_all ()
  {
    while (!over_)
      {
        pollfd wait{ fd_, POLLIN, 0 };
        if (cut_ || poll (&wait, 1, step_us / 1000) <= 0 || cut_)
          {
            usleep (1000);
            continue;
          }
        const int fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
          threads_.emplace_back ([this, fd] { pass (fd); });
      }
  }

  void
  pass (int from)
  {
    const int to = connect_to (to_, 1000);
    if (to < 0)
      {
        set_reset (from);
        close (from);
        return;
      }
    const int fds[] = { from, to };
    bool is_open[] = { true, true };
    while (!over_ && (is_open[0] || is_open[1]))
      {
        pollfd wait[]
            = { { from, static_cast<short> (is_open[0] ? POLLIN : 0), 0 },
                { to, static_cast<short> (is_open[1] ? POLLIN : 0), 0 } };
        if (cut_ || poll (wait, 2, 5) <= 0 || cut_)
          {
            usleep (1000);
            continue;
          }
        for (int i = 0; i < 2; i++)
          if (is_open[i] && wait[i].revents != 0)
            move (fds[i], fds[1 - i], is_open[i], is_open);
      }
    close (from);
    close (to);
  }

  static void
  move (int from, int to, bool &is_open, bool *both)
  {
    char data[16384];
    const ssize_t n = recv (from, data, sizeof data, MSG_DONTWAIT);
    if (n > 0
        && send_all (to, std::string (data, static_cast<size_t> (n)),
                     now_ms () + 5000))
      return;
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (n == 0)
      {
        is_open = false;
        shutdown (to, SHUT_WR);
        return;
      }
    set_reset (from);
    set_reset (to);
    both[0] = both[1] = false;
  }
};

#endif
