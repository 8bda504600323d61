#include "tests/soak/config_judge.h"

#include <algorithm>

namespace
{

constexpr long not_found = 404;

/** A version that a process is known to have in force. */
struct Shown
{
  size_t version;
  int64_t shown_ms;
};

bool
shows_configuration (const ConfigRequest &request)
{
  return !request.ran_by.empty () || request.status == not_found;
}

/* Whether VERSION handles REQUEST as it was handled. */
bool
allows (const ConfigVersion &version, const ConfigRequest &request)
{
  const auto found = version.services.find (request.path);
  if (request.ran_by.empty ())
    return found == version.services.end ();
  return found != version.services.end () && found->second == request.ran_by;
}

bool
is_disturbed (const ConfigBounds &bounds,
              const std::vector<ConfigDisturbance> &disturbances,
              const ConfigRequest &request, bool only_stretches)
{
  return std::any_of (
      disturbances.begin (), disturbances.end (), [&] (const auto &one) {
        const bool is_over = one.to_ms < request.sent_ms - bounds.stability_ms;
        return one.only_stretches == only_stretches
               && (one.host == 0 || one.host == request.host) && !is_over
               && one.from_ms <= request.end_ms;
      });
}

/* The oldest version that may handle a request sent at SENT_MS. */
size_t
first_allowed (const ConfigBounds &bounds,
               const std::vector<ConfigVersion> &versions, int64_t sent_ms)
{
  size_t first = 0;
  for (size_t i = 0; i < versions.size (); i++)
    if (versions[i].confirmed_ms + bounds.apply_ms <= sent_ms)
      first = i;
  return first;
}

/* The first version from FROM on that handles REQUEST as it was handled;
   versions.size () if there is none. */
size_t
find_version (const std::vector<ConfigVersion> &versions,
              const ConfigRequest &request, size_t from)
{
  for (size_t i = from; i < versions.size (); i++)
    if (versions[i].sent_ms <= request.end_ms && allows (versions[i], request))
      return i;
  return versions.size ();
}

std::string
describe (const ConfigRequest &request, const char *rule, size_t bound,
          int64_t late_ms)
{
  return request.id + " at host-" + std::to_string (request.host) + " "
         + request.path + " sent " + std::to_string (request.sent_ms) + " end "
         + std::to_string (request.end_ms) + " handled by "
         + (request.ran_by.empty () ? "none (404)" : request.ran_by) + ": "
         + rule + " version " + std::to_string (bound) + ", "
         + std::to_string (late_ms) + " ms before";
}

/* The newest version that the process of REQUEST had shown long enough before
   REQUEST was sent. */
size_t
newest_shown (const ConfigBounds &bounds, const std::vector<Shown> &shown,
              const ConfigRequest &request, int64_t *shown_ms)
{
  size_t newest = 0;
  for (const Shown &one : shown)
    if (one.shown_ms + bounds.revert_ms <= request.sent_ms
        && one.version > newest)
      {
        newest = one.version;
        *shown_ms = one.shown_ms;
      }
  return newest;
}

} // namespace

ConfigVerdict
config_judge (const ConfigBounds &bounds,
              const std::vector<ConfigVersion> &versions,
              const std::vector<ConfigDisturbance> &disturbances,
              std::vector<ConfigRequest> requests)
{
  ConfigVerdict verdict;
  std::map<std::pair<int, int>, std::vector<Shown>> shown;
  std::sort (
      requests.begin (), requests.end (),
      [] (const auto &a, const auto &b) { return a.sent_ms < b.sent_ms; });
  for (const ConfigRequest &request : requests)
    {
      if (!shows_configuration (request))
        continue;
      verdict.checked++;
      auto &process = shown[{ request.host, request.lifetime }];
      int64_t shown_ms = 0;
      const size_t shown_bound
          = newest_shown (bounds, process, request, &shown_ms);
      if (shown_bound > 0
          && find_version (versions, request, shown_bound) == versions.size ())
        verdict.wrong.push_back (describe (request, "the process had shown",
                                           shown_bound,
                                           request.sent_ms - shown_ms));
      const size_t oldest = find_version (versions, request, 0);
      if (oldest < versions.size ())
        process.push_back ({ oldest, request.end_ms });
      if (is_disturbed (bounds, disturbances, request, false))
        {
          verdict.excused++;
          continue;
        }
      const bool is_stretched
          = is_disturbed (bounds, disturbances, request, true);
      const size_t bound = first_allowed (
          bounds, versions,
          request.sent_ms - (is_stretched ? bounds.stretch_ms : 0));
      if (find_version (versions, request, bound) == versions.size ())
        verdict.wrong.push_back (
            describe (request, "the platform had confirmed", bound,
                      request.sent_ms - versions[bound].confirmed_ms));
    }
  return verdict;
}
