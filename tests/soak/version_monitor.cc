#include "tests/soak/version_monitor.h"

#include <chrono>
#include <cstdlib>
#include <vector>

namespace
{

constexpr long request_timeout_ms = 300;
constexpr std::chrono::milliseconds round_interval{ 20 };

} // namespace

VersionMonitor::VersionMonitor (SoakFleet &fleet)
    : fleet_ (fleet), thread_ ([this] { run (); })
{
}

VersionMonitor::~VersionMonitor ()
{
  stop ();
}

std::string
VersionMonitor::stop ()
{
  {
    std::lock_guard<std::mutex> lock (mutex_);
    stopping_ = true;
  }
  stop_.notify_all ();
  if (thread_.joinable ())
    thread_.join ();
  return violations_;
}

bool
VersionMonitor::wait_stop ()
{
  std::unique_lock<std::mutex> lock (mutex_);
  return stop_.wait_for (lock, round_interval, [this] { return stopping_; });
}

long
VersionMonitor::version (int number)
{
  HttpRequest request;
  request.url = fleet_.fleet ().operator_url (number, "/v1/services");
  request.timeout_ms = request_timeout_ms;
  const HttpResponse response = http (request);
  if (!response.complete || response.status != 200)
    return 0;
  return atol (json_at (response.body, "rows.0.version").c_str ());
}

/* A response counts only if the host wasn't restarted meanwhile. */
void
VersionMonitor::run ()
{
  const size_t hosts = static_cast<size_t> (fleet_.hosts ());
  std::vector<long> highest (hosts, 0);
  std::vector<int> start_counts (hosts, 0);
  while (!wait_stop ())
    {
      for (size_t i = 0; i < hosts; i++)
        {
          const int number = static_cast<int> (i) + 1;
          const int start_count = fleet_.start_count (number);
          const long found = version (number);
          if (start_count != start_counts[i])
            highest[i] = 0;
          start_counts[i] = start_count;
          if (found == 0 || fleet_.start_count (number) != start_count)
            continue;
          if (found < highest[i])
            violations_ += "host-" + std::to_string (number)
                           + " went from version "
                           + std::to_string (highest[i]) + " back to "
                           + std::to_string (found) + "\n";
          highest[i] = found;
        }
    }
}
