#include "node/caller/tests/endless_target.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

EndlessTarget::EndlessTarget (struct ev_loop *loop) : loop_ (loop)
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

EndlessTarget::~EndlessTarget ()
{
  while (!peers_.empty ())
    drop (&peers_.front ());
  ev_io_stop (loop_, &io_);
  close (fd_);
}

std::string
EndlessTarget::address () const
{
  sockaddr_in in = {};
  socklen_t size = sizeof in;
  getsockname (fd_, (sockaddr *)&in, &size);
  return "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
}

void
EndlessTarget::drop (Peer *peer)
{
  ev_io_stop (loop_, &peer->io);
  close (peer->fd);
  closed += (int)peer->endless;
  peers_.remove_if ([peer] (const Peer &other) { return &other == peer; });
}

void
EndlessTarget::on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  auto *target = static_cast<EndlessTarget *> (io->data);
  const int fd = accept4 (target->fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd < 0)
    return;
  target->peers_.push_back ({ target, fd, "", false, "", {} });
  Peer *peer = &target->peers_.back ();
  ev_io_init (&peer->io, on_event, fd, EV_READ);
  peer->io.data = peer;
  ev_io_start (loop, &peer->io);
}

void
EndlessTarget::read_request (Peer *peer)
{
  char data[16384];
  const ssize_t received_bytes = recv (peer->fd, data, sizeof data, 0);
  if (received_bytes <= 0)
    {
      drop (peer);
      return;
    }
  peer->received.append (data, (size_t)received_bytes);
  if (peer->endless || peer->received.find ("\r\n\r\n") == std::string::npos)
    return;
  if (peer->received.find (" /plain ") != std::string::npos)
    {
      send (peer->fd, plain.data (), plain.size (), MSG_NOSIGNAL);
      peer->received.clear ();
      return;
    }
  requests++;
  peer->endless = true;
  peer->pending = start;
  ev_io_stop (loop_, &peer->io);
  ev_io_set (&peer->io, peer->fd, EV_READ | EV_WRITE);
  ev_io_start (loop_, &peer->io);
}

void
EndlessTarget::write_more (Peer *peer)
{
  while (peer->pending.size () < block_bytes)
    peer->pending += unit;
  const uint64_t size
      = std::min<uint64_t> (block_bytes, end_bytes - sent_bytes);
  const ssize_t count
      = send (peer->fd, peer->pending.data (), (size_t)size, MSG_NOSIGNAL);
  if (count >= 0)
    {
      sent_bytes += (uint64_t)count;
      peer->pending.erase (0, (size_t)count);
      if (sent_bytes == end_bytes)
        drop (peer);
    }
  else if (errno != EAGAIN)
    drop (peer);
}

void
EndlessTarget::on_event (struct ev_loop *loop, ev_io *io, int events)
{
  auto *peer = static_cast<Peer *> (io->data);
  if (events & EV_READ)
    peer->target->read_request (peer);
  else
    peer->target->write_more (peer);
}
