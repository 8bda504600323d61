#include "node/caller/retry_transfer.h"

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
retry_transfer_request (const struct caller_context *context,
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
retry_transfer_send (const struct caller_context *context,
                     const struct bus_retries *requested)
{
  const struct caller_service *service
      = caller_context_service (context, requested->service);
  if (service == NULL || !service->in_set)
    return;
  const uint32_t wanted
      = requested->count < RETRIES_WANTED ? requested->count : RETRIES_WANTED;
  const uint32_t sent = service_policy_withdraw_retries (
      service->policy, clock_now_us (), wanted);
  if (sent > 0)
    post (context, BUS_RETRIES_TRANSFERRED, service->name, requested->host,
          sent);
}

/* Accepts no more than was requested: a second answer would give this host
   retries that nobody lacks. */
void
retry_transfer_receive (const struct caller_context *context,
                        const struct bus_retries *received)
{
  struct caller_service *service
      = caller_context_service (context, received->service);
  if (service == NULL)
    return;
  const uint32_t count = received->count < service->retries_requested
                             ? received->count
                             : service->retries_requested;
  service->retries_requested -= count;
  service_policy_deposit_retries (service->policy, clock_now_us (), count);
}
