#include "tests/harness/caller.h"
#include "tests/harness/kept_connection.h"

#include <chrono>
#include <cstring>

namespace
{

constexpr int post_interval = 3; /* every third request is a POST /holds */
constexpr long request_timeout_ms = 30000;
constexpr int unserved_shown_max = 10;
constexpr auto reconnect_interval = std::chrono::milliseconds (20);

RequestOutcome
classify (const HttpResponse &response, const std::string &id)
{
  const std::string outcome = response.header ("jaystair-outcome");
  if (!response.complete)
    return RequestOutcome::unknown;
  if (outcome == "not-run")
    return RequestOutcome::not_run;
  if (outcome == "unknown")
    return RequestOutcome::unknown;
  if (outcome != "ran")
    return RequestOutcome::wrong;
  if (response.status != 200)
    return RequestOutcome::failed;
  /* A stand-in target responds with "NAME ID HASH BYTES". */
  return response.body.find (" " + id + " ") != std::string::npos
             ? RequestOutcome::ran
             : RequestOutcome::wrong;
}

HttpRequest
make_request (const std::string &base_url, const std::string &id,
              bool unrepeatable, const std::vector<std::string> &headers)
{
  HttpRequest request;
  request.method = unrepeatable ? "POST" : "GET";
  request.url = base_url + (unrepeatable ? "/holds" : "/calendar");
  request.headers = headers;
  request.headers.push_back ("X-Request-Id: " + id);
  request.timeout_ms = request_timeout_ms;
  if (unrepeatable)
    request.body = "hold for " + id;
  return request;
}

Record
make_record (const HttpResponse &response, const std::string &id,
             bool unrepeatable)
{
  return { unrepeatable, classify (response, id),
           std::to_string (response.status) + " " + response.error + " "
               + response.body.substr (0, 200) };
}

} // namespace

Record
send_and_classify (const std::string &base_url, const std::string &id,
                   bool unrepeatable, const std::vector<std::string> &headers)
{
  const HttpResponse response
      = http (make_request (base_url, id, unrepeatable, headers));
  return make_record (response, id, unrepeatable);
}

Load::Load (Fleet &fleet, int threads, int kept_threads) : fleet_ (fleet)
{
  for (int thread = 0; thread < kept_threads; thread++)
    threads_.emplace_back ([this, thread] { run_kept (thread); });
  for (int thread = 0; thread < threads; thread++)
    threads_.emplace_back ([this, thread] { run (thread); });
}

Load::~Load ()
{
  stop ();
}

void
Load::stop ()
{
  stopping_ = true;
  for (std::thread &thread : threads_)
    thread.join ();
  threads_.clear ();
}

std::vector<std::string>
Load::fetch_addresses (int thread)
{
  std::vector<std::string> list;
  const int hosts = static_cast<int> (fleet_.hosts.size ());
  for (int i = 0; list.empty () && i < hosts; i++)
    {
      HttpRequest request;
      request.url = fleet_.caller_url (
          1 + (thread + i) % hosts,
          "/.well-known/jaystair/addresses?service=holds");
      request.timeout_ms = 2000;
      const HttpResponse response = http (request);
      const size_t count = response.status == 200
                               ? json_length (response.body, "addresses")
                               : 0;
      for (size_t n = 0; n < count; n++)
        list.push_back (json_at (
            response.body, "addresses." + std::to_string (n) + ".address"));
    }
  return list;
}

void
Load::run (int thread)
{
  for (int number = 0; !stopping_; number++)
    send_one (thread, number);
}

void
Load::run_kept (int thread)
{
  const int host = 1 + thread % static_cast<int> (fleet_.hosts.size ());
  const std::string address
      = fleet_.caller_url (host, "").substr (strlen ("http://"));
  int number = 0;
  while (!stopping_)
    {
      KeptConnection connection (address);
      if (!connection.is_open ())
        std::this_thread::sleep_for (reconnect_interval);
      while (!stopping_ && connection.is_open ())
        {
          const bool unrepeatable = ++number % post_interval == 0;
          const std::string id
              = "k" + std::to_string (thread) + "-" + std::to_string (number);
          const HttpResponse response
              = connection.send (make_request ("", id, unrepeatable, {}));
          add_record (id, make_record (response, id, unrepeatable));
          notify_output ();
        }
    }
}

/* A caller that can't connect tries the next address.  Once a request may have
   reached a host, it is sent again only if it is repeatable. */
void
Load::send_one (int thread, int number)
{
  const std::string name
      = "r" + std::to_string (thread) + "-" + std::to_string (number);
  const bool unrepeatable = number % post_interval == 0;
  Record record{ unrepeatable, RequestOutcome::not_run, "no host answered" };
  std::string id = name;
  int attempts = 0;
  for (const std::string &address : fetch_addresses (thread))
    {
      if (attempts > 0)
        {
          add_record (id, record);
          id = name + "." + std::to_string (attempts);
        }
      attempts++;
      record = send_and_classify ("http://" + address, id, unrepeatable);
      const bool no_connection
          = record.detail.find ("connect to server") != std::string::npos;
      if (record.outcome != RequestOutcome::unknown)
        break;
      if (no_connection)
        record.outcome = RequestOutcome::not_run;
      else if (unrepeatable)
        break;
    }
  add_record (id, record);
  notify_output ();
}

void
Load::add_record (const std::string &id, const Record &record)
{
  std::lock_guard<std::mutex> lock (mutex_);
  records_[id] = record;
}

size_t
Load::count ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return records_.size ();
}

size_t
Load::count_outcome (RequestOutcome outcome)
{
  std::lock_guard<std::mutex> lock (mutex_);
  size_t count = 0;
  for (const auto &entry : records_)
    count += entry.second.outcome == outcome;
  return count;
}

bool
Load::wait_for_requests (size_t more)
{
  const size_t goal = count () + more;
  return wait_until ([&] { return count () >= goal; }, 120);
}

size_t
Load::repeated_runs ()
{
  size_t repeated = 0;
  for (const auto &[id, count] : fleet_.all_runs ())
    if (records_.count (id) > 0 && count > 1)
      repeated += static_cast<size_t> (count - 1);
  return repeated;
}

std::string
Load::check ()
{
  const std::map<std::string, int> runs = fleet_.all_runs ();
  std::string violations;
  for (const auto &entry : records_)
    {
      const std::string &id = entry.first;
      const Record &record = entry.second;
      const auto found = runs.find (id);
      const int count = found == runs.end () ? 0 : found->second;
      const std::string description = id + " (" + record.detail + ") ran "
                                      + std::to_string (count) + " times\n";
      if (record.outcome == RequestOutcome::wrong)
        violations += "not its own complete response: " + description;
      if (record.unrepeatable && count > 1)
        violations += "unrepeatable but run twice: " + description;
      if (record.outcome == RequestOutcome::not_run && count > 0)
        violations += "reported as not run: " + description;
      if (record.outcome == RequestOutcome::ran && count == 0)
        violations += "reported as run: " + description;
    }
  return violations;
}

std::string
Load::lost ()
{
  const std::map<std::string, int> runs = fleet_.all_runs ();
  std::string lines;
  for (const auto &[id, record] : records_)
    if (record.outcome == RequestOutcome::unknown && runs.count (id) > 0)
      lines += id + " (" + record.detail + ")\n";
  return lines;
}

std::string
Load::summary ()
{
  return std::to_string (count ())
         + " requests: " + std::to_string (count_outcome (RequestOutcome::ran))
         + " complete responses, "
         + std::to_string (count_outcome (RequestOutcome::failed))
         + " error responses, "
         + std::to_string (count_outcome (RequestOutcome::not_run))
         + " not run, "
         + std::to_string (count_outcome (RequestOutcome::unknown))
         + " unknown, "
         + std::to_string (count_outcome (RequestOutcome::wrong)) + " wrong\n"
         + first_unserved ();
}

std::string
Load::first_unserved ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::string lines;
  int remaining = unserved_shown_max;
  for (const auto &[id, record] : records_)
    if (record.outcome != RequestOutcome::ran && remaining-- > 0)
      lines += id + ": " + record.detail + "\n";
  return lines;
}
