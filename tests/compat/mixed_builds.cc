/** @file
 * Hosts of this build beside hosts of another build.
 *
 *     mixed_builds OTHER_JAYSTAIRD [GoogleTest options]
 *
 * Runs fleets of three hosts with one or two of the other build, and fleets
 * whose hosts are all replaced by those of the other build, so that each reads
 * the settings, stored objects and peer frames of the other.
 */
#include <gtest/gtest.h>

#include <set>

#include "tests/harness/caller.h"

extern "C"
{
#include "base/digest.h"
}

namespace
{

constexpr int hosts = 3;
constexpr int targets = 8;
constexpr int callers = 6;
constexpr size_t some = 300;
std::string other_program;

std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

class MixedBuilds : public testing::Test
{
protected:
  FleetOptions options;
  std::unique_ptr<Fleet> fleet;
  int poison_sent = 0;

  void
  start (const std::set<int> &others)
  {
    options.hosts = hosts;
    options.targets = targets;
    options.floor = 20; /* of 32 slots: two of eight targets may be ejected */
    options.times = short_times;
    for (const int host : others)
      options.programs[host] = other_program;
    fleet = std::make_unique<Fleet> (options);
    ASSERT_TRUE (fleet->start ());
  }

  std::string
  show (int host, const std::vector<std::string> &words)
  {
    std::vector<std::string> args = { "--json" };
    args.insert (args.end (), words.begin (), words.end ());
    return fleet->jaystair (host, args);
  }

  bool
  on_all (const std::function<bool (int)> &holds)
  {
    return wait_until ([&] {
      for (int host = 1; host <= hosts; host++)
        if (!holds (host))
          return false;
      return true;
    });
  }

  bool
  set_fault (int target, const std::string &how)
  {
    return fleet->post_control (
        fleet->target_url (target, "/control/set?" + how));
  }

  std::string
  target_row (int host, int target)
  {
    return show (host, { "show", "targets", "where",
                         "target=target-" + std::to_string (target) });
  }

  /* All hosts list all hosts as live, and divide the service among them. */
  void
  expect_members ()
  {
    EXPECT_TRUE (on_all ([&] (int host) {
      const std::string rows
          = http_get (fleet->operator_url (host, "/v1/hosts")).body;
      return json_length (rows, "rows") == hosts
             || json_length (show (host, { "show", "hosts" }), "rows")
                    == hosts;
    })) << show (1, { "show", "hosts" })
        << fleet->logs ();
    EXPECT_TRUE (on_all ([&] (int host) {
      const std::string rows = show (host, { "show", "services" });
      return json_at (rows, "rows.0.hosts") == std::to_string (hosts);
    })) << show (1, { "show", "services" });
  }

  void
  expect_ejected (int target)
  {
    EXPECT_TRUE (on_all ([&] (int host) {
      return json_at (target_row (host, target), "rows.0.ejected") == "true";
    })) << target_row (1, target)
        << fleet->logs ();
  }

  void
  expect_drained (int target)
  {
    EXPECT_TRUE (on_all ([&] (int host) {
      return target_row (host, target).find ("drained") != std::string::npos;
    })) << fleet->logs ();
  }

  long
  send_poison (int host)
  {
    HttpRequest request;
    request.method = "POST";
    request.url = fleet->caller_url (host, "/holds/crash");
    request.body = "date=2027-02-14";
    request.headers
        = { "X-Request-Id: poison-" + std::to_string (++poison_sent) };
    return http (request).status;
  }

  int
  poison_runs ()
  {
    int total = 0;
    for (const auto &[id, times] : fleet->all_runs ())
      if (id.find ("poison-") == 0)
        total += times;
    return total;
  }

  bool
  logged (const std::string &event, size_t times)
  {
    return on_all ([&] (int host) {
      return fleet->hosts[static_cast<size_t> (host - 1)]->count_lines (
                 { event })
             >= times;
    });
  }

  /* Three crashes, each through another host, block a request on all. */
  void
  block_poison ()
  {
    for (int target = 1; target <= targets; target++)
      ASSERT_TRUE (set_fault (target, "crash=1"));
    for (int i = 1; i <= 3; i++)
      {
        EXPECT_EQ (send_poison (i), 502);
        ASSERT_TRUE (logged ("\"poison-suspected\"", (size_t)i));
      }
    ASSERT_TRUE (logged ("\"poison-blocked\"", 1)) << fleet->logs ();
    EXPECT_EQ (poison_runs (), 3);
    expect_blocked ();
  }

  void
  expect_blocked ()
  {
    for (int host = 1; host <= hosts; host++)
      EXPECT_EQ (send_poison (host), 503) << fleet->logs ();
    EXPECT_EQ (poison_runs (), 3);
  }

  /* Under load: one target fails and is ejected, one is killed, one is
     drained by an operator at each kind of host, one has a limit. */
  void
  run_day ()
  {
    expect_members ();
    Load load (*fleet, callers);
    ASSERT_TRUE (load.wait_for_requests (some));
    ASSERT_TRUE (set_fault (4, "limit=1"));
    ASSERT_TRUE (set_fault (2, "fail=100"));
    expect_ejected (2);
    ASSERT_TRUE (load.wait_for_requests (some));
    fleet->targets[7]->kill ();
    ASSERT_TRUE (load.wait_for_requests (some));
    int code = -1;
    fleet->jaystair (1, { "drain", "target-3" }, &code);
    EXPECT_EQ (code, 0);
    expect_drained (3);
    ASSERT_TRUE (load.wait_for_requests (some));
    fleet->jaystair (3, { "undrain", "target-3" }, &code);
    EXPECT_EQ (code, 0);
    ASSERT_TRUE (load.wait_for_requests (some));
    EXPECT_TRUE (on_all ([&] (int host) {
      return json_at (target_row (host, 4), "rows.0.limit_millis") == "1000";
    })) << target_row (1, 4);
    load.stop ();
    EXPECT_EQ (load.check (), "") << fleet->logs ();
    EXPECT_EQ (load.count_outcome (RequestOutcome::wrong), 0u);
    std::cout << load.summary ();
    expect_members ();
    fleet->start_target (8);
    ASSERT_TRUE (fleet->targets[7]->wait_line ({ "listening" }));
    block_poison ();
  }

  void
  restart_all (const std::string &program)
  {
    for (auto &host : fleet->hosts)
      host->kill ();
    for (int number = 1; number <= hosts; number++)
      {
        fleet->set_program (number, program);
        fleet->start_host (number);
      }
    for (int number = 1; number <= hosts; number++)
      ASSERT_TRUE (fleet->wait_serving (number)) << fleet->logs ();
  }

  /* Stored by hosts of one build, read by those of another. */
  void
  replace_all (const std::string &from, const std::string &to)
  {
    for (int host = 1; host <= hosts; host++)
      options.programs[host] = from;
    start ({});
    Load load (*fleet, callers);
    ASSERT_TRUE (load.wait_for_requests (some));
    int code = -1;
    /* Refused until the service has an owner. */
    EXPECT_TRUE (wait_until ([&] {
      fleet->jaystair (1, { "eject", "target-2" }, &code);
      return code == 0;
    })) << code;
    fleet->jaystair (2, { "drain", "target-3" }, &code);
    EXPECT_EQ (code, 0);
    expect_ejected (2);
    expect_drained (3);
    load.stop ();
    EXPECT_EQ (load.check (), "") << fleet->logs ();
    block_poison ();
    const auto stored = [&] (const std::string &kind) {
      return json_length (
          http_get (fleet->platform_url ("/objects/" + kind)).body, "objects");
    };
    ASSERT_TRUE (wait_until ([&] { return stored ("poison") == 1; }));
    EXPECT_EQ (stored ("ejection"), 1u);
    restart_all (to);
    expect_members ();
    expect_ejected (2);
    expect_drained (3);
    ASSERT_TRUE (logged ("\"poison-blocked\"", 1)) << fleet->logs ();
    expect_blocked ();
  }

  /* A workspace with a quota, used through all hosts by turns. */
  void
  use_quota (const std::set<int> &others)
  {
    constexpr int rate_per_s = 20;
    constexpr int burst = 20;
    options.settings = quoted ("'services': 'registry'");
    for (const int host : others)
      options.programs[host] = other_program;
    options.hosts = hosts;
    options.targets = targets;
    options.times = short_times;
    fleet = std::make_unique<Fleet> (options);
    fleet->start_platform ();
    ASSERT_TRUE (fleet->platform->wait_line ({ "listening" }));
    for (int number = 1; number <= targets; number++)
      {
        fleet->start_target (number);
        const std::string url = fleet->target_url (number, "");
        ASSERT_TRUE (fleet->put_object (
            "target/target-" + std::to_string (number),
            quoted ("{'service':'holds','address':'" + url.substr (7)
                    + "','dc':'north-a','slots':4}")));
      }
    const std::string key = "key-june";
    const digest made = digest_of (key.data (), key.size ());
    char text[DIGEST_TEXT_SIZE];
    digest_format (&made, text);
    ASSERT_TRUE (fleet->put_object (
        "config/main",
        quoted ("{'version':1,'routes':[{'name':'r-1','path_prefix':"
                "'/calendar','parts':[{'service':'holds'}]}],"
                "'services':[{'name':'holds'}],'workspaces':[{'name':'june',"
                "'keys':['"
                + std::string (text)
                + "'],'rate_per_s':" + std::to_string (rate_per_s)
                + ",'burst':" + std::to_string (burst) + "}]}")));
    for (int number = 1; number <= hosts; number++)
      fleet->start_host (number);
    for (int number = 1; number <= hosts; number++)
      ASSERT_TRUE (fleet->wait_serving (number)) << fleet->logs ();
    constexpr double window_s = 12;
    std::map<int, int> served;
    int refused = 0;
    int rest = 0;
    std::mutex mutex;
    std::vector<std::thread> senders;
    const auto start = std::chrono::steady_clock::now ();
    const auto elapsed = [&] {
      return std::chrono::duration<double> (std::chrono::steady_clock::now ()
                                            - start)
          .count ();
    };
    for (int sender = 0; sender < callers; sender++)
      senders.emplace_back ([&, sender] {
        for (int i = 0; elapsed () < window_s; i++)
          {
            const int host = 1 + (sender + i) % hosts;
            const Record record = send_and_classify (
                fleet->caller_url (host, ""),
                "q" + std::to_string (sender) + "-" + std::to_string (i),
                false, { "Authorization: Bearer " + key });
            const std::lock_guard<std::mutex> lock (mutex);
            served[host] += record.outcome == RequestOutcome::ran;
            refused += record.outcome == RequestOutcome::not_run;
            rest += record.outcome != RequestOutcome::ran
                    && record.outcome != RequestOutcome::not_run;
          }
      });
    for (std::thread &sender : senders)
      sender.join ();
    const double elapsed_s = elapsed ();
    const int total = served[1] + served[2] + served[3];
    std::cout << served[1] << "+" << served[2] << "+" << served[3]
              << " served, " << refused << " refused, " << rest << " others\n";
    /* The quota's bound over a window: its share of overshoot and its slack
       are the settings' defaults. */
    EXPECT_LE (total, 1.1 * (rate_per_s * elapsed_s + burst) + 20);
    EXPECT_GE (total, rate_per_s * elapsed_s / 2) << fleet->logs ();
    EXPECT_GT (refused, 0);
    EXPECT_EQ (rest, 0);
    for (int host = 1; host <= hosts; host++)
      EXPECT_GT (served[host], 0) << "host-" << host << fleet->logs ();
  }
};

TEST_F (MixedBuilds, OneOfTheOther)
{
  start ({ 1 });
  run_day ();
}

TEST_F (MixedBuilds, TwoOfTheOther)
{
  start ({ 2, 3 });
  run_day ();
}

TEST_F (MixedBuilds, ThisAfterTheOther)
{
  replace_all (other_program, JAYSTAIRD);
}

TEST_F (MixedBuilds, TheOtherAfterThis)
{
  replace_all (JAYSTAIRD, other_program);
}

TEST_F (MixedBuilds, QuotaWithOneOfTheOther)
{
  use_quota ({ 1 });
}

TEST_F (MixedBuilds, QuotaWithTwoOfTheOther)
{
  use_quota ({ 2, 3 });
}

} // namespace

int
main (int argc, char **argv)
{
  testing::InitGoogleTest (&argc, argv);
  if (argc != 2)
    {
      std::cerr << "usage: mixed_builds OTHER_JAYSTAIRD [options]\n";
      return 2;
    }
  other_program = argv[1];
  return RUN_ALL_TESTS ();
}
