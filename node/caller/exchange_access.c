#include "node/caller/exchange_access.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

enum
{
  /** Relays and platform are asked again in less. */
  STALE_RETRY_AFTER_MS = 500,
  PROOF_WAIT_US = 250 * 1000,
};

static const char *
key_remedy (enum request_key_state state)
{
  switch (state)
    {
    case REQUEST_KEY_NONE:
      return "this route needs a key: send \"Authorization: Bearer KEY\"";
    case REQUEST_KEY_MALFORMED:
      return "Authorization can't be read: send it once, as \"Bearer KEY\"";
    case REQUEST_KEY_GIVEN:
      break;
    }
  return "the key isn't known: ask the workspace's owner for one in force";
}

static const char *
key_reason (enum request_key_state state)
{
  static const char *const reasons[]
      = { [REQUEST_KEY_NONE] = "no-key",
          [REQUEST_KEY_MALFORMED] = "malformed-key",
          [REQUEST_KEY_GIVEN] = "unknown-key" };
  return reasons[state];
}

static void
refuse_key (struct exchange *x)
{
  const enum request_key_state state = x->head.key.state;
  struct local_response own = { .status = MHD_HTTP_UNAUTHORIZED,
                                .outcome = REQUEST_OUTCOME_NOT_RUN,
                                .reason = key_reason (state),
                                .has_challenge = true };
  snprintf (own.message, sizeof own.message, "%s", key_remedy (state));
  exchange_respond_locally (x, &own);
}

/* Guards against a host that goes on with keys that were taken away, since it
   is cut off, frozen, or has just started and can't know.  Shows as work that
   is done for whoever has a leaked key.  It says neither yes nor no then: a
   key that it doesn't know may be a new one. */
static bool
is_fresh (const struct exchange *x)
{
  const uint32_t bound_ms = x->context->settings->access.revoke_ms;
  return bound_ms == 0
         || freshness_is_within_bound (&x->context->freshness, clock_now_ms (),
                                       bound_ms);
}

static void
refuse_stale (struct exchange *x)
{
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, "config-not-fresh",
                   STALE_RETRY_AFTER_MS,
                   "this host can't tell now which keys are in force: come "
                   "back after the time given, or ask another one");
}

/* The question is answered within milliseconds where it is answered at all.
   While it isn't, requests are refused at once. */
static void
await_proof (struct exchange *x)
{
  static const struct bus_message wanted
      = { .topic = BUS_FRESHNESS_REQUESTED };
  struct caller_context *context = x->context;
  const int64_t now_us = clock_now_us ();
  if (context->proof_wait_since_us == 0)
    context->proof_wait_since_us = now_us;
  const int64_t left_us
      = context->proof_wait_since_us + PROOF_WAIT_US - now_us;
  bus_post (context->bus, &wanted);
  if (left_us > 0)
    exchange_wait_for (x, EXCHANGE_WAIT_FRESHNESS, left_us);
  else
    refuse_stale (x);
}

void
exchange_access_resume_all (struct caller_context *context)
{
  context->proof_wait_since_us = 0;
  exchange_resume_all (context, EXCHANGE_WAIT_FRESHNESS);
}

bool
exchange_access_check (struct exchange *x)
{
  const struct workspace_table *workspaces = x->context->workspaces;
  if (workspaces == NULL)
    return true;
  /* Nobody behind this host gets a key, needed or not. */
  header_list_remove_equivalent (&x->head.headers, "Authorization");
  if (!x->needs_key)
    return true;
  if (!is_fresh (x))
    {
      await_proof (x);
      return false;
    }
  const struct request_key *key = &x->head.key;
  const struct fleet_workspace *workspace
      = key->state == REQUEST_KEY_GIVEN
            ? workspace_table_find (workspaces, &key->digest)
            : NULL;
  if (workspace == NULL)
    {
      refuse_key (x);
      return false;
    }
  memcpy (x->workspace, workspace->name, sizeof x->workspace);
  x->workspace_key = hash_string (workspace->name);
  x->has_quota = workspace->quota.rate_millis > 0;
  return true;
}
