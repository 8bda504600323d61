// Sockets and HTTP/1.1 messages for the stand-ins of this review.
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

inline int64_t
now_ms ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::steady_clock::now ().time_since_epoch ())
      .count ();
}

inline sockaddr_in
socket_address (const std::string &text)
{
  sockaddr_in address{};
  const size_t colon = text.rfind (':');
  address.sin_family = AF_INET;
  inet_pton (AF_INET, text.substr (0, colon).c_str (), &address.sin_addr);
  address.sin_port = htons (
      static_cast<uint16_t> (atoi (text.substr (colon + 1).c_str ())));
  return address;
}

/** Listen on IP with a free port. @return the descriptor; ADDRESS is set */
inline int
listen_on (const std::string &ip, std::string &address, int backlog = 512)
{
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at = socket_address (ip + ":0");
  socklen_t size = sizeof at;
  if (bind (fd, reinterpret_cast<sockaddr *> (&at), sizeof at) != 0
      || listen (fd, backlog) != 0
      || getsockname (fd, reinterpret_cast<sockaddr *> (&at), &size) != 0)
    {
      perror ("listen");
      exit (2);
    }
  address = ip + ":" + std::to_string (ntohs (at.sin_port));
  return fd;
}

/** A port of IP that is free now. */
inline std::string
free_address (const std::string &ip)
{
  std::string address;
  close (listen_on (ip, address));
  return address;
}

/** Connect within TIMEOUT_MS. @return the descriptor or -1 */
inline int
connect_to (const std::string &address, int timeout_ms)
{
  const int fd
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = socket_address (address);
  if (connect (fd, reinterpret_cast<const sockaddr *> (&to), sizeof to) != 0
      && errno == EINPROGRESS)
    {
      pollfd wait{ fd, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof error;
      if (poll (&wait, 1, timeout_ms) <= 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
          || error != 0)
        {
          close (fd);
          return -1;
        }
    }
  const int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/** Send all of TEXT by the time UNTIL_MS. */
inline bool
send_all (int fd, const std::string &text, int64_t until_ms)
{
  size_t sent = 0;
  while (sent < text.size ())
    {
      const ssize_t n = send (fd, text.data () + sent, text.size () - sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        {
          sent += static_cast<size_t> (n);
          continue;
        }
      const int64_t left = until_ms - now_ms ();
      pollfd wait{ fd, POLLOUT, 0 };
      if ((n < 0 && errno != EAGAIN && errno != EINTR) || left <= 0)
        return false;
      poll (&wait, 1, static_cast<int> (std::min<int64_t> (left, 200)));
    }
  return true;
}

/** Send a reset at the next close. */
inline void
set_reset (int fd)
{
  const linger on{ 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &on, sizeof on);
}

enum class Read
{
  ok,
  closed, /**< the peer closed in order */
  reset,
  late,
};

/** A connection's incoming bytes. */
class Reader
{
public:
  explicit Reader (int fd) : fd_ (fd)
  {
  }

  Read
  fill (int64_t until_ms)
  {
    for (;;)
      {
        const int64_t left = until_ms - now_ms ();
        if (left <= 0)
          return Read::late;
        pollfd wait{ fd_, POLLIN, 0 };
        if (poll (&wait, 1, static_cast<int> (std::min<int64_t> (left, 500)))
            <= 0)
          continue;
        char data[16384];
        const ssize_t n = recv (fd_, data, sizeof data, MSG_DONTWAIT);
        if (n > 0)
          {
            bytes.append (data, static_cast<size_t> (n));
            return Read::ok;
          }
        if (n == 0)
          return Read::closed;
        if (errno != EAGAIN && errno != EINTR)
          return Read::reset;
      }
  }

  std::string bytes;

private:
  int fd_;
};

struct Message
{
  std::string first; /**< first line */
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string
  field (const std::string &name) const
  {
    for (const auto &[key, value] : fields)
      if (strcasecmp (key.c_str (), name.c_str ()) == 0)
        return value;
    return "";
  }
  bool
  has (const std::string &name) const
  {
    for (const auto &[key, value] : fields)
      if (strcasecmp (key.c_str (), name.c_str ()) == 0)
        return true;
    return false;
  }
  int
  status () const
  {
    return first.size () > 12 ? atoi (first.c_str () + 9) : 0;
  }
  std::string
  word (int n) const
  {
    size_t at = 0;
    for (; n > 0 && at != std::string::npos; n--)
      {
        at = first.find (' ', at);
        at += at != std::string::npos;
      }
    return at == std::string::npos
               ? ""
               : first.substr (at, first.find (' ', at) - at);
  }
};

inline bool
parse_head (const std::string &head, Message &message)
{
  size_t at = head.find ("\r\n");
  message.first = head.substr (0, at);
  while (at + 2 < head.size ())
    {
      const size_t begin = at + 2;
      at = head.find ("\r\n", begin);
      if (at == std::string::npos || at == begin)
        break;
      const std::string line = head.substr (begin, at - begin);
      const size_t colon = line.find (':');
      if (colon == std::string::npos)
        return false;
      size_t value = colon + 1;
      while (value < line.size () && line[value] == ' ')
        value++;
      message.fields.emplace_back (line.substr (0, colon),
                                   line.substr (value));
    }
  return true;
}

/** Read the head of a message; the rest stays in READER. */
inline Read
read_head (Reader &reader, Message &message, int64_t until_ms)
{
  size_t end;
  while ((end = reader.bytes.find ("\r\n\r\n")) == std::string::npos)
    {
      const Read result = reader.fill (until_ms);
      if (result != Read::ok)
        return result;
    }
  const std::string head = reader.bytes.substr (0, end + 2);
  reader.bytes.erase (0, end + 4);
  message = Message ();
  return parse_head (head, message) ? Read::ok : Read::reset;
}

inline Read
read_bytes (Reader &reader, size_t count, std::string &to, int64_t until_ms)
{
  while (reader.bytes.size () < count)
    {
      const Read result = reader.fill (until_ms);
      if (result != Read::ok)
        return result;
    }
  to.append (reader.bytes, 0, count);
  reader.bytes.erase (0, count);
  return Read::ok;
}

/** Read the body that belongs to the head in MESSAGE. */
inline Read
read_body (Reader &reader, Message &message, int64_t until_ms,
           bool ends_with_connection)
{
  const std::string coding = message.field ("Transfer-Encoding");
  if (strcasecmp (coding.c_str (), "chunked") == 0)
    for (;;)
      {
        size_t end;
        while ((end = reader.bytes.find ("\r\n")) == std::string::npos)
          {
            const Read result = reader.fill (until_ms);
            if (result != Read::ok)
              return result;
          }
        const size_t size = strtoul (reader.bytes.c_str (), nullptr, 16);
        reader.bytes.erase (0, end + 2);
        const Read result = read_bytes (reader, size, message.body, until_ms);
        std::string line;
        if (result != Read::ok)
          return result;
        const Read last = read_bytes (reader, 2, line, until_ms);
        if (last != Read::ok || size == 0)
          return last;
      }
  if (message.has ("Content-Length"))
    return read_bytes (
        reader,
        strtoul (message.field ("Content-Length").c_str (), nullptr, 10),
        message.body, until_ms);
  if (!ends_with_connection)
    return Read::ok;
  for (;;)
    {
      const Read result = reader.fill (until_ms);
      if (result == Read::closed)
        {
          message.body.swap (reader.bytes);
          return Read::ok;
        }
      if (result != Read::ok)
        return result;
    }
}

#endif
