#include "review/common/backend.h"

#include <cstdlib>
#include <map>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "node/mhd_loop.h"
}

namespace
{

constexpr std::chrono::milliseconds step{ 5 };

MHD_Result
on_request (void *owner, MHD_Connection *connection, const char *url,
            const char *, const char *, const char *, size_t *size,
            void **state)
{
  static int seen;
  if (*state == nullptr)
    {
      *state = &seen;
      return MHD_YES;
    }
  if (*size > 0)
    {
      *size = 0;
      return MHD_YES;
    }
  return static_cast<Backend *> (owner)->answer (connection, url);
}

MHD_Result
reply (MHD_Connection *connection, unsigned status, const std::string &body,
       const std::map<std::string, std::string> &fields)
{
  MHD_Response *response = MHD_create_response_from_buffer (
      body.size (), const_cast<char *> (body.data ()), MHD_RESPMEM_MUST_COPY);
  for (const auto &[name, value] : fields)
    MHD_add_response_header (response, name.c_str (), value.c_str ());
  const MHD_Result queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

std::string
field (MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
  return value == nullptr ? "" : value;
}

std::string
peer (MHD_Connection *connection)
{
  char text[INET_ADDRSTRLEN] = "";
  const MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const auto *in = reinterpret_cast<const sockaddr_in *> (info->client_addr);
  inet_ntop (AF_INET, &in->sin_addr, text, sizeof text);
  return text;
}

} // namespace

Backend::Backend (const std::string &at, const std::string &name,
                  int slot_count, int work_ms)
    : address (at), id (name), slots (slot_count), work_ms_ (work_ms)
{
  sockaddr_storage storage;
  if (mhd_loop_parse_address (address.c_str (), &storage) == 0)
    abort ();
  daemon_
      = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD
                              | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC,
                          0, nullptr, nullptr, on_request, this,
                          MHD_OPTION_SOCK_ADDR, &storage, MHD_OPTION_END);
  if (daemon_ == nullptr)
    abort ();
}

Backend::~Backend ()
{
  exit_now ();
}

void
Backend::exit_now ()
{
  if (exited_.exchange (true))
    return;
  MHD_stop_daemon (daemon_);
}

std::vector<Backend::Run>
Backend::runs ()
{
  const std::lock_guard<std::mutex> lock (mutex_);
  return runs_;
}

MHD_Result
Backend::answer (MHD_Connection *connection, const std::string &path)
{
  const std::string attempt = field (connection, "X-Attempt-Id");
  const std::string target = field (connection, "X-Target-Instance");
  if (!target.empty () && target != id)
    return reply (connection, 421, "", { { "X-Instance-Id", id } });
  size_t index;
  {
    const std::lock_guard<std::mutex> lock (mutex_);
    if (busy_ == slots)
      return reply (connection, 503, "", { { "X-Not-Executed", "1" } });
    busy_++;
    index = runs_.size ();
    runs_.push_back ({ attempt, peer (connection), Clock::now () });
  }
  const auto end = Clock::now () + std::chrono::milliseconds (work_ms_);
  while (Clock::now () < end && !exited_)
    std::this_thread::sleep_for (step);
  const std::lock_guard<std::mutex> lock (mutex_);
  busy_--;
  if (exited_)
    return MHD_NO;
  runs_[index].answered = true;
  return reply (connection, 200, id + " " + path,
                { { "X-Attempt-Id", attempt },
                  { "X-Response-Signature", "signed-by-" + id } });
}
