#include "node/caller/outcome_report.h"

#include "base/clock.h"
#include "node/caller/caller_share.h"

enum
{
  /* A good answer of a target that was doubted is news; of another one it is
     told now and then, since a success says less with every second. */
  DOUBT_PERMILLE = 100,
  TELL_GOOD_US = 500000,
  TELL_UNSENT_US = 1000000,
};

/* The others cover for this host where it is the one that sees to a target. */
static bool
is_unsent_news (struct caller_service *service, uint32_t number,
                int64_t now_us)
{
  struct caller_target *target = &service->targets[number];
  if (!service->in_set
      || caller_share_is_backup (service, &service->spec->targets[number])
      || now_us - target->unsent_reported_us < TELL_UNSENT_US)
    return false;
  target->unsent_reported_us = now_us;
  return true;
}

bool
outcome_report_is_due (struct caller_service *service, uint64_t key,
                       enum attempt_end end)
{
  const uint32_t number = caller_service_find_target (service, key);
  if (number == POLICY_NO_TARGET || end == ATTEMPT_CANCELLED
      || end == ATTEMPT_SHED)
    return false;
  struct caller_target *target = &service->targets[number];
  const int64_t now_us = clock_now_us ();
  if (end == ATTEMPT_NOT_SENT)
    return is_unsent_news (service, number, now_us);
  const struct policy_target_status belief
      = service_policy_target_status (service->policy, number);
  const bool is_expected = end == ATTEMPT_ANSWERED
                           && belief.failure_permille < DOUBT_PERMILLE
                           && now_us - target->reported_us < TELL_GOOD_US;
  if (!is_expected)
    target->reported_us = now_us;
  return !is_expected;
}
