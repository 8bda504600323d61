#include "node/caller/exchange_poison.h"

#include <stdio.h>

#include <utlist.h>

#include "base/clock.h"
#include "node/caller/exchange.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_fingerprint.h"
#include "node/caller/poison_filter.h"

/* Cheap check before the full fingerprint is computed. */
static bool
may_be_poison (const struct exchange *x)
{
  const struct poison_filter *filter = x->context->poison;
  return !poison_filter_is_empty (filter)
         && poison_filter_has_head (filter, exchange_head_hash (x));
}

static bool
is_blocked (struct exchange *x, const struct fingerprint *fingerprint,
            uint32_t *remaining_ms)
{
  const enum poison_verdict verdict = poison_filter_check (
      x->context->poison, x->service, fingerprint, remaining_ms);
  x->is_trial = verdict == POISON_TRIAL;
  return verdict == POISON_BLOCKED;
}

bool
exchange_poison_may_send (struct exchange *x, uint32_t *remaining_ms)
{
  struct fingerprint fingerprint;
  const bool was_granted = x->is_trial;
  x->is_trial = false;
  if (was_granted || !may_be_poison (x)
      || !exchange_fingerprint (x, &fingerprint))
    return true;
  const bool blocked = is_blocked (x, &fingerprint, remaining_ms);
  x->is_trial = false;
  return !blocked;
}

void
exchange_poison_refuse (struct exchange *x, uint32_t remaining_ms)
{
  const bool unknown = run_record_may_have_run (&x->run_record);
  struct local_response response
      = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
          .reason = "poison-request",
          .retry_after_ms = unknown ? 0 : remaining_ms };
  snprintf (response.message, sizeof response.message, "%s",
            unknown ? "targets crashed while they ran this request: find out "
                      "whether it has run, and don't send it again unchanged"
                    : "targets crashed while they ran this request: change "
                      "it, or come back after the time given");
  exchange_respond_locally (x, &response);
}

bool
exchange_poison_check (struct exchange *x)
{
  struct fingerprint fingerprint;
  uint32_t remaining_ms = 0;
  if (x->is_trial || !may_be_poison (x))
    return true;
  if (!exchange_fingerprint (x, &fingerprint))
    {
      const int64_t remaining_us = x->deadline_us - clock_now_us ();
      if (remaining_us > 0)
        exchange_wait_for (x, EXCHANGE_WAIT_BODY, remaining_us);
      else
        exchange_refuse_late_body (x);
      return false;
    }
  if (!is_blocked (x, &fingerprint, &remaining_ms))
    return true;
  exchange_poison_refuse (x, remaining_ms);
  return false;
}

bool
exchange_poison_is_ready (const struct exchange *x)
{
  struct fingerprint fingerprint;
  return x->waits_for == EXCHANGE_WAIT_BODY
         && exchange_fingerprint (x, &fingerprint);
}

void
exchange_poison_clear (const struct exchange *x)
{
  struct fingerprint fingerprint;
  if (may_be_poison (x) && exchange_fingerprint (x, &fingerprint))
    poison_filter_clear (x->context->poison, x->service->name, &fingerprint);
}

/* X was sent to a target that has not started to respond. */
static bool
is_unanswered (const struct exchange *x)
{
  return x->state == EXCHANGE_SENT && x->attempt.call != NULL
         && !x->attempt.is_relay && !x->attempt.head_received;
}

void
exchange_poison_cancel_all (struct caller_context *context,
                            const struct fingerprint *fingerprint,
                            uint32_t remaining_ms)
{
  struct exchange *x;
  struct exchange *next;
  struct fingerprint candidate;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    if (x->service == NULL || !is_unanswered (x)
        || exchange_head_hash (x) != fingerprint->head_hash
        || !exchange_fingerprint (x, &candidate)
        || !fingerprint_equal (&candidate, fingerprint))
      continue;
    exchange_cancel_attempt (x, ATTEMPT_CANCELLED);
    exchange_poison_refuse (x, remaining_ms);
  }
}
