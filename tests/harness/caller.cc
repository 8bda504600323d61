#include "tests/harness/caller.h"

#include <chrono>

namespace
{

constexpr int holds_every = 3; /* one request in so many is a POST /holds */
constexpr long request_limit_ms = 30000;
constexpr int unserved_shown = 10;

Told
judge (const HttpAnswer &answer, const std::string &id)
{
  const std::string outcome = answer.header ("jaystair-outcome");
  if (!answer.whole)
    return Told::unknown;
  if (outcome == "not-run")
    return Told::not_run;
  if (outcome == "unknown")
    return Told::unknown;
  if (outcome != "ran")
    return Told::wrong;
  if (answer.status != 200)
    return Told::failed;
  /* The stand-in answers "NAME ID HASH BYTES". */
  return answer.body.find (" " + id + " ") != std::string::npos ? Told::ran
                                                                : Told::wrong;
}

} // namespace

Record
send_and_judge (const std::string &base_url, const std::string &id,
                bool unrepeatable, const std::vector<std::string> &headers)
{
  HttpRequest request;
  request.method = unrepeatable ? "POST" : "GET";
  request.url = base_url + (unrepeatable ? "/holds" : "/calendar");
  request.headers = headers;
  request.headers.push_back ("X-Request-Id: " + id);
  request.timeout_ms = request_limit_ms;
  if (unrepeatable)
    request.body = "hold for " + id;
  const HttpAnswer answer = http (request);
  return { unrepeatable, judge (answer, id),
           std::to_string (answer.status) + " " + answer.error + " "
               + answer.body.substr (0, 200) };
}

Load::Load (Fleet &fleet, int threads) : fleet_ (fleet)
{
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
Load::ask_addresses (int thread)
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
      const HttpAnswer answer = http (request);
      const size_t count
          = answer.status == 200 ? json_length (answer.body, "addresses") : 0;
      for (size_t n = 0; n < count; n++)
        list.push_back (json_at (answer.body, "addresses." + std::to_string (n)
                                                  + ".address"));
    }
  return list;
}

void
Load::run (int thread)
{
  for (int number = 0; !stopping_; number++)
    send_one (thread, number);
}

/* A caller that can't connect tries the next address; once a request may have
   reached a host it is sent again only if it is repeatable. */
void
Load::send_one (int thread, int number)
{
  const std::string name
      = "r" + std::to_string (thread) + "-" + std::to_string (number);
  const bool unrepeatable = number % holds_every == 0;
  Record record{ unrepeatable, Told::not_run, "no host answered" };
  std::string id = name;
  int sendings = 0;
  for (const std::string &address : ask_addresses (thread))
    {
      if (sendings > 0)
        {
          note (id, record);
          id = name + "." + std::to_string (sendings);
        }
      sendings++;
      record = send_and_judge ("http://" + address, id, unrepeatable);
      const bool no_connection
          = record.detail.find ("connect to server") != std::string::npos;
      if (record.told != Told::unknown)
        break;
      if (no_connection)
        record.told = Told::not_run;
      else if (unrepeatable)
        break;
    }
  note (id, record);
  lines_grew ();
}

void
Load::note (const std::string &id, const Record &record)
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
Load::count_told (Told told)
{
  std::lock_guard<std::mutex> lock (mutex_);
  size_t count = 0;
  for (const auto &entry : records_)
    count += entry.second.told == told;
  return count;
}

bool
Load::wait_more (size_t more)
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
  std::string broken;
  for (const auto &entry : records_)
    {
      const std::string &id = entry.first;
      const Record &record = entry.second;
      const auto found = runs.find (id);
      const int count = found == runs.end () ? 0 : found->second;
      const std::string about = id + " (" + record.detail + ") ran "
                                + std::to_string (count) + " times\n";
      if (record.told == Told::wrong)
        broken += "not its own whole answer: " + about;
      if (record.unrepeatable && count > 1)
        broken += "unrepeatable but run twice: " + about;
      if (record.told == Told::not_run && count > 0)
        broken += "told not run: " + about;
      if (record.told == Told::ran && count == 0)
        broken += "told run: " + about;
    }
  return broken;
}

std::string
Load::summary ()
{
  return std::to_string (count ())
         + " requests: " + std::to_string (count_told (Told::ran))
         + " answered whole, " + std::to_string (count_told (Told::failed))
         + " answered with a failure, "
         + std::to_string (count_told (Told::not_run)) + " not run, "
         + std::to_string (count_told (Told::unknown)) + " unknown, "
         + std::to_string (count_told (Told::wrong)) + " wrong\n"
         + first_unserved ();
}

std::string
Load::first_unserved ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::string lines;
  int left = unserved_shown;
  for (const auto &[id, record] : records_)
    if (record.told != Told::ran && left-- > 0)
      lines += id + ": " + record.detail + "\n";
  return lines;
}
