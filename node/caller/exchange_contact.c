#define LOG_MODULE "caller"

#include "node/caller/exchange_contact.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  US_PER_MS = 1000,
  /** Share of the time in which a change must be in force.  The rest is for
   * the way of the request, and for what the settings take to this task. */
  OLD_PERCENT = 80,
  /** An answer of another host or of the platform takes a few milliseconds if
   * there is one.  Then the settings in force are the best there are. */
  WAIT_MAX_MS = 250,
};

static bool
is_old (const struct caller_context *context, int64_t now_ms)
{
  const int64_t apply_ms = context->settings->times.config_apply_ms;
  return context->contact_ms > 0
         && (now_ms - context->contact_ms) * 100 > apply_ms * OLD_PERCENT;
}

static void
begin_wait (struct caller_context *context, int64_t now_ms)
{
  static const struct bus_message message = { .topic = BUS_CONTACT_REQUESTED };
  context->contact_wait_end_us = (now_ms + WAIT_MAX_MS) * US_PER_MS;
  bus_post (context->bus, &message);
  LOG_WARN ("settings-old",
            LOG_INT ("contact_age_ms", now_ms - context->contact_ms),
            LOG_STR ("effect", "requests wait for newer ones"));
}

bool
exchange_contact_check (struct exchange *x)
{
  struct caller_context *context = x->context;
  const int64_t now_ms = clock_now_ms ();
  if (!is_old (context, now_ms))
    return true;
  if (context->contact_wait_end_us == 0)
    begin_wait (context, now_ms);
  const int64_t remaining_us
      = context->contact_wait_end_us - now_ms * US_PER_MS;
  if (remaining_us <= 0)
    return true;
  exchange_wait_for (x, EXCHANGE_WAIT_CONTACT, remaining_us);
  return false;
}

void
exchange_contact_receive (struct caller_context *context, int64_t at_ms)
{
  const int64_t now_ms = clock_now_ms ();
  if (at_ms > context->contact_ms)
    context->contact_ms = at_ms;
  if (context->contact_wait_end_us == 0 || is_old (context, now_ms))
    return;
  context->contact_wait_end_us = 0;
  LOG_INFO ("settings-confirmed",
            LOG_INT ("contact_age_ms", now_ms - context->contact_ms));
  exchange_resume_all (context, EXCHANGE_WAIT_CONTACT);
}
