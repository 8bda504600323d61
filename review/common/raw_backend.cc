#include "review/common/raw_backend.h"

#include <cstdlib>

#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/socket_address.h"

namespace
{

constexpr std::chrono::milliseconds step{ 2 };

std::string
field (const std::string &head, const std::string &name)
{
  size_t at = 0;
  while ((at = head.find ("\r\n", at)) != std::string::npos)
    {
      at += 2;
      const size_t end = head.find ("\r\n", at);
      const size_t colon = head.find (':', at);
      if (colon == std::string::npos || colon > end)
        continue;
      if (colon - at != name.size ()
          || strncasecmp (head.c_str () + at, name.c_str (), name.size ())
                 != 0)
        continue;
      const size_t first = head.find_first_not_of (' ', colon + 1);
      return head.substr (first, end - first);
    }
  return "";
}

bool
send_all (int fd, const std::string &text)
{
  size_t sent = 0;
  while (sent < text.size ())
    {
      const ssize_t n
          = send (fd, text.data () + sent, text.size () - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<size_t> (n);
    }
  return true;
}

std::string
format (int status, const std::string &reason, const std::string &attempt,
        const std::string &fields, const std::string &body)
{
  return "HTTP/1.1 " + std::to_string (status) + " " + reason
         + "\r\nX-Attempt-Id: " + attempt + "\r\n" + fields
         + "Keep-Alive: timeout=10\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

} // namespace

RawBackend::RawBackend (const Options &given)
    : options (given), random_ (given.seed)
{
  const sockaddr_in address = parse_socket_address (options.address);
  const int on = 1;
  listener_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener_, reinterpret_cast<const sockaddr *> (&address),
            sizeof address)
          != 0
      || listen (listener_, 128) != 0)
    abort ();
  acceptor_ = std::thread ([this] { accept_all (); });
}

RawBackend::~RawBackend ()
{
  stopping_ = true;
  shutdown (listener_, SHUT_RDWR);
  acceptor_.join ();
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    for (const int fd : connections_)
      shutdown (fd, SHUT_RDWR);
  }
  for (std::thread &thread : threads_)
    thread.join ();
  close (listener_);
}

void
RawBackend::accept_all ()
{
  for (;;)
    {
      const int fd = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const std::lock_guard<std::mutex> lock (mutex_);
      connections_.insert (fd);
      threads_.emplace_back ([this, fd] { serve (fd); });
    }
}

bool
RawBackend::read_request (int fd, std::string &buffer, std::string &head)
{
  size_t end;
  char data[4096];
  while ((end = buffer.find ("\r\n\r\n")) == std::string::npos)
    {
      const ssize_t n = recv (fd, data, sizeof data, 0);
      if (n <= 0)
        return false;
      buffer.append (data, static_cast<size_t> (n));
    }
  head = buffer.substr (0, end + 2);
  buffer.erase (0, end + 4);
  const std::string length = field (head, "Content-Length");
  const size_t bytes = length.empty () ? 0 : std::stoul (length);
  while (buffer.size () < bytes)
    {
      const ssize_t n = recv (fd, data, sizeof data, 0);
      if (n <= 0)
        return false;
      buffer.append (data, static_cast<size_t> (n));
    }
  buffer.erase (0, bytes);
  return true;
}

bool
RawBackend::take_slot ()
{
  std::unique_lock<std::mutex> lock (mutex_);
  if (busy_ < options.slots)
    {
      busy_++;
      return true;
    }
  if (queued_ >= options.queue)
    return false;
  queued_++;
  while (busy_ >= options.slots && !stopping_)
    {
      lock.unlock ();
      std::this_thread::sleep_for (step);
      lock.lock ();
    }
  queued_--;
  busy_++;
  return true;
}

void
RawBackend::free_slot ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  busy_--;
}

void
RawBackend::note (const std::string &attempt, const std::string &what)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  events_.push_back ({ Clock::now (), attempt, options.id, what });
}

bool
RawBackend::is_repeated ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  answers_++;
  const bool repeated
      = std::uniform_real_distribution<double> (0, 1) (random_) < garble_;
  repeats_ += repeated ? 1 : 0;
  return repeated;
}

/* Serves one request after the other.  EXTRA is the second copy of the answer
   before, which comes when the next one is expected. */
void
RawBackend::serve (int fd)
{
  std::string buffer;
  std::string head;
  std::string extra;
  while (read_request (fd, buffer, head))
    {
      const std::string attempt = field (head, "X-Attempt-Id");
      const std::string target = field (head, "X-Target-Instance");
      std::string answer;
      const bool is_other = !target.empty () && target != options.id;
      const bool runs = !is_other && take_slot ();
      if (runs)
        note (attempt, "runs");
      if (!extra.empty ())
        {
          note (attempt, "repeats the answer before");
          send_all (fd, extra);
          extra.clear ();
        }
      if (runs)
        {
          std::this_thread::sleep_for (
              std::chrono::milliseconds (options.work_ms));
          free_slot ();
          answer = format (200, "OK", attempt,
                           "X-Response-Signature: signed-by-" + options.id
                               + "\r\n",
                           options.id + " ran " + attempt);
        }
      else if (is_other)
        answer = format (421, "Misdirected Request", attempt,
                         "X-Instance-Id: " + options.id + "\r\n", "");
      else
        {
          note (attempt, "sheds");
          answer = format (503, "Service Unavailable", attempt,
                           "X-Not-Executed: 1\r\n", "");
        }
      if (!send_all (fd, answer))
        break;
      if (is_repeated ())
        extra = answer;
    }
  const std::lock_guard<std::mutex> lock (mutex_);
  connections_.erase (fd);
  close (fd);
}

void
RawBackend::garble (double share)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  garble_ = share;
}

std::vector<RawBackend::Event>
RawBackend::events ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  return events_;
}

int
RawBackend::answers ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  return answers_;
}

int
RawBackend::repeats ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  return repeats_;
}
