#include "node/caller/tests/scripted_target.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

ScriptedTarget::ScriptedTarget (struct ev_loop *loop) : loop_ (loop)
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

ScriptedTarget::~ScriptedTarget ()
{
  while (!peers_.empty ())
    drop (&peers_.front ());
  ev_io_stop (loop_, &io_);
  close (fd_);
}

std::string
ScriptedTarget::address () const
{
  sockaddr_in in = {};
  socklen_t size = sizeof in;
  getsockname (fd_, (sockaddr *)&in, &size);
  return "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
}

int
ScriptedTarget::received (const std::string &id) const
{
  const auto found = received_.find (id);
  return found == received_.end () ? 0 : found->second;
}

void
ScriptedTarget::drop (Peer *peer)
{
  ev_io_stop (loop_, &peer->io);
  close (peer->fd);
  peers_.remove_if ([peer] (const Peer &other) { return &other == peer; });
}

void
ScriptedTarget::on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  auto *target = static_cast<ScriptedTarget *> (io->data);
  const int fd = accept4 (target->fd_, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd < 0)
    return;
  target->connections++;
  target->peers_.push_back ({ target, fd, "", 0, {} });
  Peer *peer = &target->peers_.back ();
  ev_io_init (&peer->io, on_readable, fd, EV_READ);
  peer->io.data = peer;
  ev_io_start (loop, &peer->io);
}

static std::string
field (const std::string &head, const std::string &name)
{
  for (size_t at = head.find ("\r\n"); at != std::string::npos;
       at = head.find ("\r\n", at + 2))
    if (strncasecmp (head.c_str () + at + 2, (name + ": ").c_str (),
                     name.size () + 2)
        == 0)
      {
        const size_t start = at + 2 + name.size () + 2;
        return head.substr (start, head.find ("\r\n", start) - start);
      }
  return "";
}

static void
set_reset (int fd)
{
  const linger now = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

/* Answers the next request of the input, if all of it is there.  Returns
   whether the connection goes on. */
bool
ScriptedTarget::answer_next (Peer *peer)
{
  const size_t head_end = peer->input.find ("\r\n\r\n");
  if (head_end == std::string::npos)
    return false;
  const std::string head = peer->input.substr (0, head_end + 2);
  const size_t size
      = head_end + 4
        + strtoul (field (head, "Content-Length").c_str (), nullptr, 10);
  if (peer->input.size () < size)
    return false;
  peer->input.erase (0, size);
  const size_t path = head.find (' ') + 1;
  const ScriptedRequest request
      = { field (head, "X-Request-Id"),
          head.substr (path, head.find (' ', path) - path), ++peer->requests };
  received_[request.id]++;
  const std::string bytes = script (request);
  if (!bytes.empty ()
      && send (peer->fd, bytes.data (), bytes.size (), MSG_NOSIGNAL) <= 0)
    return false;
  const ScriptedEnd what = end ? end (request) : ScriptedEnd::keep;
  if (what == ScriptedEnd::keep)
    return true;
  if (what == ScriptedEnd::reset)
    set_reset (peer->fd);
  drop (peer);
  return false;
}

void
ScriptedTarget::on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  auto *peer = static_cast<Peer *> (io->data);
  ScriptedTarget *target = peer->target;
  char data[16384];
  const ssize_t received_bytes = recv (peer->fd, data, sizeof data, 0);
  if (received_bytes <= 0)
    {
      target->drop (peer);
      return;
    }
  peer->input.append (data, (size_t)received_bytes);
  while (target->answer_next (peer))
    continue;
}
