#include "tests/soak/version_monitor.h"

#include <chrono>
#include <cstdlib>
#include <vector>

namespace
{

constexpr long ask_ms = 300;
constexpr std::chrono::milliseconds between_rounds{ 20 };

} // namespace

VersionMonitor::VersionMonitor (SoakFleet &world)
    : world_ (world), thread_ ([this] { run (); })
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
  return broken_;
}

bool
VersionMonitor::wait_stop ()
{
  std::unique_lock<std::mutex> lock (mutex_);
  return stop_.wait_for (lock, between_rounds, [this] { return stopping_; });
}

long
VersionMonitor::version (int number)
{
  HttpRequest request;
  request.url = world_.fleet ().operator_url (number, "/v1/services");
  request.timeout_ms = ask_ms;
  const HttpResponse answer = http (request);
  if (!answer.complete || answer.status != 200)
    return 0;
  return atol (json_at (answer.body, "rows.0.version").c_str ());
}

/* An answer counts only if the host wasn't started anew meanwhile. */
void
VersionMonitor::run ()
{
  const size_t hosts = static_cast<size_t> (world_.hosts ());
  std::vector<long> highest (hosts, 0);
  std::vector<int> lifetimes (hosts, 0);
  while (!wait_stop ())
    {
      for (size_t i = 0; i < hosts; i++)
        {
          const int number = static_cast<int> (i) + 1;
          const int lifetime = world_.lifetime (number);
          const long found = version (number);
          if (lifetime != lifetimes[i])
            highest[i] = 0;
          lifetimes[i] = lifetime;
          if (found == 0 || world_.lifetime (number) != lifetime)
            continue;
          if (found < highest[i])
            broken_ += "host-" + std::to_string (number)
                       + " went from version " + std::to_string (highest[i])
                       + " back to " + std::to_string (found) + "\n";
          highest[i] = found;
        }
    }
}
