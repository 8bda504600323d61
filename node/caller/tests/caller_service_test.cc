#include <gtest/gtest.h>

extern "C"
{
#include "base/clock.h"
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

/* A target fails, announces that it is leaving, and restarts under the same
 * name.  The new process must get work like any new target, without the state
 * of the former one. */
TEST_F (CallerService, StateOfAFormerProcessDoesNotApplyToTheNewOne)
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
  const policy_target_status status
      = service_policy_target_status (service->policy, 0);
  EXPECT_FALSE (status.suspect);
  EXPECT_TRUE (status.warming);
  EXPECT_EQ (status.requests, 0u);
  /* An outcome of the former process doesn't count for the new one. */
  caller_service_record_outcome (service, former, ATTEMPT_CUT, 1000, false);
  EXPECT_EQ (service_policy_target_status (service->policy, 0).failures, 0u);
}

/* Everything else that is known of a target: the limit and the idle time that
 * it announced, its rest, its leaving for good, attempts in flight, and what
 * other hosts report.  None may hold for another process, whether it is
 * learned before the restart or, from the former process, after it. */
TEST_F (CallerService, NothingOfAFormerProcessAppliesToTheNewOne)
{
  const uint64_t former = service->targets[0].key;
  const auto observe_former = [&] {
    caller_service_set_idle_timeout (service, former, 500);
    caller_service_set_rest (service, former, 3600 * 1000);
    caller_service_set_left (service, former);
    for (int i = 0; i < 5; i++)
      caller_service_record_remote_outcome (service, former, ATTEMPT_CUT);
  };
  limit_state_note_answer (&service->targets[0].limit, 1, 1);
  caller_service_apply_limits (service);
  EXPECT_TRUE (service_policy_acquire (service->policy, 0, 1));
  service->targets[0].ejected = service->targets[0].avoided = true;
  service->targets[0].reported_us = service->targets[0].unsent_reported_us = 1;
  observe_former ();
  EXPECT_TRUE (service->targets[0].leaving);
  EXPECT_TRUE (service_policy_target_status (service->policy, 0).suspect);
  targets[0].started_ms = 9000;
  targets[0].warm_up_ms = 0;
  caller_service_set_spec (service, &spec);
  for (const bool is_late : { false, true })
    {
      if (is_late)
        observe_former ();
      const caller_target *target = &service->targets[0];
      EXPECT_FALSE (target->leaving || target->ejected || target->avoided);
      EXPECT_EQ (target->idle_timeout_ms, 0U);
      EXPECT_EQ (target->limit.rate_millis, 0U);
      EXPECT_EQ (target->limit.sent_us, 0);
      EXPECT_EQ (target->reported_us + target->unsent_reported_us, 0);
      const policy_target_status status
          = service_policy_target_status (service->policy, 0);
      EXPECT_FALSE (status.suspect || status.ejected || status.warming);
      EXPECT_LE (
          status.failure_permille,
          service_policy_target_status (service->policy, 1).failure_permille);
      EXPECT_EQ (status.in_flight + status.requests + status.failures, 0U);
    }
  /* The target beside it keeps its state. */
  EXPECT_EQ (service_policy_target_status (service->policy, 1).in_flight, 1U);
  /* Neither rest nor limit nor leaving keeps requests from it. */
  EXPECT_TRUE (service_policy_acquire (service->policy, clock_now_us (), 0));
  EXPECT_TRUE (service_policy_acquire (service->policy, clock_now_us (), 0));
  /* Attempts of the former process that end late free no slot of it. */
  caller_service_record_outcome (service, former, ATTEMPT_ANSWERED, 1, true);
  EXPECT_EQ (service_policy_target_status (service->policy, 0).in_flight, 2U);
  EXPECT_FALSE (service_policy_acquire (service->policy, clock_now_us (), 0));
}

/* A change of settings without a restart keeps the state of the target. */
TEST_F (CallerService, OtherChangesKeepTheStateOfATarget)
{
  caller_service_record_outcome (service, service->targets[0].key, ATTEMPT_CUT,
                                 1000, false);
  targets[0].slots = 4;
  caller_service_set_spec (service, &spec);
  EXPECT_EQ (service_policy_target_status (service->policy, 0).failures, 1u);
}

/* A host that can't reach half of all targets must report this only for the
 * targets of its own subset, and not for each request.  Otherwise the other
 * hosts would send to targets that the host whose subset holds them can
 * reach. */
TEST_F (CallerService, UnsentAttemptsAreReportedForTheOwnSubsetOnly)
{
  EXPECT_FALSE (outcome_report_is_due (service, service->targets[0].key,
                                       ATTEMPT_NOT_SENT));
  bus_host_entry hosts[3] = {};
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
