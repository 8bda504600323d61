#include "node/caller/retry_loans.h"

#include <stdio.h>

#include "base/clock.h"

enum
{
  /** As much as the bucket of a host outside the set holds. */
  RETRIES_WANTED = 1,
  /** Minimum interval of requests.  It is long compared with the way to
   * another host and back, and short compared with a request's deadline. */
  REQUEST_INTERVAL_US = 100000,
};

static void
post (const struct caller_context *context, enum bus_topic topic,
      const char *service, uint64_t host, uint32_t count)
{
  struct bus_message message
      = { .topic = topic, .retries = { .host = host, .count = count } };
  snprintf (message.retries.service, sizeof message.retries.service, "%s",
            service);
  bus_post (context->bus, &message);
}

void
retry_loans_request (const struct caller_context *context,
                     struct caller_service *service)
{
  const int64_t now_us = clock_now_us ();
  if (service->in_set || service->host_count == 0
      || now_us - service->retries_requested_us < REQUEST_INTERVAL_US
      || !service_policy_lacks_retry (service->policy, now_us))
    return;
  service->retries_requested_us = now_us;
  service->retries_requested = RETRIES_WANTED;
  post (context, BUS_RETRIES_WANTED, service->name, 0, RETRIES_WANTED);
}

void
retry_loans_lend (const struct caller_context *context,
                  const struct bus_retries *requested)
{
  const struct caller_service *service
      = caller_context_service (context, requested->service);
  if (service == NULL || !service->in_set)
    return;
  const uint32_t wanted
      = requested->count < RETRIES_WANTED ? requested->count : RETRIES_WANTED;
  const uint32_t lent
      = service_policy_lend_retries (service->policy, clock_now_us (), wanted);
  if (lent > 0)
    post (context, BUS_RETRIES_LENT, service->name, requested->host, lent);
}

/* Accepts no more than was requested: a second answer would give this host
   retries that nobody lacks. */
void
retry_loans_receive (const struct caller_context *context,
                     const struct bus_retries *lent)
{
  struct caller_service *service
      = caller_context_service (context, lent->service);
  if (service == NULL)
    return;
  const uint32_t count = lent->count < service->retries_requested
                             ? lent->count
                             : service->retries_requested;
  service->retries_requested -= count;
  service_policy_add_lent_retries (service->policy, clock_now_us (), count);
}
