#define LOG_MODULE "caller"

#include "node/caller/exchange_forward.h"

#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/exchange_quota.h"
#include "node/caller/exchange_send.h"
#include "node/caller/reach_check.h"

enum
{
  /* Most of the hosts may be cut as well. */
  FORWARDS_MAX = 16
};

const char exchange_forward_unreached_field[] = "Jaystair-Targets-Unreached";

static bool
is_candidate (const void *owner, const struct bus_host_entry *host)
{
  const struct exchange *x = owner;
  return host->caller_address[0] != '\0'
         && strcmp (host->name, x->context->settings->name) != 0
         && !avoided_hosts_has (&x->context->avoided_hosts, host->name,
                                clock_now_ms ());
}

static const struct bus_host_entry *
choose_of_set (const struct exchange *x)
{
  const struct bus_host_entry *best = NULL;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < x->service->host_count; i++)
    {
      const struct bus_host_entry *host = &x->service->hosts[i];
      const uint64_t rank = hash_pair (x->id, hash_string (host->name));
      if ((best != NULL && rank <= best_rank) || !is_candidate (x, host))
        continue;
      best = host;
      best_rank = rank;
    }
  return best;
}

static const struct bus_host_entry *
choose_host (const struct exchange *x)
{
  const struct host_directory_choice choice = { .key = x->id,
                                                .attempt = x->forward_count,
                                                .is_candidate = is_candidate,
                                                .owner = x };
  const struct bus_host_entry *host = choose_of_set (x);
  return host != NULL
             ? host
             : host_directory_choose (x->context->host_directory, &choice);
}

/* A quota's token was taken for an attempt that may have run; the other host
   would take one more. */
static bool
is_counted_twice (const struct exchange *x)
{
  return x->has_quota && x->attempt_count > x->unsent_count;
}

/* An attempt whose first byte wasn't sent yet is given up first, so only the
   ones before it count. */
static bool
may_have_run (const struct exchange *x)
{
  const struct target_call *call = x->attempt.call;
  return call != NULL && !target_call_may_have_sent (call)
             ? run_record_may_have_run_before (&x->run_record)
             : run_record_may_have_run (&x->run_record);
}

static bool
may_forward (const struct exchange *x)
{
  return reach_check_is_cut (x->context->reach_check) && !x->head.is_forwarded
         && !x->head.relayed && !exchange_indirect_is_requested (x)
         && !x->upload.start_discarded && !is_counted_twice (x)
         && (x->repeatable || !may_have_run (x))
         && x->forward_count < FORWARDS_MAX;
}

bool
exchange_forward (struct exchange *x)
{
  if (!may_forward (x))
    return false;
  const struct bus_host_entry *host = choose_host (x);
  if (host == NULL)
    return false;
  exchange_quota_refund (x);
  caller_service_cancel_wait (x->service, &x->waiter);
  x->forward_count++;
  exchange_send_whole (x, host);
  return true;
}

bool
exchange_forward_is_useless (const struct exchange *x)
{
  return (x->head.is_forwarded || exchange_indirect_is_requested (x))
         && reach_check_is_cut (x->context->reach_check);
}

bool
exchange_forward_was_refused (const struct exchange *x)
{
  return x->attempt.is_forwarded
         && x->attempt.status == MHD_HTTP_SERVICE_UNAVAILABLE
         && header_list_find (&x->attempt.headers,
                              exchange_forward_unreached_field)
                != NULL;
}

void
exchange_forward_avoid_host (struct exchange *x)
{
  avoided_hosts_add (&x->context->avoided_hosts, x->attempt.target,
                     clock_now_ms ());
}

/* Whether the attempt of X in flight is given up for one through another host.
 */
static bool
gives_up_attempt (const struct exchange *x, bool sent)
{
  const struct exchange_attempt *attempt = &x->attempt;
  if (x->state != EXCHANGE_SENT || attempt->call == NULL || attempt->is_relay
      || attempt->head_received)
    return false;
  return !target_call_may_have_sent (attempt->call) || (sent && x->repeatable);
}

static bool
waits_for_target (const struct exchange *x)
{
  return x->state == EXCHANGE_WAITING && x->waits_for == EXCHANGE_WAIT_NONE
         && x->service != NULL && x->waiter.waiting;
}

void
exchange_forward_all (struct caller_context *context, bool sent)
{
  struct exchange *x;
  struct exchange *next;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    if (!may_forward (x))
      continue;
    if (gives_up_attempt (x, sent))
      {
        exchange_cancel_attempt (x, target_call_may_have_sent (x->attempt.call)
                                        ? ATTEMPT_TIMED_OUT
                                        : ATTEMPT_NOT_SENT);
        exchange_check_and_admit (x);
      }
    else if (waits_for_target (x))
      exchange_forward (x);
  }
}
