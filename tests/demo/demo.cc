/** @file
 * `make demo`: a small fleet on one machine, as separate processes.
 *
 * Starts a platform, three targets and three hosts, lets callers fetch
 * addresses and send requests, kills a target and a host meanwhile, and prints
 * the outcomes and the fleet's state.  Exits with 0 only if every caller got
 * the complete response to its own request or a correct outcome, and no
 * unrepeatable request ran twice.
 */
#include <iostream>

#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"

namespace
{

constexpr int callers = 6;
constexpr size_t requests_per_part = 400;

void
run_jaystair (Fleet &fleet, const std::vector<std::string> &args)
{
  std::cout << "\n$ jaystair";
  for (const std::string &arg : args)
    std::cout << " " << arg;
  std::cout << "\n" << fleet.jaystair (1, args) << std::flush;
}

bool
run_part (Load &load, const std::string &title)
{
  std::cout << "* " << title << std::endl;
  const bool progressed = load.wait_for_requests (requests_per_part);
  std::cout << "  so far " << load.summary () << std::endl;
  return progressed;
}

} // namespace

int
main ()
{
  FleetOptions options;
  options.floor = 4;
  options.secret = true;
  Fleet fleet (options);
  std::cout << "* starting a platform, three targets and three hosts"
            << std::endl;
  if (!fleet.start ())
    return 1;
  std::cout << "* fetching the addresses of hosts from host-1\n  "
            << http_get (
                   fleet.caller_url (
                       1, "/.well-known/jaystair/addresses?service=holds"))
                   .body
            << std::endl;
  Load load (fleet, callers);
  bool progressed = run_part (load, "sending requests");
  fleet.targets[1]->kill ();
  progressed
      = progressed && run_part (load, "target-2 is killed; sending requests");
  run_jaystair (fleet, { "show", "targets" });
  run_jaystair (fleet, { "explain", "target", "target-2" });
  fleet.hosts[2]->kill ();
  progressed
      = progressed && run_part (load, "host-3 is killed; sending requests");
  run_jaystair (fleet, { "show", "hosts" });
  run_jaystair (fleet, { "drain", "target-3" });
  progressed
      = progressed && run_part (load, "target-3 is drained; sending requests");
  run_jaystair (fleet, { "show", "services" });
  load.stop ();
  const std::string violations = load.check ();
  std::cout << "\n* " << load.summary () << "\n";
  if (!progressed || !violations.empty ()
      || load.count_outcome (RequestOutcome::ran) == 0)
    {
      std::cout << "* FAILED\n" << violations << fleet.logs ();
      return 1;
    }
  std::cout << "* passed: every caller got the complete response to its own "
               "request or a correct outcome,\n  and no unrepeatable request "
               "ran twice\n";
  return 0;
}
