#include "node/caller/tests/caller_fixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

const char *const usual_routes
    = "[ { 'path_prefix': '/', 'methods': ['GET', 'HEAD', 'OPTIONS'],"
      "    'repeatable': true },"
      "  { 'path_prefix': '/', 'methods': ['PUT'], 'repeatable': true },"
      "  { 'path_prefix': '/', 'methods': ['POST'], 'repeatable': false } ]";

std::string
Call::field (const std::string &name) const
{
  const auto found = answer_fields.find (name);
  return found == answer_fields.end () ? "" : found->second;
}

void
RawCaller::write (const std::string &bytes)
{
  ASSERT_EQ (send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL),
             (ssize_t)bytes.size ());
}

void
RawCaller::hang_up ()
{
  if (fd < 0)
    return;
  ev_io_stop (loop, &io);
  close (fd);
  fd = -1;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  auto *raw = static_cast<RawCaller *> (io->data);
  char data[65536];
  const ssize_t got = recv (raw->fd, data, sizeof data, 0);
  if (got > 0)
    {
      raw->received.append (data, (size_t)got);
      return;
    }
  raw->closed = true;
  raw->reset = got < 0;
  ev_io_stop (loop, io);
}

void
CallerTest::SetUp ()
{
  write_log_to (open ("/dev/null", O_WRONLY));
  loop = ev_loop_new (EVFLAG_AUTO);
  host_settings_defaults (&settings);
  strcpy (settings.name, "host-1");
  strcpy (settings.dc, "dc-a");
  strcpy (settings.caller_address, "127.0.0.1:0");
  the_bus = bus_create (loop);
  the_counters = counters_create ();
  the_tables = tables_create ();
  const curl_loop_options options = {};
  client = curl_loop_create (loop, &options);
}

void
CallerTest::TearDown ()
{
  curl_loop_destroy (client);
  caller_task_destroy (task);
  for (target_server *target : targets)
    target_server_destroy (target);
  tables_destroy (the_tables);
  counters_destroy (the_counters);
  bus_destroy (the_bus);
  ev_loop_destroy (loop);
}

void
CallerTest::write_log_to (int fd)
{
  const log_options options = { LOG_LEVEL_INFO, false, fd, 0, 0 };
  log_configure (&options);
}

bool
CallerTest::run_until (const std::function<bool ()> &ready)
{
  ev_timer timeout;
  bool timed_out = false;
  ev_timer_init (
      &timeout,
      [] (struct ev_loop *, ev_timer *timer, int) {
        *static_cast<bool *> (timer->data) = true;
      },
      10., 0.);
  timeout.data = &timed_out;
  ev_now_update (loop);
  ev_timer_start (loop, &timeout);
  while (!ready () && !timed_out)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &timeout);
  return !timed_out;
}

target_server *
CallerTest::add_target (const std::string &name)
{
  target_server *target
      = target_server_create (loop, "127.0.0.1:0", name.c_str ());
  targets.push_back (target);
  target_names.push_back (name);
  return target;
}

static std::string
target_json (const std::string &name, const std::string &address,
             const std::string &options)
{
  return "{ 'name': '" + name + "', 'address': '" + address
         + "', 'dc': 'dc-a', 'slots': 64, 'connections': 200" + options + "}";
}

void
CallerTest::put_service (const std::string &routes, const std::string &members)
{
  std::string list;
  for (size_t i = 0; i < targets.size (); i++)
    list += (i > 0 ? "," : "")
            + target_json (target_names[i], target_server_address (targets[i]),
                           target_options);
  post_service (list, routes, members);
}

void
CallerTest::put_service_at (const std::string &address)
{
  post_service (target_json ("t1", address, ""), usual_routes, "");
}

void
CallerTest::post_service (const std::string &target_list,
                          const std::string &routes,
                          const std::string &members)
{
  std::string text = "{ 'name': 'holds', 'targets': [" + target_list
                     + "], 'routes': " + routes + members + "}";
  for (char &c : text)
    if (c == '\'')
      c = '"';
  bus_message message = {};
  message.topic = BUS_SERVICE_IN_FORCE;
  ASSERT_EQ (service_spec_parse ("test", text.c_str (), ++version,
                                 &message.service_in_force.spec),
             STATUS_OK)
      << status_message () << text;
  bus_post (the_bus, &message);
}

void
CallerTest::put_config (const std::string &members)
{
  put_config (members, the_bus);
}

void
CallerTest::put_config (const std::string &members, struct bus *bus)
{
  std::string text
      = "{ 'version': " + std::to_string (++version)
        + ", 'routes': ["
          " { 'name': 'keyed', 'path_prefix': '/', 'methods': ['GET'],"
          "   'parts': [ { 'service': 'holds' } ] },"
          " { 'name': 'holds', 'path_prefix': '/', 'methods': ['POST'],"
          "   'repeatable': false, 'parts': [ { 'service': 'holds' } ] },"
          " { 'name': 'open', 'path_prefix': '/open/', 'open': true,"
          "   'repeatable': true, 'parts': [ { 'service': 'holds' } ] } ],"
          " 'services': [ { 'name': 'holds' } ]"
        + members + " }";
  for (char &c : text)
    if (c == '\'')
      c = '"';
  bus_message message = {};
  message.topic = BUS_CONFIG_IN_FORCE;
  ASSERT_EQ (fleet_config_parse ("test", text.c_str (),
                                 &message.config_in_force.config),
             STATUS_OK)
      << status_message () << text;
  bus_post (bus, &message);
}

void
CallerTest::put_hosts (const std::vector<bus_host_entry> &hosts)
{
  bus_message message = {};
  message.topic = BUS_HOST_SET;
  strcpy (message.host_set.service, "holds");
  message.host_set.count = hosts.size ();
  message.host_set.hosts = static_cast<bus_host_entry *> (
      calloc (hosts.size () + 1, sizeof (bus_host_entry)));
  for (size_t i = 0; i < hosts.size (); i++)
    message.host_set.hosts[i] = hosts[i];
  bus_post (the_bus, &message);
}

void
CallerTest::start ()
{
  caller_task_options options = {};
  options.loop = loop;
  options.bus = the_bus;
  options.settings = &settings;
  options.counters = the_counters;
  options.tables = the_tables;
  options.interface = interface;
  options.seed = 1;
  task = caller_task_create (&options);
  ASSERT_NE (task, nullptr) << status_message ();
  ev_run (loop, EVRUN_NOWAIT);
}

std::unique_ptr<Call>
CallerTest::make (const std::string &method, const std::string &path,
                  const std::string &id)
{
  auto call = std::make_unique<Call> ();
  call->method = method;
  call->url = std::string ("http://") + caller_task_address (task) + path;
  if (!id.empty ())
    call->fields.push_back ("X-Request-Id: " + id);
  return call;
}

static size_t
on_answer (char *data, size_t size, size_t count, void *owner)
{
  static_cast<Call *> (owner)->answer.append (data, size * count);
  return size * count;
}

static bool
on_field (void *owner, enum response_line what, const char *data, size_t size)
{
  std::string line (data, size);
  const size_t colon = line.find (": ");
  if (colon == std::string::npos)
    return true;
  std::string name = line.substr (0, colon);
  for (char &c : name)
    c = (char)tolower (c);
  while (!line.empty () && (line.back () == '\n' || line.back () == '\r'))
    line.pop_back ();
  static_cast<Call *> (owner)->answer_fields[name] = line.substr (colon + 2);
  return true;
}

static size_t
on_send (char *data, size_t size, size_t count, void *owner)
{
  auto *call = static_cast<Call *> (owner);
  const size_t remaining = call->body.size () - call->sent;
  const size_t sent = remaining < size * count ? remaining : size * count;
  memcpy (data, call->body.data () + call->sent, sent);
  call->sent += sent;
  return sent;
}

static void
on_call_done (void *owner, CURLcode code, CURL *easy)
{
  auto *call = static_cast<Call *> (owner);
  call->code = response_head_result (&call->head, code);
  call->done = true;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &call->status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (call->list);
  call->easy = nullptr;
}

static void
set_body (Call *call)
{
  if (!call->chunked)
    {
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE,
                        (long)call->body.size ());
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body.data ());
      return;
    }
  curl_easy_setopt (call->easy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (call->easy, CURLOPT_READFUNCTION, on_send);
  curl_easy_setopt (call->easy, CURLOPT_READDATA, call);
}

void
CallerTest::begin (Call *call)
{
  call->easy = curl_loop_create_easy ();
  curl_easy_setopt (call->easy, CURLOPT_URL, call->url.c_str ());
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_answer);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  response_head_attach (&call->head, call->easy, on_field, call);
  if (call->http_1_0)
    curl_easy_setopt (call->easy, CURLOPT_HTTP_VERSION,
                      (long)CURL_HTTP_VERSION_1_0);
  if (!call->body.empty () || call->method == "POST")
    set_body (call);
  if (call->method == "HEAD")
    curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST,
                      call->method.c_str ());
  call->list = curl_slist_append (call->list, "Expect:");
  for (const std::string &field : call->fields)
    call->list = curl_slist_append (call->list, field.c_str ());
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->list);
  curl_loop_start (client, call->easy, on_call_done, call);
}

void
CallerTest::finish (Call *call)
{
  begin (call);
  if (run_until ([call] { return call->done; }))
    return;
  ADD_FAILURE () << "no response to " << call->method << " " << call->url;
  curl_loop_cancel (client, call->easy);
  run_until ([call] { return call->done; });
}

std::unique_ptr<Call>
CallerTest::get (const std::string &path, const std::string &id)
{
  auto call = make ("GET", path, id);
  finish (call.get ());
  return call;
}

std::unique_ptr<RawCaller>
CallerTest::connect_raw ()
{
  return connect_raw (caller_task_address (task));
}

std::unique_ptr<RawCaller>
CallerTest::connect_raw (const std::string &address)
{
  auto raw = std::make_unique<RawCaller> ();
  sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port
      = htons ((uint16_t)std::stoi (address.substr (address.rfind (':') + 1)));
  raw->fd = socket (AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ (connect (raw->fd, (sockaddr *)&in, sizeof in), 0);
  fcntl (raw->fd, F_SETFL, O_NONBLOCK);
  raw->loop = loop;
  ev_io_init (&raw->io, on_readable, raw->fd, EV_READ);
  raw->io.data = raw.get ();
  ev_io_start (loop, &raw->io);
  return raw;
}

std::string
CallerTest::exposed () const
{
  char *text = counters_expose (the_counters);
  std::string copy = text;
  free (text);
  return copy;
}
