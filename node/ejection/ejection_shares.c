#include "node/ejection/ejection_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  PERMILLE = 1000,
  /* Demand moves faster than shares do; targets shed what is too much. */
  OVERCOMMIT_PERCENT = 25,
  /* A host that wants nothing keeps about a ninth of an equal part, so that
     its next requests needn't wait for a grant. */
  DEMAND_WEIGHT = 8,
  DEMAND_STEPS = 8, /* told exactly below this, then in so many an octave */
};

uint32_t
ejection_shares_demand (const struct ejection_service *service)
{
  const struct ejection_task_options *options = &service->task->options;
  const uint32_t wanted
      = options->demand != NULL
            ? options->demand (options->recorder_owner, service->name)
            : 0;
  if (wanted > UINT32_MAX / 2)
    return UINT32_MAX / 2;
  uint32_t step = 1;
  while (wanted / step > DEMAND_STEPS)
    step *= 2;
  return (wanted + step - 1) / step * step;
}

/* Does POLLER still enforce what it was last told? */
static bool
is_recent (const struct ejection_service *service,
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
        && is_recent (service, &service->pollers[i]))
      return true;
  return false;
}

/* Guards against a new owner, or one cut off from part of the set, that gives
   all slots to the first hosts it hears: the others use them too, by an equal
   division.  Hosts of the set that haven't polled count as average ones. */
static size_t
count_silent (const struct ejection_service *service)
{
  size_t count = 0;
  for (size_t i = 0; i < service->host_count; i++)
    count += (size_t)!has_polled (service, service->hosts[i]);
  return count;
}

/* The demand of all that share the slots, recent pollers first in their
   order; *AT becomes the place of POLLER, the count if it isn't there. */
static size_t
gather (const struct ejection_service *service,
        const struct ejection_poller *poller, uint64_t *demand, size_t *at)
{
  size_t polled = 0;
  uint64_t sum = 0;
  *at = SIZE_MAX;
  for (size_t i = 0; i < service->poller_count; i++)
    {
      if (!is_recent (service, &service->pollers[i]))
        continue;
      if (&service->pollers[i] == poller)
        *at = polled;
      sum += service->pollers[i].demand;
      demand[polled++] = service->pollers[i].demand;
    }
  const uint64_t mean = polled > 0 ? (sum + polled - 1) / polled : 0;
  const size_t count = polled + count_silent (service);
  for (size_t i = polled; i < count; i++)
    demand[i] = mean;
  return count;
}

static void
weigh (uint64_t *demand, size_t count)
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
  const size_t most = service->poller_count + service->host_count;
  uint64_t *demand = xcalloc (most + 1, sizeof *demand);
  uint32_t *shares = xcalloc (most + 1, sizeof *shares);
  size_t at;
  const size_t count = gather (service, poller, demand, &at);
  struct slot_share share = { .permille = 0 };
  weigh (demand, count);
  slot_shares_divide (&options, demand, count, shares);
  for (size_t i = 0; at != SIZE_MAX && i < at; i++)
    share.from_permille += shares[i];
  if (at != SIZE_MAX)
    share.permille = shares[at];
  free (shares);
  free (demand);
  return share;
}

static void
hold (struct ejection_service *service, const struct slot_share *slots)
{
  if (slots->permille == service->share.permille
      && slots->from_permille == service->share.from_permille)
    return;
  service->share = *slots;
  struct bus_message message
      = { .topic = BUS_SLOT_SHARES, .slot_shares = { .share = *slots } };
  memcpy (message.slot_shares.service, service->name, sizeof service->name);
  bus_post (service->task->options.bus, &message);
}

/* The answer to an older poll that comes late tells of a division that is
   over. */
void
ejection_shares_receive (struct ejection_service *service,
                         const struct ejection_notice *news)
{
  const int64_t now_ms = ejection_now_ms (service->task);
  const int64_t until_ms = news->poll_ms + news->enforce_ms;
  if (news->share.permille == 0 || news->poll_ms < service->answered_poll_ms
      || news->poll_ms > now_ms || until_ms <= now_ms)
    return;
  service->answered_poll_ms = news->poll_ms;
  service->share_expires_ms = until_ms;
  hold (service, &news->share);
  ejection_paths_post (service, news->avoided, news->avoid_count);
}

/* Guards against a host that keeps most of the slots while the owner it can't
   hear has long given them to others. */
void
ejection_shares_tick (struct ejection_service *service, int64_t now_ms)
{
  const struct slot_share none = { .permille = 0 };
  if (now_ms < service->share_expires_ms)
    return;
  hold (service, &none);
  ejection_paths_post (service, NULL, 0);
}
