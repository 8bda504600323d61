#include "review/common/store_front.h"

#include <cstdlib>

extern "C"
{
#include "node/mhd_loop.h"
}

namespace
{

const std::string objects = "/jaystair/objects/";

struct Body
{
  std::string text;
};

MHD_Result
add_argument (void *owner, MHD_ValueKind, const char *key, const char *value)
{
  (*static_cast<std::map<std::string, std::string> *> (owner))[key]
      = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result
on_request (void *owner, MHD_Connection *connection, const char *url,
            const char *method, const char *, const char *data, size_t *size,
            void **state)
{
  auto *body = static_cast<Body *> (*state);
  if (body == nullptr)
    {
      *state = new Body;
      return MHD_YES;
    }
  if (*size > 0)
    {
      body->text.append (data, *size);
      *size = 0;
      return MHD_YES;
    }
  std::map<std::string, std::string> query;
  MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument,
                             &query);
  const FakeStore::Reply reply = static_cast<StoreFront *> (owner)->answer (
      method, url, query, body->text);
  if (reply.status == 0)
    return MHD_NO;
  MHD_Response *response = MHD_create_response_from_buffer (
      reply.body.size (), const_cast<char *> (reply.body.data ()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  const MHD_Result queued
      = MHD_queue_response (connection, reply.status, response);
  MHD_destroy_response (response);
  return queued;
}

void
on_completed (void *, MHD_Connection *, void **state,
              MHD_RequestTerminationCode)
{
  delete static_cast<Body *> (*state);
  *state = nullptr;
}

} // namespace

StoreFront::StoreFront (FakeStore &store, const std::string &address)
    : store_ (store)
{
  sockaddr_storage storage;
  if (mhd_loop_parse_address (address.c_str (), &storage) == 0)
    abort ();
  daemon_ = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
      nullptr, nullptr, on_request, this, MHD_OPTION_SOCK_ADDR, &storage,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, nullptr, MHD_OPTION_END);
  if (daemon_ == nullptr)
    abort ();
}

StoreFront::~StoreFront ()
{
  MHD_stop_daemon (daemon_);
}

void
StoreFront::set_lag (Lag lag)
{
  const std::lock_guard<std::mutex> lock (mutex_);
  lag_ = std::move (lag);
}

FakeStore::Reply
StoreFront::answer (const std::string &method, const std::string &path,
                    const std::map<std::string, std::string> &query,
                    const std::string &body)
{
  const bool is_kind
      = path.compare (0, objects.size (), objects) == 0
        && path.find ('/', objects.size ()) == std::string::npos;
  const bool is_old_list = method == "GET" && is_kind
                           && query.count ("Serializable") > 0
                           && query.count ("Watch") == 0;
  if (!is_old_list)
    return store_.answer (method, path, query, body);
  const std::lock_guard<std::mutex> lock (mutex_);
  const auto after = query.find ("after");
  const int lag_ms = lag_ ? lag_ (path.substr (objects.size ()),
                                  after == query.end () ? "" : after->second)
                          : 0;
  store_.set_stale_lag (lag_ms);
  const FakeStore::Reply reply = store_.answer (method, path, query, body);
  store_.set_stale_lag (0);
  return reply;
}
