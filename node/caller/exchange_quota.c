#include "node/caller/exchange_quota.h"

#include <utlist.h>

#include "base/clock.h"

enum
{
  TOKEN_POLL_INTERVAL_US = 50 * 1000,
  /** Limits on the wait for a token: absolute, and as a divisor of the time
   * until the deadline. */
  TOKEN_WAIT_MAX_US = 2000 * 1000,
  TOKEN_WAIT_DEADLINE_DIVISOR = 2,
  QUOTA_UNKNOWN_RETRY_AFTER_MS = 250,
};

static void
refuse_over_quota (struct exchange *x)
{
  caller_service_record_refusal (x->service);
  exchange_refuse (
      x, MHD_HTTP_TOO_MANY_REQUESTS, "over-quota",
      quota_client_next_token_ms (x->context->quotas, x->workspace_key),
      "the workspace sends more than its quota: come back after "
      "the time given, or ask for a higher one");
}

/* Used when no quota coordinator can say how much of the quota is used.  No
   request runs then, because the quota could be exceeded. */
static void
refuse_quota_unknown (struct exchange *x)
{
  exchange_refuse (
      x, MHD_HTTP_SERVICE_UNAVAILABLE, "quota-not-known",
      QUOTA_UNKNOWN_RETRY_AFTER_MS,
      "this host can't tell now how much of the workspace's quota "
      "is used: come back after the time given, or ask another "
      "one");
}

/* Limits how long requests are held for a token that doesn't come: the waits
   of one request together are bounded, and no request waits once the
   coordinator has stopped answering. */
static void
wait_for_token (struct exchange *x)
{
  const int64_t now_us = clock_now_us ();
  if (x->token_wait_start_us == 0)
    x->token_wait_start_us = now_us;
  const int64_t total_us = x->deadline_us - x->token_wait_start_us;
  const int64_t wait_max_us
      = total_us / TOKEN_WAIT_DEADLINE_DIVISOR < TOKEN_WAIT_MAX_US
            ? total_us / TOKEN_WAIT_DEADLINE_DIVISOR
            : TOKEN_WAIT_MAX_US;
  const int64_t remaining_us = x->token_wait_start_us + wait_max_us - now_us;
  if (remaining_us <= 0
      || quota_client_max_wait_ms (x->context->quotas, x->workspace_key) == 0)
    {
      quota_client_cancel_wait (x->context->quotas, x->workspace_key);
      refuse_quota_unknown (x);
      return;
    }
  /* Requests the token again from the coordinator after the interval. */
  exchange_wait_for (x, EXCHANGE_WAIT_TOKEN,
                     remaining_us < TOKEN_POLL_INTERVAL_US
                         ? remaining_us
                         : TOKEN_POLL_INTERVAL_US);
}

bool
exchange_quota_check (struct exchange *x)
{
  if (!x->has_quota || x->token_expiry_ms != 0)
    return true;
  const bool is_retry = x->token_wait_start_us != 0;
  switch (quota_client_take (x->context->quotas, x->workspace_key, is_retry,
                             &x->token_expiry_ms))
    {
    case QUOTA_TAKEN:
      return true;
    case QUOTA_WAIT:
      x->token_expiry_ms = 0;
      wait_for_token (x);
      return false;
    case QUOTA_EXHAUSTED:
      break;
    }
  x->token_expiry_ms = 0;
  refuse_over_quota (x);
  return false;
}

void
exchange_quota_refund (struct exchange *x)
{
  if (x->token_expiry_ms == 0)
    return;
  quota_client_return (x->context->quotas, x->workspace_key,
                       x->token_expiry_ms);
  x->token_expiry_ms = 0;
}

void
exchange_quota_resume_all (struct caller_context *context, uint64_t workspace)
{
  struct exchange *x;
  struct exchange *next;
  if (context->awaiting_count == 0)
    return;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    if (x->waits_for == EXCHANGE_WAIT_TOKEN && x->workspace_key == workspace)
      exchange_resume (x);
  }
}
