#include "node/caller/exchange_access.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

enum
{
  /** By then this host has queried the relays and the platform again. */
  STALE_RETRY_AFTER_MS = 500,
  FRESHNESS_WAIT_MAX_US = 250 * 1000,
};

static const char *
key_error_message (enum request_key_state state)
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
  struct local_response response = { .status = MHD_HTTP_UNAUTHORIZED,
                                     .reason = key_reason (state),
                                     .has_challenge = true };
  snprintf (response.message, sizeof response.message, "%s",
            key_error_message (state));
  exchange_respond_locally (x, &response);
}

/* A host that is partitioned, suspended or newly started may not know that a
   key was revoked; requests with a leaked key would still run.  Without a
   recent freshness proof a key is neither accepted nor rejected, since an
   unknown key may be a new one. */
static bool
is_fresh (const struct exchange *x)
{
  const uint32_t max_age_ms = x->context->settings->access.revoke_ms;
  return max_age_ms == 0
         || freshness_is_within_bound (&x->context->freshness, clock_now_ms (),
                                       max_age_ms);
}

static void
refuse_stale (struct exchange *x)
{
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, "config-not-fresh",
                   STALE_RETRY_AFTER_MS,
                   "this host can't tell now which keys are in force: come "
                   "back after the time given, or ask another one");
}

/* A proof arrives within milliseconds if it arrives at all.  After the first
   requests have waited without one, further requests are refused at once. */
static void
wait_for_freshness (struct exchange *x)
{
  static const struct bus_message proof_request
      = { .topic = BUS_FRESHNESS_REQUESTED };
  struct caller_context *context = x->context;
  const int64_t now_us = clock_now_us ();
  if (context->proof_wait_since_us == 0)
    context->proof_wait_since_us = now_us;
  const int64_t remaining_us
      = context->proof_wait_since_us + FRESHNESS_WAIT_MAX_US - now_us;
  bus_post (context->bus, &proof_request);
  if (remaining_us > 0)
    exchange_wait_for (x, EXCHANGE_WAIT_FRESHNESS, remaining_us);
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
  /* Keys are never forwarded, whether the route needs one or not. */
  header_list_remove_equivalent (&x->head.headers, "Authorization");
  if (!x->needs_key)
    return true;
  if (!is_fresh (x))
    {
      wait_for_freshness (x);
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
  x->has_workspace_priority = workspace->has_priority;
  x->workspace_priority = workspace->priority;
  return true;
}
