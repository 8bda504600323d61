#include "node/caller/outcome_report.h"

#include "base/clock.h"
#include "node/caller/caller_share.h"

enum
{
  /* A success of a target whose estimated failure rate is at least this is
     always reported.  Other successes are reported at an interval, since the
     weight of a success as evidence falls with its age. */
  SUSPECT_FAILURE_PERMILLE = 100,
  SUCCESS_REPORT_INTERVAL_US = 500000,
  UNSENT_REPORT_INTERVAL_US = 1000000,
};

/* Only the host whose subset holds a target reports that it can't reach it,
   since the other hosts then send to the target in its place. */
static bool
is_unsent_report_due (struct caller_service *service, uint32_t index,
                      int64_t now_us)
{
  struct caller_target *target = &service->targets[index];
  if (!service->in_set
      || caller_share_is_backup (service, &service->spec->targets[index])
      || now_us - target->unsent_reported_us < UNSENT_REPORT_INTERVAL_US)
    return false;
  target->unsent_reported_us = now_us;
  return true;
}

bool
outcome_report_is_due (struct caller_service *service, uint64_t key,
                       enum attempt_end end)
{
  const uint32_t index = caller_service_find_target (service, key);
  if (index == POLICY_NO_TARGET || end == ATTEMPT_CANCELLED
      || end == ATTEMPT_SHED)
    return false;
  struct caller_target *target = &service->targets[index];
  const int64_t now_us = clock_now_us ();
  if (end == ATTEMPT_NOT_SENT)
    return is_unsent_report_due (service, index, now_us);
  const struct policy_target_status status
      = service_policy_target_status (service->policy, index);
  const bool is_expected
      = end == ATTEMPT_ANSWERED
        && status.failure_permille < SUSPECT_FAILURE_PERMILLE
        && now_us - target->reported_us < SUCCESS_REPORT_INTERVAL_US;
  if (!is_expected)
    target->reported_us = now_us;
  return !is_expected;
}
