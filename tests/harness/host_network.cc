#include "tests/harness/host_network.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/socket_address.h"

namespace
{

constexpr int poll_ms = 2;
constexpr std::chrono::milliseconds gap_min{ 100 };
constexpr std::chrono::milliseconds retransmission_interval{ 200 },
    connect_interval{ 1000 };
constexpr std::chrono::seconds unacknowledged_max{ 10 };
constexpr int backlog = 256;
constexpr int queue_fillers = 2;
constexpr size_t pending_max = 256 * 1024;
const char *const host_name_start = "host-";

int
listen_at (const std::string &text)
{
  const sockaddr_in address = parse_socket_address (text);
  const int fd
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, reinterpret_cast<const sockaddr *> (&address), sizeof address)
          != 0
      || listen (fd, backlog) != 0)
    abort ();
  return fd;
}

int
connect_to (const std::string &text)
{
  const sockaddr_in address = parse_socket_address (text);
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, reinterpret_cast<const sockaddr *> (&address),
               sizeof address)
      == 0)
    {
      fcntl (fd, F_SETFL, O_NONBLOCK);
      return fd;
    }
  close (fd);
  return -1;
}

/* Connects to the listening socket FD until its queue is full, so that the
   kernel drops the packets of further connections. */
void
fill_queue (int fd, const std::string &text, std::vector<int> *fillers)
{
  const sockaddr_in address = parse_socket_address (text);
  listen (fd, 0);
  for (int i = 0; i < queue_fillers; i++)
    {
      fillers->push_back (
          socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      connect (fillers->back (), reinterpret_cast<const sockaddr *> (&address),
               sizeof address);
    }
}

/* Closes the socket with a reset. */
void
reset_socket (int fd)
{
  const linger now = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

} // namespace

HostNetwork::HostNetwork () : thread_ ([this] { run (); })
{
}

HostNetwork::~HostNetwork ()
{
  stopping_ = true;
  thread_.join ();
  for (const auto &connection : connections_)
    close_connection (*connection);
  for (const Listener &listener : listeners_)
    {
      close (listener.fd);
      for (int fd : listener.fillers)
        close (fd);
    }
}

void
HostNetwork::add_host (int to, const std::string &listen,
                       const std::string &forward)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  listeners_.push_back ({ listen_at (listen), -1, to, listen, forward, {} });
}

void
HostNetwork::add_platform (int from, const std::string &listen,
                           const std::string &forward)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  listeners_.push_back (
      { listen_at (listen), from, platform, listen, forward, {} });
}

void
HostNetwork::add_target (int from, int to, const std::string &listen,
                         const std::string &forward)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  listeners_.push_back (
      { listen_at (listen), from, target (to), listen, forward, {} });
}

HostNetwork::Listener *
HostNetwork::find_listener (int from, int to)
{
  for (Listener &listener : listeners_)
    if (listener.from == from && listener.to == to)
      return &listener;
  abort ();
}

void
HostNetwork::silence_both_ways (int from, int to, bool is_silent)
{
  silence (from, to, is_silent);
  silence (to, from, is_silent);
}

void
HostNetwork::stop_listening (int from, int to, Cut form)
{
  Listener *listener = find_listener (from, target (to));
  if (form == Cut::hang)
    {
      fill_queue (listener->fd, listener->address, &listener->fillers);
      return;
    }
  close (listener->fd);
  listener->fd = -1;
}

void
HostNetwork::reset_connections (int from, int to)
{
  for (const auto &connection : connections_)
    if (connection->from == from && connection->to == target (to))
      close_connection (*connection);
}

void
HostNetwork::cut (int from, int to, Cut form)
{
  cut_all (from, { to }, form);
}

void
HostNetwork::cut_all (int from, const std::vector<int> &targets, Cut form)
{
  if (form == Cut::hang)
    for (int to : targets)
      silence_both_ways (from, target (to), true);
  const std::lock_guard<std::mutex> lock (mutex_);
  for (int to : targets)
    stop_listening (from, to, form);
  if (form == Cut::reset)
    for (int to : targets)
      reset_connections (from, to);
}

void
HostNetwork::restore (int from, int to)
{
  silence_both_ways (from, target (to), false);
  const std::lock_guard<std::mutex> lock (mutex_);
  Listener *listener = find_listener (from, target (to));
  if (listener->fd < 0)
    listener->fd = listen_at (listener->address);
  else
    listen (listener->fd, backlog);
  for (int fd : listener->fillers)
    close (fd);
  listener->fillers.clear ();
}

void
HostNetwork::silence (int from, int to, bool is_silent)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  silenced_[{ from, to }] = is_silent;
  for (const auto &connection : connections_)
    {
      if (connection->from == from && connection->to == to)
        update_silence (connection->forward, is_silent);
      if (connection->from == to && connection->to == from)
        update_silence (connection->backward, is_silent);
    }
}

void
HostNetwork::refuse (int from, int to, bool is_refused)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  refused_[{ from, to }] = is_refused;
  for (const auto &connection : connections_)
    if (is_refused && connection->from == from && connection->to == to)
      close_connection (*connection);
}

/* The kernel sends again at intervals that double, so bytes go on waiting for
   a while when the path works again.  A new connection begins with longer
   intervals. */
HostNetwork::Clock::time_point
HostNetwork::next_retransmission (const Flow &flow)
{
  const Clock::time_point now = Clock::now ();
  auto interval = flow.is_new ? connect_interval : retransmission_interval;
  Clock::time_point at = flow.silent_since + interval;
  while (at < now)
    {
      interval *= 2;
      at += interval;
    }
  return at;
}

void
HostNetwork::update_silence (Flow &flow, bool is_silent)
{
  if (is_silent == flow.is_silent)
    return;
  flow.is_silent = is_silent;
  if (is_silent)
    flow.silent_since = Clock::now ();
  else
    flow.resume_at = next_retransmission (flow);
}

bool
HostNetwork::is_open (const Flow &flow) const
{
  return !flow.is_silent && Clock::now () >= flow.resume_at;
}

void
HostNetwork::close_connection (Connection &connection)
{
  if (connection.is_closed)
    return;
  connection.is_closed = true;
  reset_socket (connection.forward.from_fd);
  reset_socket (connection.forward.to_fd);
}

/* Both directions wait until the first message of the host that connects has
   been read. */
void
HostNetwork::accept_one (const Listener &listener)
{
  const int client_fd
      = accept4 (listener.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (client_fd < 0)
    return;
  const int server_fd = refused_[{ listener.from, listener.to }]
                            ? -1
                            : connect_to (listener.forward);
  if (server_fd < 0)
    {
      reset_socket (client_fd);
      return;
    }
  auto connection = std::make_unique<Connection> ();
  connection->from = listener.from;
  connection->to = listener.to;
  connection->forward.from_fd = connection->backward.to_fd = client_fd;
  connection->forward.to_fd = connection->backward.from_fd = server_fd;
  connection->forward.is_new = connection->backward.is_new = true;
  update_silence (connection->forward,
                  silenced_[{ listener.from, listener.to }]);
  update_silence (connection->backward,
                  silenced_[{ listener.to, listener.from }]);
  connections_.push_back (std::move (connection));
}

void
HostNetwork::identify (Connection &connection)
{
  const std::string &text = connection.forward.pending;
  size_t at = text.find (host_name_start);
  if (connection.from >= 0 || at == std::string::npos)
    return;
  at += strlen (host_name_start);
  int number = 0;
  for (; at < text.size () && isdigit (text[at]) != 0; at++)
    number = 10 * number + (text[at] - '0');
  connection.from = number;
  if (refused_[{ number, connection.to }])
    {
      close_connection (connection);
      return;
    }
  update_silence (connection.forward, silenced_[{ number, connection.to }]);
  update_silence (connection.backward, silenced_[{ connection.to, number }]);
}

void
HostNetwork::read_flow (Connection &connection, Flow &flow)
{
  char block[16384];
  const ssize_t n = recv (flow.from_fd, block, sizeof block, 0);
  if (n > 0)
    flow.pending.append (block, static_cast<size_t> (n));
  else if (n == 0)
    flow.is_ended = true;
  else if (errno != EAGAIN && errno != EINTR)
    close_connection (connection);
  if (!connection.is_closed)
    identify (connection);
}

void
HostNetwork::write_flow (Connection &connection, Flow &flow)
{
  if (connection.from < 0 || !is_open (flow))
    return;
  if (!flow.pending.empty ())
    {
      const ssize_t n = send (flow.to_fd, flow.pending.data (),
                              flow.pending.size (), MSG_NOSIGNAL);
      if (n > 0)
        {
          flow.pending.erase (0, static_cast<size_t> (n));
          flow.is_new = false;
        }
      else if (errno != EAGAIN && errno != EINTR)
        {
          close_connection (connection);
          return;
        }
    }
  if (flow.is_ended && flow.pending.empty ())
    close_connection (connection);
}

void
HostNetwork::check_unacknowledged (Connection &connection, const Flow &flow)
{
  if (!is_open (flow) && !flow.pending.empty ()
      && Clock::now () - flow.silent_since > unacknowledged_max)
    close_connection (connection);
}

void
HostNetwork::poll_once ()
{
  std::vector<pollfd> fds;
  std::vector<std::pair<Connection *, Flow *>> readers;
  /* Negative descriptors are ignored. */
  for (const Listener &listener : listeners_)
    fds.push_back (
        { listener.fillers.empty () ? listener.fd : -1, POLLIN, 0 });
  const size_t first = fds.size ();
  for (const auto &connection : connections_)
    for (Flow *flow : { &connection->forward, &connection->backward })
      if (!flow->is_ended && flow->pending.size () < pending_max)
        {
          fds.push_back ({ flow->from_fd, POLLIN, 0 });
          readers.emplace_back (connection.get (), flow);
        }
  if (poll (fds.data (), fds.size (), 0) > 0)
    {
      for (size_t i = 0; i < readers.size (); i++)
        if (fds[first + i].revents != 0 && !readers[i].first->is_closed)
          read_flow (*readers[i].first, *readers[i].second);
      for (size_t i = 0; i < first; i++)
        if (fds[i].revents != 0)
          accept_one (listeners_[i]);
    }
  for (const auto &connection : connections_)
    for (Flow *flow : { &connection->forward, &connection->backward })
      {
        if (!connection->is_closed)
          write_flow (*connection, *flow);
        if (!connection->is_closed)
          check_unacknowledged (*connection, *flow);
      }
  connections_.erase (
      std::remove_if (connections_.begin (), connections_.end (),
                      [] (const auto &one) { return one->is_closed; }),
      connections_.end ());
}

std::vector<HostNetwork::Gap>
HostNetwork::gaps ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  return gaps_;
}

void
HostNetwork::run ()
{
  Clock::time_point last = Clock::now ();
  while (!stopping_)
    {
      {
        const std::lock_guard<std::mutex> lock (mutex_);
        poll_once ();
        const Clock::time_point now = Clock::now ();
        if (now - last >= gap_min)
          gaps_.push_back ({ last, now });
        last = now;
      }
      poll (nullptr, 0, poll_ms);
    }
}
