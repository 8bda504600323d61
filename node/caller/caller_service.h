/** @file
 * A service in force at this host: its settings, policy, evidence and the
 * requests that are queued for a target.
 */
#ifndef NODE_CALLER_CALLER_SERVICE_H
#define NODE_CALLER_CALLER_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <uthash.h>

#include "node/bus.h"
#include "node/caller/left_targets.h"
#include "node/host_settings.h"
#include "policy/choice/demand_peak.h"
#include "policy/choice/path_state.h"
#include "policy/choice/slot_shares.h"
#include "policy/detection/recorder.h"
#include "policy/fleet/fleet_host.h"
#include "policy/limit/limit_state.h"
#include "policy/service_policy.h"
#include "wire/service_spec.h"

/** The state of a target at this host, besides its settings. */
struct caller_target
{
  uint64_t key;
  bool leaving; /**< as the target itself announced */
  bool ejected;
  bool avoided; /**< the path from this host to it is faulty */
  bool probing; /**< a leaving_probe for it is in flight */
  /** When an outcome was last reported to other hosts. */
  int64_t reported_us;
  /** When an attempt that couldn't be sent was last reported to them. */
  int64_t unsent_reported_us;
  /** It closes connections that are idle for this long; 0: unknown. */
  uint32_t idle_timeout_ms;
  struct path_state path; /**< from this host to it */
  struct limit_state limit;
};

/** A queued request, embedded in the structure that represents it. */
struct caller_waiter
{
  uint64_t id;
  bool waiting;
  /** Called from the event loop with the policy's decision. */
  void (*on_decision) (struct caller_waiter *waiter,
                       const struct policy_decision *decision);
  UT_hash_handle hh;
};

struct caller_service
{
  struct ev_loop *loop;
  char name[SERVICE_NAME_SIZE];
  char own_dc[SERVICE_NAME_SIZE]; /**< data centre of this host */
  struct service_spec *spec;
  struct caller_target *targets; /**< parallel to the targets of `spec` */
  struct left_targets left;
  struct service_policy *policy;
  struct detection_recorder *recorder;
  uint64_t own_key; /**< hash of this host's name */
  struct bus_host_entry *hosts;
  struct fleet_host *rendezvous_hosts; /**< parallel to `hosts` */
  size_t host_count;
  bool in_set; /**< this host is one of `hosts` */
  /** When retries were last requested from a host of the set. */
  int64_t retries_requested_us;
  uint32_t retries_requested; /**< and not received yet */
  size_t fleet_count;         /**< hosts of the whole fleet */
  const struct retry_settings *retry;
  bool prefers_own_dc;
  uint32_t used_percent; /**< targets to keep in use; see the policy */
  struct admission_settings admission;
  struct placement_settings placement;
  bool by_cost; /**< targets are chosen by the work of requests */
  struct retry_fleet retry_fleet; /**< the largest seen */
  struct slot_share share; /**< of the targets' slots, if one is granted */
  struct demand_peak demand;
  bool has_unrepeatable_route;
  uint32_t ref_count; /**< 1 while in force, and 1 for each user */
  bool removed;       /**< no longer in force; destroyed with the last user */
  uint64_t seed;
  struct caller_waiter *waiters; /**< queued requests, by id */
  ev_timer wake_timer;
  UT_hash_handle hh;
};

/** Create a service without a spec, which caller_service_set_spec() puts in
 * force. */
struct caller_service *
caller_service_create (struct ev_loop *loop, const char *name,
                       const char *own_dc,
                       const struct host_settings *settings, uint64_t seed);

/** Take or release a reference to SERVICE. */
void caller_service_ref (struct caller_service *service);
void caller_service_unref (struct caller_service *service);

/** Take the service out of force; it is destroyed with its last reference. */
void caller_service_remove (struct caller_service *service);

/** Put SPEC in force. */
void caller_service_set_spec (struct caller_service *service,
                              const struct service_spec *spec);
void caller_service_set_hosts (struct caller_service *service,
                               const struct bus_host_set *set);
void caller_service_set_share (struct caller_service *service,
                               const struct slot_share *share);
void caller_service_set_ejections (struct caller_service *service,
                                   const struct bus_ejections *ejections);
void caller_service_set_path_faults (struct caller_service *service,
                                     const struct bus_path_faults *faults);

/** Choose targets by the expected work of requests, or stop doing so. */
void caller_service_set_by_cost (struct caller_service *service, bool by_cost);

/** Record that target KEY announced that it is leaving, or that it is back. */
void caller_service_set_leaving (struct caller_service *service, uint64_t key,
                                 bool leaving);

/** Record that target KEY wants no requests from this host for REST_MS. */
void caller_service_set_rest (struct caller_service *service, uint64_t key,
                              uint32_t rest_ms);

/** Record that target KEY announced that it leaves for good. */
void caller_service_set_left (struct caller_service *service, uint64_t key);

/** Record that target KEY closes connections that are idle for IDLE_MS. */
void caller_service_set_idle_timeout (struct caller_service *service,
                                      uint64_t key, uint32_t idle_ms);

/** Recompute this host's shares after the rate limit of a target changed. */
void caller_service_apply_limits (struct caller_service *service);

/** The index of the target with KEY in the spec, or POLICY_NO_TARGET. */
uint32_t caller_service_find_target (const struct caller_service *service,
                                     uint64_t key);

/** Let the policy decide on R.  With POLICY_QUEUE, WAITER is queued. */
struct policy_decision caller_service_admit (struct caller_service *service,
                                             const struct policy_request *r,
                                             struct caller_waiter *waiter);

/** Record a request that was refused before the policy decided on it. */
void caller_service_record_refusal (struct caller_service *service);

/** The recent maximum of attempts in flight and queued requests together. */
uint32_t caller_service_demand (const struct caller_service *service);

/** Record that an attempt of another host at target KEY ended. */
void caller_service_record_remote_outcome (struct caller_service *service,
                                           uint64_t key, enum attempt_end end);

/** Remove WAITER from the queue, if it is queued. */
void caller_service_cancel_wait (struct caller_service *service,
                                 struct caller_waiter *waiter);

/** Record that an attempt of this host at target KEY ended. */
void caller_service_record_outcome (struct caller_service *service,
                                    uint64_t key, enum attempt_end end,
                                    int64_t latency_us, bool repeatable);

#endif
