#include <gtest/gtest.h>

extern "C"
{
#include "node/caller/outcome_report.h"
#include "node/caller/caller_service.h"
#include "node/caller/caller_share.h"
}

namespace
{

class CallerService : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  host_settings settings = {};
  caller_service *service
      = caller_service_create (loop, "holds", "dc-a", &settings, 1);
  target_spec targets[2] = {};
  service_spec spec = {};

  void
  SetUp () override
  {
    service_spec_defaults (&spec);
    strcpy (spec.name, "holds");
    for (int i = 0; i < 2; i++)
      {
        snprintf (targets[i].name, sizeof targets[i].name, "t-%d", i + 1);
        strcpy (targets[i].address, "10.0.0.1:80");
        strcpy (targets[i].dc, "dc-a");
        targets[i].slots = targets[i].capacity = 2;
        targets[i].connections = 10;
        targets[i].started_ms = 5000;
      }
    spec.targets = targets;
    spec.target_count = 2;
    caller_service_set_spec (service, &spec);
  }
  void
  TearDown () override
  {
    caller_service_remove (service);
    ev_loop_destroy (loop);
  }
};

/* A target fails, says that it leaves, ends and starts again under its name.
 * The new process has done nothing of that: it must get work like any other
 * that is new. */
TEST_F (CallerService, NothingOfAFormerProcessHoldsForTheNewOne)
{
  const uint64_t former = service->targets[0].key;
  for (int i = 0; i < 3; i++)
    caller_service_record_outcome (service, former, ATTEMPT_CUT, 1000, false);
  caller_service_set_leaving (service, former, true);
  EXPECT_TRUE (service_policy_target_status (service->policy, 0).suspect);
  targets[0].started_ms = 9000;
  targets[0].warm_up_ms = 3000;
  caller_service_set_spec (service, &spec);
  EXPECT_NE (service->targets[0].key, former);
  EXPECT_FALSE (service->targets[0].leaving);
  const policy_target_status belief
      = service_policy_target_status (service->policy, 0);
  EXPECT_FALSE (belief.suspect);
  EXPECT_TRUE (belief.warming);
  EXPECT_EQ (belief.requests, 0u);
  /* What the former one still ends says nothing of it. */
  caller_service_record_outcome (service, former, ATTEMPT_CUT, 1000, false);
  EXPECT_EQ (service_policy_target_status (service->policy, 0).failures, 0u);
}

/* Any other change leaves what is known. */
TEST_F (CallerService, TheSameProcessKeepsWhatIsKnown)
{
  caller_service_record_outcome (service, service->targets[0].key, ATTEMPT_CUT,
                                 1000, false);
  targets[0].slots = 4;
  caller_service_set_spec (service, &spec);
  EXPECT_EQ (service_policy_target_status (service->policy, 0).failures, 1u);
}

/* The way from a host to half of all targets is cut, and it tells so of each.
 * The others would visit targets that the host which sees to them reaches
 * well; so it tells of its own subset only, and not with each request. */
TEST_F (CallerService, WhatCouldNotBeSentIsNewsOfTheOwnSubset)
{
  EXPECT_FALSE (outcome_report_is_due (service, service->targets[0].key,
                                       ATTEMPT_NOT_SENT));
  bus_set_host hosts[3] = {};
  strcpy (hosts[1].name, "host-2");
  strcpy (hosts[2].name, "host-3");
  bus_host_set set = {};
  set.self = true;
  set.hosts = hosts;
  set.count = set.fleet_count = 3;
  caller_service_set_hosts (service, &set);
  for (int i = 0; i < 2; i++)
    {
      const uint64_t key = service->targets[i].key;
      const bool is_own = !caller_share_is_backup (service, &targets[i]);
      EXPECT_EQ (outcome_report_is_due (service, key, ATTEMPT_NOT_SENT),
                 is_own);
      EXPECT_FALSE (outcome_report_is_due (service, key, ATTEMPT_NOT_SENT));
    }
}

} // namespace
