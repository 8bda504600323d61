#include "tests/harness/relay.h"

#include <chrono>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/socket_address.h"

namespace
{

int
new_socket ()
{
  return socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

} // namespace

Relay::Relay (const std::string &listen, const std::string &forward)
    : forward_ (forward), listener_ (new_socket ())
{
  const sockaddr_in address = parse_socket_address (listen);
  const int on = 1;
  setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener_, reinterpret_cast<const sockaddr *> (&address),
            sizeof address)
          != 0
      || ::listen (listener_, 64) != 0)
    abort ();
  acceptor_ = std::thread ([this] { accept_loop (); });
}

Relay::~Relay ()
{
  shutdown (listener_, SHUT_RDWR);
  acceptor_.join ();
  std::unique_lock<std::mutex> lock (mutex_);
  for (const auto &link : links_)
    {
      shutdown (link->client_fd, SHUT_RDWR);
      shutdown (link->server_fd, SHUT_RDWR);
    }
  ended_.wait (lock, [this] { return links_.empty (); });
  close (listener_);
}

/* connect() with AF_UNSPEC disconnects a socket and sends a reset. */
void
Relay::reset ()
{
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  std::lock_guard<std::mutex> lock (mutex_);
  for (const auto &link : links_)
    {
      connect (link->client_fd, &none, sizeof none);
      connect (link->server_fd, &none, sizeof none);
    }
}

void
Relay::accept_loop ()
{
  const sockaddr_in address = parse_socket_address (forward_);
  for (;;)
    {
      const int client_fd
          = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (client_fd < 0)
        return;
      const int server_fd = new_socket ();
      if (connect (server_fd, reinterpret_cast<const sockaddr *> (&address),
                   sizeof address)
          != 0)
        {
          close (server_fd);
          close (client_fd);
          continue;
        }
      std::lock_guard<std::mutex> lock (mutex_);
      links_.push_back (std::make_unique<Link> (Link{ client_fd, server_fd }));
      Link *link = links_.back ().get ();
      std::thread ([=] {
        pump (client_fd, server_fd, drop_forward);
        release (link);
      }).detach ();
      std::thread ([=] {
        pump (server_fd, client_fd, drop_backward);
        release (link);
      }).detach ();
    }
}

/* The second of a connection's two pump threads closes it. */
void
Relay::release (Link *link)
{
  std::lock_guard<std::mutex> lock (mutex_);
  if (--link->pumps > 0)
    return;
  close (link->client_fd);
  close (link->server_fd);
  links_.remove_if ([=] (const auto &one) { return one.get () == link; });
  ended_.notify_all ();
}

void
Relay::pump (int from, int to, const std::atomic<bool> &drop)
{
  char block[16384];
  for (ssize_t n; (n = recv (from, block, sizeof block, 0)) > 0;)
    {
      /* Simulates the delay of a slow network. */
      if (delay_ms > 0)
        std::this_thread::sleep_for (std::chrono::milliseconds (delay_ms));
      if (drop)
        continue;
      if (send (to, block, static_cast<size_t> (n), MSG_NOSIGNAL) != n)
        break;
    }
  /* A one-way link failure hides the end of a connection as well. */
  if (!drop)
    shutdown (to, SHUT_WR);
}
