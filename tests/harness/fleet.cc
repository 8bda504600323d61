#include "tests/harness/fleet.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

constexpr int caller_port = 8080;
constexpr int peer_port = 8081;
constexpr int operator_port = 8082;
constexpr int platform_port = 9000;
constexpr int target_port = 9100;
constexpr int lock_port = 7001;
/* Last bytes of addresses: hosts start at 10, targets at 110. */
constexpr int platform_last_byte = 2;
constexpr int host_last_byte_base = 10;
constexpr int target_last_byte_base = 110;

int
bind_lock_port (const std::string &ip)
{
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons (lock_port);
  inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
  if (bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

int
port_of (const std::string &address)
{
  return std::stoi (address.substr (address.find (':') + 1));
}

} // namespace

AddressBlock::AddressBlock ()
{
  const int start = getpid ();
  for (int i = 0; lock_fd_ < 0 && i < 30000; i++)
    {
      const int block = (start + i) % 30000;
      prefix_ = "127." + std::to_string (1 + block / 250) + "."
                + std::to_string (1 + block % 250) + ".";
      lock_fd_ = bind_lock_port (prefix_ + "1");
    }
  if (lock_fd_ < 0)
    abort ();
}

AddressBlock::~AddressBlock ()
{
  close (lock_fd_);
}

std::string
AddressBlock::at (int last, int port) const
{
  return prefix_ + std::to_string (last) + ":" + std::to_string (port);
}

Fleet::Fleet (FleetOptions options) : options_ (std::move (options))
{
  char folder[] = "/tmp/jaystair-fleet-XXXXXX";
  if (mkdtemp (folder) == nullptr)
    abort ();
  folder_ = folder;
  if (options_.secret)
    std::ofstream (folder_ + "/secret") << "a-key-for-this-fleet-only\n";
  hosts.resize (static_cast<size_t> (options_.hosts));
  targets.resize (static_cast<size_t> (options_.targets));
}

Fleet::~Fleet ()
{
  hosts.clear ();
  targets.clear ();
  platform.reset ();
  std::filesystem::remove_all (folder_);
}

std::string
Fleet::dc_of (int number) const
{
  return std::string ("north-")
         + static_cast<char> ('a' + (number - 1) % options_.dcs);
}

std::string
Fleet::address_of (const std::string &name, const std::string &real) const
{
  const auto found = options_.address_overrides.find (name);
  return found == options_.address_overrides.end () ? real : found->second;
}

std::string
Fleet::peer_address (int host) const
{
  return addresses.at (host_last_byte_base + host, peer_port);
}

std::string
Fleet::caller_url (int host, const std::string &path) const
{
  return "http://" + addresses.at (host_last_byte_base + host, caller_port)
         + path;
}

std::string
Fleet::operator_url (int host, const std::string &path) const
{
  return "http://" + addresses.at (host_last_byte_base + host, operator_port)
         + path;
}

std::string
Fleet::target_address (int target) const
{
  return addresses.at (target_last_byte_base + target, target_port);
}

std::string
Fleet::known_target_address (int target) const
{
  return address_of ("target-" + std::to_string (target),
                     target_address (target));
}

std::string
Fleet::target_relay (int host, int target) const
{
  const std::string known = known_target_address (target);
  return known.substr (0, known.find (':') + 1)
         + std::to_string (port_of (known) + host);
}

std::string
Fleet::target_url (int target, const std::string &path) const
{
  return "http://" + target_address (target) + path;
}

std::string
Fleet::platform_url (const std::string &path) const
{
  return "http://" + addresses.at (platform_last_byte, platform_port) + path;
}

std::string
Fleet::settings_path (int number) const
{
  return folder_ + "/host-" + std::to_string (number) + ".json";
}

std::string
Fleet::write_settings (int number)
{
  const std::string name = "host-" + std::to_string (number);
  const std::string path = settings_path (number);
  const int last = host_last_byte_base + number;
  std::ofstream out (path);
  out << "{ \"name\": \"" << name << "\", \"dc\": \"" << dc_of (number)
      << "\",\n\"addresses\": { \"caller\": \""
      << addresses.at (last, caller_port) << "\", \"peer\": \""
      << addresses.at (last, peer_port) << "\", \"operator\": \""
      << addresses.at (last, operator_port) << "\" },\n"
      << "\"advertise\": { \"peer\": \""
      << address_of (name + ".peer", addresses.at (last, peer_port))
      << "\" },\n"
      << "\"platform\": { \"addresses\": [\""
      << address_of ("platform",
                     addresses.at (platform_last_byte, platform_port))
      << "\"] },\n\"peers\": [";
  for (int other = 1; other <= options_.hosts && other <= 16; other++)
    out << (other > 1 ? "," : "") << "\""
        << address_of ("host-" + std::to_string (other) + ".peer",
                       addresses.at (host_last_byte_base + other, peer_port))
        << "\"";
  out << "],\n\"log\": { \"json\": true, \"repeats_per_second\": 0, "
         "\"warnings_per_second\": 0 },\n";
  if (options_.secret)
    out << "\"secret_file\": \"" << folder_ << "/secret\",\n";
  if (!options_.settings.empty ())
    out << options_.settings << ",\n";
  out << "\"set_hosts_per_dc\": " << options_.set_hosts_per_dc << ",\n";
  out << "\"retry\": {" << options_.retry << "},\n";
  out << "\"times\": {" << options_.times << "} }\n";
  return path;
}

std::string
Fleet::service_json () const
{
  std::ostringstream out;
  out << "{\"name\":\"holds\",\"prefer\":\"" << options_.prefer
      << "\",\"floor_capacity\":" << options_.floor << ",\"targets\":[";
  for (int number = 1; number <= options_.targets; number++)
    {
      const std::string name = "target-" + std::to_string (number);
      out << (number > 1 ? "," : "") << "{\"name\":\"" << name
          << "\",\"address\":\""
          << address_of (name, addresses.at (target_last_byte_base + number,
                                             target_port))
          << "\",\"dc\":\"" << dc_of (number)
          << "\",\"slots\":" << options_.slots << "}";
    }
  out << "],\"routes\":[{\"path_prefix\":\"/calendar\",\"methods\":[\"GET\"]},"
      << "{\"path_prefix\":\"/holds\",\"methods\":[\"POST\"],"
      << "\"repeatable\":false}]}";
  return out.str ();
}

void
Fleet::start_platform ()
{
  platform = std::make_unique<Process> (std::vector<std::string>{
      STANDIN_PLATFORM, "--listen",
      addresses.at (platform_last_byte, platform_port) });
}

void
Fleet::start_target (int number)
{
  std::unique_ptr<Process> &target = targets[static_cast<size_t> (number - 1)];
  if (target != nullptr)
    {
      target->kill ();
      past_targets.push_back (std::move (target));
    }
  target = std::make_unique<Process> (std::vector<std::string>{
      STANDIN_TARGET, "--listen",
      addresses.at (target_last_byte_base + number, target_port), "--name",
      "target-" + std::to_string (number) });
}

std::vector<std::string>
Fleet::host_command (int number)
{
  std::vector<std::string> command;
  if (options_.relay_targets)
    command = { "/usr/bin/env", "LD_PRELOAD=" TARGET_PORTS,
                "ASAN_OPTIONS=verify_asan_link_order=0",
                "TARGET_PORT="
                    + std::to_string (port_of (known_target_address (1))),
                "TARGET_RELAY_PORT="
                    + std::to_string (port_of (target_relay (number, 1))) };
  const auto found = options_.programs.find (number);
  command.push_back (found == options_.programs.end () ? JAYSTAIRD
                                                       : found->second);
  command.insert (command.end (), { "--settings", write_settings (number) });
  return command;
}

void
Fleet::start_host (int number)
{
  hosts[static_cast<size_t> (number - 1)]
      = std::make_unique<Process> (host_command (number));
}

void
Fleet::set_program (int number, const std::string &program)
{
  options_.programs[number] = program;
}

bool
Fleet::wait_serving (int number)
{
  const std::string url
      = caller_url (number, "/.well-known/jaystair/addresses?service=holds");
  return wait_until ([&] { return http_get (url).status == 200; });
}

bool
Fleet::declare (const std::string &service_json)
{
  return put_object ("service/holds", service_json);
}

bool
Fleet::put_object (const std::string &path, const std::string &text)
{
  const std::string url = platform_url ("/objects/" + path);
  const HttpResponse now = http_get (url);
  HttpRequest request;
  request.method = "PUT";
  request.url = url;
  request.body = text;
  request.headers
      = { now.status == 200
              ? "If-Match: \"" + json_at (now.body, "version") + "\""
              : "If-None-Match: *" };
  return http (request).status == 200;
}

bool
Fleet::start ()
{
  start_platform ();
  for (int number = 1; number <= options_.targets; number++)
    start_target (number);
  bool ready = platform->wait_line ({ "listening" });
  for (const auto &target : targets)
    ready = ready && target->wait_line ({ "listening" });
  ready = ready && declare (service_json ());
  for (int number = 1; ready && number <= options_.hosts; number++)
    start_host (number);
  for (int number = 1; ready && number <= options_.hosts; number++)
    ready = wait_serving (number);
  if (!ready)
    std::cerr << "the fleet didn't start\n" << logs ();
  return ready;
}

bool
Fleet::post_control (const std::string &url)
{
  HttpRequest request;
  request.method = "POST";
  request.url = url;
  return http (request).status == 200;
}

void
Fleet::read_target_lines ()
{
  for (size_t i = 0; i < targets.size (); i++)
    {
      size_t from = targets[i]->line_count ();
      if (targets[i]->running ()
          && http_get (target_url (static_cast<int> (i) + 1, "/control/runs"))
                     .status
                 == 200)
        targets[i]->wait_line ({ "counted" }, &from);
    }
}

std::map<std::string, int>
Fleet::all_runs ()
{
  std::map<std::string, int> runs;
  read_target_lines ();
  for (const auto *list : { &past_targets, &targets })
    for (const auto &target : *list)
      for (const std::string &line : target->lines_with ("run "))
        runs[line.substr (4, line.find_first_of (" \n", 4) - 4)]++;
  return runs;
}

int
Fleet::runs_of (const std::string &id)
{
  return all_runs ()[id];
}

std::string
Fleet::jaystair (int host, std::vector<std::string> args, int *exit_code)
{
  std::vector<std::string> all
      = { JAYSTAIR, "--host",
          addresses.at (host_last_byte_base + host, operator_port) };
  if (options_.secret)
    all.insert (all.end (), { "--secret-file", folder_ + "/secret" });
  all.insert (all.end (), args.begin (), args.end ());
  Process run (all);
  const int code = run.wait ();
  if (exit_code != nullptr)
    *exit_code = code;
  return run.tail (1000);
}

std::string
Fleet::logs ()
{
  std::string text;
  for (size_t i = 0; i < hosts.size (); i++)
    if (hosts[i] != nullptr)
      text += "--- host-" + std::to_string (i + 1) + "\n" + hosts[i]->tail ();
  for (size_t i = 0; i < targets.size (); i++)
    if (targets[i] != nullptr)
      text += "--- target-" + std::to_string (i + 1) + "\n"
              + targets[i]->tail (5);
  return text;
}
