#include "node/caller/tests/raw_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

RawTarget::RawTarget (struct ev_loop *loop) : loop_ (loop)
{
  sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fd_ = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (bind (fd_, (sockaddr *)&in, sizeof in) != 0 || listen (fd_, 16) != 0)
    abort ();
  ev_io_init (&io_, on_accept, fd_, EV_READ);
  io_.data = this;
  ev_io_start (loop_, &io_);
}

RawTarget::~RawTarget ()
{
  while (!peers_.empty ())
    drop (&peers_.front ());
  ev_io_stop (loop_, &io_);
  close (fd_);
}

std::string
RawTarget::address () const
{
  sockaddr_in in = {};
  socklen_t size = sizeof in;
  getsockname (fd_, (sockaddr *)&in, &size);
  return "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
}

void
RawTarget::drop (Peer *peer)
{
  ev_io_stop (loop_, &peer->io);
  close (peer->fd);
  peers_.remove_if ([peer] (const Peer &other) { return &other == peer; });
}

void
RawTarget::on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  auto *target = static_cast<RawTarget *> (io->data);
  const int fd = accept4 (target->fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd < 0)
    return;
  target->peers_.push_back ({ target, fd, "", false, {} });
  Peer *peer = &target->peers_.back ();
  ev_io_init (&peer->io, on_readable, fd, EV_READ);
  peer->io.data = peer;
  ev_io_start (loop, &peer->io);
}

void
RawTarget::on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  auto *peer = static_cast<Peer *> (io->data);
  RawTarget *target = peer->target;
  char data[16384];
  const ssize_t received_bytes = recv (peer->fd, data, sizeof data, 0);
  if (received_bytes <= 0)
    {
      target->drop (peer);
      return;
    }
  peer->received.append (data, (size_t)received_bytes);
  if (peer->answered || peer->received.find ("\r\n\r\n") == std::string::npos)
    return;
  peer->answered = true;
  target->requests++;
  const std::string &answer = target->answer;
  if (send (peer->fd, answer.data (), answer.size (), MSG_NOSIGNAL) < 0
      || target->close_after)
    target->drop (peer);
}
