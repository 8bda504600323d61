/** @file
 * A caller task with simulated targets and callers.  All run on one event loop
 * of the test, so nothing happens except while the test waits.
 */
#ifndef NODE_CALLER_TESTS_CALLER_FIXTURE_H
#define NODE_CALLER_TESTS_CALLER_FIXTURE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/log.h"
#include "node/caller/caller_interface.h"
#include "node/caller/caller_task.h"
#include "node/tables.h"
#include "tests/standins/target_server.h"
#include "wire/curl_loop.h"
#include "wire/response_head.h"
}

/** A request sent by a caller through libcurl. */
struct Call
{
  std::string method = "GET";
  std::string url;
  std::string body;
  bool chunked = false;
  bool http_1_0 = false;
  std::vector<std::string> fields;

  bool done = false;
  CURLcode code = CURLE_OK; /**< an error if the head wasn't whole */
  long status = 0;
  std::string answer;
  std::map<std::string, std::string> answer_fields; /**< names in lower case */

  CURL *easy = nullptr;
  response_head head = {};
  curl_slist *list = nullptr;
  size_t sent = 0;

  std::string field (const std::string &name) const;
};

/** A caller's connection on which the test writes arbitrary bytes. */
struct RawCaller
{
  int fd = -1;
  std::string received;
  bool closed = false;
  bool reset = false;
  ev_io io;
  struct ev_loop *loop = nullptr;

  void write (const std::string &bytes);
  void hang_up ();
};

class CallerTest : public testing::Test
{
protected:
  void SetUp () override;
  void TearDown () override;

  /** Run the loop until READY returns true.
   * @return false after ten seconds */
  bool run_until (const std::function<bool ()> &ready);

  target_server *add_target (const std::string &name);
  /** Put a service with all targets in force.  MEMBERS are additional members
   * of its JSON and begin with a comma.  Apostrophes stand for quotes. */
  void put_service (const std::string &routes,
                    const std::string &members = "");
  /** Put the service in force with one target "t1" at ADDRESS. */
  void put_service_at (const std::string &address);
  /** Put a configuration in force whose JSON has MEMBERS, with apostrophes for
   * quotes, and whose route "/" leads to the service of put_service(). */
  void put_config (const std::string &members);
  /** The same at the host whose tasks use BUS. */
  void put_config (const std::string &members, struct bus *bus);
  void put_hosts (const std::vector<bus_host_entry> &hosts);
  void start ();

  std::unique_ptr<Call> make (const std::string &method,
                              const std::string &path,
                              const std::string &id = "");
  void begin (Call *call);
  /** Start CALL and wait for its end. */
  void finish (Call *call);
  std::unique_ptr<Call> get (const std::string &path,
                             const std::string &id = "");

  std::unique_ptr<RawCaller> connect_raw ();
  /** The same to a host at ADDRESS. */
  std::unique_ptr<RawCaller> connect_raw (const std::string &address);

  void post_service (const std::string &target_list, const std::string &routes,
                     const std::string &members);
  std::string exposed () const;
  void write_log_to (int fd);

  struct ev_loop *loop = nullptr;
  host_settings settings;
  /** Set before start(); NULL: jaystair's own. */
  const caller_interface *interface = nullptr;
  bus *the_bus = nullptr;
  counters *the_counters = nullptr;
  tables *the_tables = nullptr;
  curl_loop *client = nullptr;
  caller_task *task = nullptr;
  std::vector<target_server *> targets;
  std::vector<std::string> target_names;
  std::string target_options; /**< additional members of each target's JSON */
  uint64_t version = 0;
};

/** Routes of the default service: all methods but POST are repeatable. */
extern const char *const usual_routes;

#endif
