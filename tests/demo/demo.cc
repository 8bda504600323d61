/** @file
 * `make demo`: the main job on one machine, as separate processes.
 *
 * Starts a platform, three targets and three hosts, lets callers ask for
 * addresses and send requests, kills a target and a host on the way, and
 * prints what callers were told and what the fleet believes.  Ends with 0 only
 * if every caller got the whole answer to its own request or an honest word,
 * and nothing unrepeatable ran twice.
 */
#include <iostream>

#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"

namespace
{

constexpr int callers = 6;
constexpr size_t requests_a_part = 400;

void
show (Fleet &fleet, const std::vector<std::string> &args)
{
  std::cout << "\n$ jaystair";
  for (const std::string &arg : args)
    std::cout << " " << arg;
  std::cout << "\n" << fleet.jaystair (1, args) << std::flush;
}

bool
part (Load &load, const std::string &what)
{
  std::cout << "* " << what << std::endl;
  const bool moved = load.wait_for_requests (requests_a_part);
  std::cout << "  so far " << load.summary () << std::endl;
  return moved;
}

} // namespace

int
main ()
{
  FleetOptions options;
  options.floor = 4;
  options.secret = true;
  Fleet fleet (options);
  std::cout << "* start a platform, three targets and three hosts"
            << std::endl;
  if (!fleet.start ())
    return 1;
  std::cout << "* ask host-1 which addresses to use\n  "
            << http_get (
                   fleet.caller_url (
                       1, "/.well-known/jaystair/addresses?service=holds"))
                   .body
            << std::endl;
  Load load (fleet, callers);
  bool moved = part (load, "send requests");
  fleet.targets[1]->kill ();
  moved = moved && part (load, "target-2 is killed; go on");
  show (fleet, { "show", "targets" });
  show (fleet, { "explain", "target", "target-2" });
  fleet.hosts[2]->kill ();
  moved = moved && part (load, "host-3 is killed; go on");
  show (fleet, { "show", "hosts" });
  show (fleet, { "drain", "target-3" });
  moved = moved && part (load, "target-3 is drained; go on");
  show (fleet, { "show", "services" });
  load.stop ();
  const std::string broken = load.check ();
  std::cout << "\n* " << load.summary () << "\n";
  if (!moved || !broken.empty ()
      || load.count_outcome (RequestOutcome::ran) == 0)
    {
      std::cout << "* NOT in order\n" << broken << fleet.logs ();
      return 1;
    }
  std::cout << "* in order: every caller got the whole answer to its own "
               "request or an honest word,\n  and nothing unrepeatable ran "
               "twice\n";
  return 0;
}
