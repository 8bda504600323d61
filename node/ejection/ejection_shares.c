#include "node/ejection/ejection_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  PERMILLE = 1000,
  /* Demand changes faster than the shares; targets shed the excess. */
  OVERCOMMIT_PERCENT = 25,
  /* A host without demand keeps about a ninth of an equal share, so that its
     next requests needn't wait for a grant. */
  DEMAND_WEIGHT = 8,
  /* Demand is exact up to this.  Above, it is rounded up to a multiple of the
     smallest power of two that it contains at most this many times. */
  DEMAND_STEPS = 8,
};

uint32_t
ejection_shares_demand (const struct ejection_service *service)
{
  const struct ejection_task_options *options = &service->task->options;
  const uint32_t demand
      = options->demand != NULL
            ? options->demand (options->recorder_owner, service->name)
            : 0;
  if (demand > UINT32_MAX / 2)
    return UINT32_MAX / 2;
  uint32_t step = 1;
  while (demand / step > DEMAND_STEPS)
    step *= 2;
  return (demand + step - 1) / step * step;
}

/* Whether the last decision sent to POLLER may still be in force there. */
static bool
is_enforcing (const struct ejection_service *service,
              const struct ejection_poller *poller)
{
  const uint32_t enforce_ms
      = service->task->options.settings->times.enforce_ms;
  return ejection_now_ms (service->task) - poller->received_ms
         < (int64_t)enforce_ms;
}

static bool
has_polled (const struct ejection_service *service, const char *host)
{
  for (size_t i = 0; i < service->poller_count; i++)
    if (strcmp (service->pollers[i].host, host) == 0
        && is_enforcing (service, &service->pollers[i]))
      return true;
  return false;
}

/* The number of hosts of the set that haven't polled recently.  They use slots
   too, by an equal division.  If they weren't counted, as hosts of average
   demand, a new owner, or one partitioned from a part of the set, would grant
   all slots to the first hosts that poll it. */
static size_t
count_not_polled (const struct ejection_service *service)
{
  size_t count = 0;
  for (size_t i = 0; i < service->host_count; i++)
    count += (size_t)!has_polled (service, service->hosts[i]);
  return count;
}

/* Collect the demand of all hosts that share the slots, that of recent pollers
   first.  *INDEX is the index of POLLER, SIZE_MAX if it isn't a recent one.
   @return the number of hosts */
static size_t
collect_demand (const struct ejection_service *service,
                const struct ejection_poller *poller, uint64_t *demand,
                size_t *index)
{
  size_t polled = 0;
  uint64_t sum = 0;
  *index = SIZE_MAX;
  for (size_t i = 0; i < service->poller_count; i++)
    {
      if (!is_enforcing (service, &service->pollers[i]))
        continue;
      if (&service->pollers[i] == poller)
        *index = polled;
      sum += service->pollers[i].demand;
      demand[polled++] = service->pollers[i].demand;
    }
  const uint64_t mean = polled > 0 ? (sum + polled - 1) / polled : 0;
  const size_t count = polled + count_not_polled (service);
  for (size_t i = polled; i < count; i++)
    demand[i] = mean;
  return count;
}

/* Replace each demand by the weight of the host: the mean demand plus
   DEMAND_WEIGHT times its own, both multiplied by COUNT; never 0. */
static void
apply_weights (uint64_t *demand, size_t count)
{
  uint64_t sum = 1;
  for (size_t i = 0; i < count; i++)
    sum += demand[i];
  for (size_t i = 0; i < count; i++)
    demand[i] = sum + DEMAND_WEIGHT * count * demand[i];
}

struct slot_share
ejection_shares_grant (const struct ejection_service *service,
                       const struct ejection_poller *poller)
{
  const struct slot_shares_options options
      = { .total = PERMILLE, .overcommit_percent = OVERCOMMIT_PERCENT };
  const size_t capacity = service->poller_count + service->host_count;
  uint64_t *demand = xcalloc (capacity + 1, sizeof *demand);
  uint32_t *shares = xcalloc (capacity + 1, sizeof *shares);
  size_t index;
  const size_t count = collect_demand (service, poller, demand, &index);
  struct slot_share share = { .permille = 0 };
  apply_weights (demand, count);
  slot_shares_divide (&options, demand, count, shares);
  for (size_t i = 0; index != SIZE_MAX && i < index; i++)
    share.from_permille += shares[i];
  if (index != SIZE_MAX)
    share.permille = shares[index];
  free (shares);
  free (demand);
  return share;
}

static void
set_share (struct ejection_service *service, const struct slot_share *share)
{
  if (share->permille == service->share.permille
      && share->from_permille == service->share.from_permille)
    return;
  service->share = *share;
  struct bus_message message
      = { .topic = BUS_SLOT_SHARES, .slot_shares = { .share = *share } };
  memcpy (message.slot_shares.service, service->name, sizeof service->name);
  bus_post (service->task->options.bus, &message);
}

/* A late answer to an older poll has an outdated division, and is ignored. */
void
ejection_shares_receive (struct ejection_service *service,
                         const struct ejection_notice *notice)
{
  const int64_t now_ms = ejection_now_ms (service->task);
  const int64_t expires_ms = notice->poll_ms + notice->enforce_ms;
  if (notice->share.permille == 0
      || notice->poll_ms < service->answered_poll_ms
      || notice->poll_ms > now_ms || expires_ms <= now_ms)
    return;
  service->answered_poll_ms = notice->poll_ms;
  service->share_expires_ms = expires_ms;
  set_share (service, &notice->share);
  ejection_paths_post (service, notice->avoided, notice->avoided_count);
}

/* A host that no longer receives from the owner must not keep its slots, since
   the owner grants them to other hosts after the enforcement time. */
void
ejection_shares_tick (struct ejection_service *service, int64_t now_ms)
{
  const struct slot_share none = { .permille = 0 };
  if (now_ms < service->share_expires_ms)
    return;
  set_share (service, &none);
  ejection_paths_post (service, NULL, 0);
}
