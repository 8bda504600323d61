#include "tests/harness/kept_connection.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "tests/harness/socket_address.h"

namespace
{

constexpr int receive_timeout_s = 30;
constexpr size_t block_bytes = 65536;
const char *const line_end = "\r\n";
const char *const head_end = "\r\n\r\n";

std::string
format_request (const HttpRequest &request)
{
  std::string text = request.method + " " + request.url + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const std::string &header : request.headers)
    {
      has_host |= header.compare (0, 5, "Host:") == 0;
      text += header + line_end;
    }
  if (!has_host)
    text += std::string ("Host: test") + line_end;
  if (!request.body.empty () || request.method == "POST")
    text += "Content-Length: " + std::to_string (request.body.size ())
            + line_end;
  return text + line_end + request.body;
}

} // namespace

KeptConnection::KeptConnection (const std::string &address)
    : fd_ (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const timeval timeout = { receive_timeout_s, 0 };
  const sockaddr_in at = parse_socket_address (address);
  setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd_, reinterpret_cast<const sockaddr *> (&at), sizeof at) != 0)
    close_now ();
}

KeptConnection::~KeptConnection ()
{
  close_now ();
}

bool
KeptConnection::is_open () const
{
  return fd_ >= 0;
}

void
KeptConnection::close_now ()
{
  if (fd_ >= 0)
    close (fd_);
  fd_ = -1;
}

bool
KeptConnection::receive_more ()
{
  const size_t size = received_.size ();
  received_.resize (size + block_bytes);
  const ssize_t count = recv (fd_, &received_[size], block_bytes, 0);
  received_.resize (size + static_cast<size_t> (std::max<ssize_t> (count, 0)));
  return count > 0;
}

bool
KeptConnection::receive_until (const std::string &end, size_t from)
{
  while (received_.find (end, from) == std::string::npos)
    if (!receive_more ())
      return false;
  return true;
}

bool
KeptConnection::receive_bytes (size_t count)
{
  while (received_.size () < count)
    if (!receive_more ())
      return false;
  return true;
}

bool
KeptConnection::receive_head (HttpResponse *response)
{
  if (!receive_until (head_end, 0))
    return false;
  size_t start = received_.find (line_end);
  response->status = atol (received_.c_str () + received_.find (' '));
  const size_t end = received_.find (head_end);
  while (start < end)
    {
      start += 2;
      const size_t next = received_.find (line_end, start);
      const std::string line = received_.substr (start, next - start);
      const size_t colon = line.find (": ");
      std::string name = line.substr (0, colon);
      std::transform (name.begin (), name.end (), name.begin (), tolower);
      if (colon != std::string::npos)
        response->headers[name] = line.substr (colon + 2);
      start = next;
    }
  received_.erase (0, end + 4);
  return true;
}

bool
KeptConnection::receive_chunks (HttpResponse *response)
{
  for (;;)
    {
      if (!receive_until (line_end, 0))
        return false;
      const size_t size = std::stoul (received_, nullptr, 16);
      received_.erase (0, received_.find (line_end) + 2);
      if (!receive_bytes (size + 2))
        return false;
      response->body += received_.substr (0, size);
      received_.erase (0, size + 2);
      if (size == 0)
        return true;
    }
}

bool
KeptConnection::receive_body (HttpResponse *response)
{
  if (response->header ("transfer-encoding") == "chunked")
    return receive_chunks (response);
  const std::string length = response->header ("content-length");
  if (length.empty ())
    return false;
  const size_t size = std::stoul (length);
  if (!receive_bytes (size))
    return false;
  response->body = received_.substr (0, size);
  received_.erase (0, size);
  return true;
}

bool
KeptConnection::send_all (const std::vector<std::string> &parts, int pause_ms)
{
  for (size_t i = 0; i < parts.size (); i++)
    {
      if (i > 0)
        poll (nullptr, 0, pause_ms);
      const ssize_t sent
          = ::send (fd_, parts[i].data (), parts[i].size (), MSG_NOSIGNAL);
      if (sent != static_cast<ssize_t> (parts[i].size ()))
        return false;
    }
  return true;
}

HttpResponse
KeptConnection::send (const HttpRequest &request)
{
  return send_parts ({ format_request (request) });
}

HttpResponse
KeptConnection::send_parts (const std::vector<std::string> &parts,
                            int pause_ms)
{
  HttpResponse response;
  const bool is_sent = send_all (parts, pause_ms);
  const bool is_received
      = receive_head (&response) && receive_body (&response);
  response.complete = is_sent && is_received;
  if (!response.complete)
    response.error = "the kept connection broke";
  if (!response.complete || response.header ("connection") == "close")
    close_now ();
  return response;
}
