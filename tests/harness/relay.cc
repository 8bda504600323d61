#include "tests/harness/relay.h"

#include <chrono>
#include <arpa/inet.h>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

sockaddr_in
parse (const std::string &address)
{
  const size_t colon = address.rfind (':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port
      = htons (static_cast<uint16_t> (std::stoi (address.substr (colon + 1))));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &parsed.sin_addr);
  return parsed;
}

int
new_socket ()
{
  return socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

} // namespace

Relay::Relay (const std::string &listen, const std::string &forward)
    : forward_ (forward), listener_ (new_socket ())
{
  const sockaddr_in address = parse (listen);
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

/* Dissolving the association of a connected socket sends a reset. */
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
  const sockaddr_in address = parse (forward_);
  for (;;)
    {
      const int near = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (near < 0)
        return;
      const int far = new_socket ();
      if (connect (far, reinterpret_cast<const sockaddr *> (&address),
                   sizeof address)
          != 0)
        {
          close (far);
          close (near);
          continue;
        }
      std::lock_guard<std::mutex> lock (mutex_);
      links_.push_back (std::make_unique<Link> (Link{ near, far }));
      Link *link = links_.back ().get ();
      std::thread ([=] {
        pump (near, far, drop_forward);
        release (link);
      }).detach ();
      std::thread ([=] {
        pump (far, near, drop_backward);
        release (link);
      }).detach ();
    }
}

/* The second of a connection's two pumps closes it. */
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
Relay::pump (int from, int to, const std::atomic<bool> &cut)
{
  char block[16384];
  for (ssize_t n; (n = recv (from, block, sizeof block, 0)) > 0;)
    {
      /* The delay is the fault itself: the network holds the block up. */
      if (delay_ms > 0)
        std::this_thread::sleep_for (std::chrono::milliseconds (delay_ms));
      if (cut)
        continue;
      if (send (to, block, static_cast<size_t> (n), MSG_NOSIGNAL) != n)
        break;
    }
  /* A cut network hides the end of a connection as well. */
  if (!cut)
    shutdown (to, SHUT_WR);
}
