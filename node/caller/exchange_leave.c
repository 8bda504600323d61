#include "node/caller/exchange_leave.h"

#include "base/clock.h"

enum
{
  US_PER_MS = 1000,
  /* Other hosts can serve at once; the delay allows for an address query. */
  RETRY_AFTER_MS = 50,
};

void
exchange_leave_refuse (struct exchange *x)
{
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, "host-leaves",
                   RETRY_AFTER_MS,
                   "this host is leaving: ask for other addresses");
}

static bool
is_too_late (const struct exchange *x, int64_t now_ms)
{
  const struct leave_times *times = &x->context->leave_times;
  const bool ends_in_time = x->deadline_us <= times->give_up_ms * US_PER_MS;
  return now_ms >= times->refuse_from_ms
         || (now_ms >= times->refuse_long_from_ms && !ends_in_time);
}

static bool
is_upload_awaited (const struct exchange *x)
{
  const bool fits
      = x->head.body == REQUEST_BODY_SIZED
            ? x->head.body_bytes <= (int64_t)x->upload.capacity_bytes
            : stream_buffer_free_bytes (&x->upload) > 0;
  return x->head.body != REQUEST_BODY_NONE && !x->upload.is_complete && fits;
}

bool
exchange_leave_check (struct exchange *x)
{
  const struct caller_context *context = x->context;
  const int64_t now_ms = clock_now_ms ();
  if (!context->leaving || run_record_may_have_run (&x->run_record))
    return true;
  if (is_too_late (x, now_ms))
    {
      exchange_leave_refuse (x);
      return false;
    }
  if (!is_upload_awaited (x))
    return true;
  if (x->deadline_us <= clock_now_us ())
    {
      exchange_refuse_late_body (x);
      return false;
    }
  const int64_t next_ms = now_ms < context->leave_times.refuse_long_from_ms
                              ? context->leave_times.refuse_long_from_ms
                              : context->leave_times.refuse_from_ms;
  exchange_wait_for (x, EXCHANGE_WAIT_UPLOAD, (next_ms - now_ms) * US_PER_MS);
  return false;
}

bool
exchange_leave_is_ready (const struct exchange *x)
{
  return x->waits_for == EXCHANGE_WAIT_UPLOAD && !is_upload_awaited (x);
}

bool
exchange_leave_is_too_long (const struct exchange *x, uint32_t expected_us)
{
  const struct caller_context *context = x->context;
  return context->leaving && !run_record_may_have_run (&x->run_record)
         && clock_now_us () + expected_us
                > context->leave_times.give_up_ms * US_PER_MS;
}

void
exchange_leave_refuse_waiting (struct exchange *x)
{
  if (x->state == EXCHANGE_WAITING && x->attempt.call == NULL
      && !run_record_may_have_run (&x->run_record)
      && is_too_late (x, clock_now_ms ()))
    exchange_leave_refuse (x);
}

bool
exchange_leave_was_sent_late (const struct exchange *x)
{
  return !x->upload_complete
         || x->upload_end_ms >= x->context->leave_times.refuse_long_from_ms;
}
