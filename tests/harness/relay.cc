#include "tests/harness/relay.h"

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
  {
    std::lock_guard<std::mutex> lock (mutex_);
    closing_ = true;
    for (const int fd : sockets_)
      shutdown (fd, SHUT_RDWR);
  }
  for (std::thread &pump : pumps_)
    pump.join ();
  for (const int fd : sockets_)
    close (fd);
  close (listener_);
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
      sockets_.push_back (near);
      sockets_.push_back (far);
      pumps_.emplace_back ([=] { pump (near, far, cut_forward); });
      pumps_.emplace_back ([=] { pump (far, near, cut_back); });
    }
}

void
Relay::pump (int from, int to, const std::atomic<bool> &cut)
{
  char block[16384];
  for (ssize_t n; (n = recv (from, block, sizeof block, 0)) > 0;)
    {
      if (cut)
        continue;
      if (send (to, block, static_cast<size_t> (n), MSG_NOSIGNAL) != n)
        break;
    }
  /* A cut network hides the end of a connection as well. */
  if (!cut)
    shutdown (to, SHUT_WR);
}
