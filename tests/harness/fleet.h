/** @file
 * A complete small system as separate processes on loopback addresses of its
 * own: the stand-in platform, stand-in targets and hosts.
 */
#ifndef TESTS_HARNESS_FLEET_H
#define TESTS_HARNESS_FLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/harness/http.h"
#include "tests/harness/process.h"

/** A /24 of loopback addresses that no other test program uses; a bound port
 * on it serves as the lock. */
class AddressBlock
{
public:
  AddressBlock ();
  ~AddressBlock ();
  AddressBlock (const AddressBlock &) = delete;
  AddressBlock &operator= (const AddressBlock &) = delete;
  /** The address with the last byte LAST, and PORT, as IP:PORT. */
  std::string at (int last, int port) const;

private:
  int lock_fd_ = -1;
  std::string prefix_;
};

/** For FleetOptions::times: a failed host, owner or platform is detected
 * within about a second. */
inline const char *const short_times
    = "\"heartbeat_ms\":100,\"suspect_after_ms\":400,\"dead_after_ms\":1000,"
      "\"evidence_ms\":100,\"enforce_ms\":600,\"owner_lease_ms\":1200,"
      "\"watch_ms\":500,\"platform_timeout_ms\":300";

/** Configuration of a test fleet. */
struct FleetOptions
{
  int hosts = 3;
  int targets = 3;
  int dcs = 1;
  int set_hosts_per_dc = 3;
  int slots = 4;
  int floor = 4;
  std::string prefer = "faster-detection";
  /** Members added to each host's "times", as JSON members. */
  std::string times;
  /** Members of each host's "retry", as JSON members. */
  std::string retry;
  /** Addresses used instead of the real ones of "host-1.peer", "target-2" or
   * "platform", to insert a relay. */
  std::map<std::string, std::string> address_overrides;
  bool secret = false;
  /** Each host connects to targets through an address of its own, which a
   * HostNetwork has to forward; see target_relay().  All targets have to have
   * one port, which nothing else has. */
  bool relay_targets = false;
  /** Programs of hosts, by number, in place of this build's jaystaird. */
  std::map<int, std::string> programs;
  /** Members added to each host's settings, as JSON members. */
  std::string settings;
};

class Fleet
{
public:
  explicit Fleet (FleetOptions options = {});
  ~Fleet ();

  /** Start the platform and the targets, declare the service "holds"
   * (GET /calendar repeatable, POST /holds not), start the hosts and wait
   * until each serves it.
   * @return false on failure, with the reason on standard error */
  bool start ();
  /** Run PROGRAM from the host's next start on. */
  void set_program (int number, const std::string &program);

  void start_platform ();
  void start_target (int number);
  void start_host (int number);
  /** Wait until the service is in force on the host. */
  bool wait_serving (int number);

  /** Change the declared service by writing to the platform directly. */
  bool declare (const std::string &service_json);
  /** Write an object to the platform directly, whatever its version. */
  bool put_object (const std::string &path, const std::string &text);
  /** The service "holds" as first declared. */
  std::string service_json () const;

  /** The data centre of a host or target. */
  std::string dc_of (int number) const;

  /** The settings file of a host that was started. */
  std::string settings_path (int number) const;

  std::string peer_address (int host) const;
  std::string caller_url (int host, const std::string &path) const;
  std::string operator_url (int host, const std::string &path) const;
  std::string target_url (int target, const std::string &path) const;
  std::string target_address (int target) const;
  /** The address of TARGET in the service's settings. */
  std::string known_target_address (int target) const;
  /** Where HOST connects to TARGET with `relay_targets`. */
  std::string target_relay (int host, int target) const;
  std::string platform_url (const std::string &path) const;

  /** POST to a control endpoint of a stand-in. */
  bool post_control (const std::string &url);
  /** Wait until all lines that the running targets have written so far are
   * read from their pipes. */
  void read_target_lines ();
  /** The number of runs of each request, by id, over all targets.  It is
   * taken from the lines that targets print, so the runs of a killed target
   * are included. */
  std::map<std::string, int> all_runs ();
  int runs_of (const std::string &id);
  /** Run the operators' program against HOST; the result is its output. */
  std::string jaystair (int host, std::vector<std::string> args,
                        int *exit_code = nullptr);

  /** The last log lines of every host and target, for a failure's message. */
  std::string logs ();

  AddressBlock addresses;
  std::unique_ptr<Process> platform;
  std::vector<std::unique_ptr<Process>> targets; /**< [number - 1] */
  std::vector<std::unique_ptr<Process>> hosts;   /**< [number - 1] */
  /** Targets that were restarted; their runs still count. */
  std::vector<std::unique_ptr<Process>> past_targets;

private:
  std::string write_settings (int number);
  std::vector<std::string> host_command (int number);
  std::string address_of (const std::string &name,
                          const std::string &real) const;

  FleetOptions options_;
  std::string folder_;
};

#endif
