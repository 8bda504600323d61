#include "node/caller/exchange_quota.h"

#include <utlist.h>

#include "base/clock.h"

enum
{
  ASK_AGAIN_US = 50 * 1000,
  /** Most time that is waited for a token, and most of what the request has.
   */
  HOLD_MOST_US = 2000 * 1000,
  HOLD_PARTS = 2,
  NO_ANSWER_RETRY_AFTER_MS = 250,
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

/* Guards against a quota that is passed while nobody can tell how much of it
   is used: none runs then. */
static void
refuse_unknown (struct exchange *x)
{
  exchange_refuse (
      x, MHD_HTTP_SERVICE_UNAVAILABLE, "quota-not-known",
      NO_ANSWER_RETRY_AFTER_MS,
      "this host can't tell now how much of the workspace's quota "
      "is used: come back after the time given, or ask another "
      "one");
}

/* Guards against requests that are held for a token that doesn't come: all
   together no longer than a moment, and none once nobody answers. */
static void
await_token (struct exchange *x)
{
  const int64_t now_us = clock_now_us ();
  if (x->token_wait_start_us == 0)
    x->token_wait_start_us = now_us;
  const int64_t time_us = x->deadline_us - x->token_wait_start_us;
  const int64_t most_us = time_us / HOLD_PARTS < HOLD_MOST_US
                              ? time_us / HOLD_PARTS
                              : HOLD_MOST_US;
  const int64_t left_us = x->token_wait_start_us + most_us - now_us;
  if (left_us <= 0
      || quota_client_max_wait_ms (x->context->quotas, x->workspace_key) == 0)
    {
      quota_client_cancel_wait (x->context->quotas, x->workspace_key);
      refuse_unknown (x);
      return;
    }
  /* Now and then the keeper has to be asked again. */
  exchange_wait_for (x, EXCHANGE_WAIT_TOKEN,
                     left_us < ASK_AGAIN_US ? left_us : ASK_AGAIN_US);
}

bool
exchange_quota_check (struct exchange *x)
{
  if (!x->has_quota || x->token_expiry_ms != 0)
    return true;
  const bool again = x->token_wait_start_us != 0;
  switch (quota_client_take (x->context->quotas, x->workspace_key, again,
                             &x->token_expiry_ms))
    {
    case QUOTA_TAKEN:
      return true;
    case QUOTA_WAIT:
      x->token_expiry_ms = 0;
      await_token (x);
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
