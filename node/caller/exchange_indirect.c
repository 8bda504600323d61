#define LOG_MODULE "caller"

#include "node/caller/exchange_indirect.h"

#include <string.h>

#include <arpa/inet.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/exchange_admit.h"

enum
{
  REFUSED_RETRY_AFTER_MS = 100,
};

const char exchange_indirect_unreached_field[] = "Jaystair-Unreached";

static bool
is_in_set (const struct caller_service *service, const char *host)
{
  for (size_t i = 0; i < service->host_count; i++)
    if (strcmp (service->hosts[i].name, host) == 0)
      return true;
  return false;
}

static bool
is_candidate (const void *owner, const struct bus_host_entry *host)
{
  const struct exchange *x = owner;
  return host->caller_address[0] != '\0'
         && strcmp (host->name, x->context->settings->name) != 0
         && !is_in_set (x->service, host->name);
}

/* The other host checks keys, quotas and limits as well, and would count the
   request twice. */
static bool
may_go_indirectly (const struct exchange *x,
                   const struct caller_target *target)
{
  const bool is_keyed = x->needs_key && x->context->workspaces != NULL;
  return !is_keyed && !x->head.relayed && !x->context->leaving
         && target->limit.rate_millis == 0;
}

const struct bus_host_entry *
exchange_indirect_choose (struct exchange *x, uint32_t index)
{
  const struct caller_service *service = x->service;
  struct caller_target *target = &service->targets[index];
  if (!may_go_indirectly (x, target)
      || !path_state_choose_indirect (&target->path, clock_now_ms ()))
    return NULL;
  const struct host_directory_choice choice
      = { .key = target->key ^ service->own_key,
          .attempt = target->path.failures,
          .is_candidate = is_candidate,
          .owner = x };
  const struct bus_host_entry *host
      = host_directory_choose (x->context->host_directory, &choice);
  if (host != NULL)
    LOG_INFO ("indirect-attempt", LOG_STR ("id", x->head.id),
              LOG_STR ("service", service->name), LOG_INT ("request", x->id),
              LOG_STR ("target", service->spec->targets[index].name),
              LOG_STR ("host", host->name),
              LOG_STR ("why", "this host can't connect to the target"));
  return host;
}

void
exchange_indirect_note_end (struct exchange *x, enum attempt_end end)
{
  const uint32_t index
      = caller_service_find_target (x->service, x->attempt.key);
  if (index == POLICY_NO_TARGET)
    return;
  struct path_state *path = &x->service->targets[index].path;
  if (x->attempt.is_indirect)
    path_state_note_indirect (path, clock_now_ms (), end);
  else
    path_state_note_direct (path, clock_now_ms (), end);
}

bool
exchange_indirect_is_unreached (const struct exchange *x,
                                enum attempt_end *end)
{
  if (!x->attempt.is_indirect
      || header_list_find (&x->attempt.headers,
                           exchange_indirect_unreached_field)
             == NULL)
    return false;
  const bool is_refusal = x->attempt.status == MHD_HTTP_SERVICE_UNAVAILABLE;
  *end = is_refusal ? ATTEMPT_NOT_SENT : ATTEMPT_CUT;
  return true;
}

/* Callers could otherwise choose their target. */
static bool
is_from_host (const struct exchange *x)
{
  char ip[INET6_ADDRSTRLEN];
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      x->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const struct sockaddr *address = info != NULL ? info->client_addr : NULL;
  if (address == NULL)
    return false;
  const void *bytes
      = address->sa_family == AF_INET6
            ? (const void *)&((const struct sockaddr_in6 *)address)->sin6_addr
            : (const void *)&((const struct sockaddr_in *)address)->sin_addr;
  return inet_ntop (address->sa_family, bytes, ip, sizeof ip) != NULL
         && host_directory_has_ip (x->context->host_directory, ip);
}

bool
exchange_indirect_is_requested (const struct exchange *x)
{
  return x->head.target[0] != '\0';
}

const char *
exchange_indirect_service (const struct exchange *x, const struct route *route)
{
  const char *service = x->head.service;
  return exchange_indirect_is_requested (x)
                 && route_has_service (route, service)
             ? service
             : NULL;
}

static uint32_t
find_target (const struct caller_service *service, const char *name)
{
  for (uint32_t i = 0; i < service->spec->target_count; i++)
    if (strcmp (service->spec->targets[i].name, name) == 0)
      return i;
  return POLICY_NO_TARGET;
}

void
exchange_indirect_admit (struct exchange *x)
{
  struct policy_decision decision
      = { .verdict = POLICY_SEND,
          .reason = POLICY_REASON_ONLY_CHOICE,
          .target = find_target (x->service, x->head.target),
          .request_id = x->id };
  const char *why = NULL;
  if (!is_from_host (x))
    why = "not-from-a-host";
  else if (decision.target == POLICY_NO_TARGET)
    why = "unknown-target";
  else if (!service_policy_acquire (x->service->policy, clock_now_us (),
                                    decision.target))
    why = "no-slot";
  if (why == NULL)
    {
      exchange_apply_decision (x, &decision);
      return;
    }
  LOG_INFO ("indirect-refused", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("target", x->head.target),
            LOG_STR ("why", why));
  exchange_refuse (x, MHD_HTTP_SERVICE_UNAVAILABLE, "indirect-attempt",
                   REFUSED_RETRY_AFTER_MS,
                   "this host doesn't send to that target now: use another "
                   "host");
}
