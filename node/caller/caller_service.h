/** @file
 * A service in force at this host: its settings, policy, evidence and the
 * requests that wait for a target.
 */
#ifndef NODE_CALLER_CALLER_SERVICE_H
#define NODE_CALLER_CALLER_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <uthash.h>

#include "node/bus.h"
#include "node/host_settings.h"
#include "policy/choice/demand_peak.h"
#include "policy/choice/slot_shares.h"
#include "policy/detection/recorder.h"
#include "policy/fleet/fleet_host.h"
#include "policy/limit/limit_state.h"
#include "policy/service_policy.h"
#include "wire/service_spec.h"

/** What this host holds of a target besides its settings. */
struct caller_target
{
  uint64_t key;
  bool leaving; /**< it said so itself */
  bool ejected;
  bool avoided; /**< the path from here to it is at fault */
  bool probing; /**< it is being asked whether it still leaves */
  int64_t
      reported_us; /**< when an outcome there was last told to other hosts */
  int64_t unsent_reported_us; /**< the same of one that couldn't be sent */
  uint32_t
      idle_timeout_ms; /**< it closes connections idle so long; 0: not told */
  struct limit_state limit;
};

/** A request that waits; embedded in what waits. */
struct caller_waiter
{
  uint64_t id;
  bool waiting;
  /** What the policy decided for it, from the loop. */
  void (*on_decision) (struct caller_waiter *waiter,
                       const struct policy_decision *decision);
  UT_hash_handle hh;
};

struct caller_service
{
  struct ev_loop *loop;
  char name[SERVICE_NAME_SIZE];
  char own_dc[SERVICE_NAME_SIZE]; /**< of this host */
  struct service_spec *spec;
  struct caller_target *targets; /**< as many as the spec's, same order */
  struct service_policy *policy;
  struct detection_recorder *recorder;
  uint64_t own_key; /**< hash of this host's name */
  struct bus_set_host *hosts;
  struct fleet_host *rendezvous_hosts; /**< as many, same order */
  size_t host_count;
  bool in_set;        /**< this host is one of them */
  size_t fleet_count; /**< hosts of the whole fleet */
  const struct retry_settings *retry;
  bool prefers_own_dc;
  uint32_t used_percent;          /**< of the targets, wanted in use */
  struct retry_fleet retry_fleet; /**< the largest seen */
  struct slot_share share; /**< of the targets' slots, if one is granted */
  struct demand_peak demand;
  bool has_unrepeatable_route;
  uint32_t ref_count; /**< exchanges that hold it */
  bool removed;       /**< goes with its last user */
  uint64_t seed;
  struct caller_waiter *waiters; /**< by id */
  ev_timer wake_timer;
  UT_hash_handle hh;
};

struct caller_service *
caller_service_create (struct ev_loop *loop, const char *name,
                       const char *own_dc,
                       const struct host_settings *settings, uint64_t seed);

/** Hold on to SERVICE, or let it go again. */
void caller_service_ref (struct caller_service *service);
void caller_service_unref (struct caller_service *service);

/** The service is no longer in force. */
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

/** Target KEY says itself that it leaves, or is back. */
void caller_service_set_leaving (struct caller_service *service, uint64_t key,
                                 bool leaving);

/** Target KEY announces that it closes connections after IDLE_MS. */
void caller_service_set_idle_timeout (struct caller_service *service,
                                      uint64_t key, uint32_t idle_ms);

/** Recompute this host's shares after the rate limit of a target changed. */
void caller_service_apply_limits (struct caller_service *service);

/** The number of the target with KEY in the spec, or POLICY_NO_TARGET. */
uint32_t caller_service_find_target (const struct caller_service *service,
                                     uint64_t key);

/** Ask the policy about R; when it says POLICY_QUEUE, WAITER waits. */
struct policy_decision caller_service_admit (struct caller_service *service,
                                             const struct policy_request *r,
                                             struct caller_waiter *waiter);

/** A request was refused before the policy was asked. */
void caller_service_record_refusal (struct caller_service *service);

/** The most attempts and waiting requests there were at once lately. */
uint32_t caller_service_demand (const struct caller_service *service);

/** An attempt of another host at target KEY ended. */
void caller_service_record_remote_outcome (struct caller_service *service,
                                           uint64_t key, enum attempt_end end);

/** WAITER no longer waits. */
void caller_service_cancel_wait (struct caller_service *service,
                                 struct caller_waiter *waiter);

/** An attempt at target KEY ended. */
void caller_service_record_outcome (struct caller_service *service,
                                    uint64_t key, enum attempt_end end,
                                    int64_t latency_us, bool repeatable);

#endif
