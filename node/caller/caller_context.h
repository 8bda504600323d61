/** @file
 * State shared by the modules of the caller task.
 */
#ifndef NODE_CALLER_CALLER_CONTEXT_H
#define NODE_CALLER_CALLER_CONTEXT_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "node/caller/avoided_hosts.h"
#include "node/caller/caller_counters.h"
#include "node/caller/caller_interface.h"
#include "node/caller/caller_service.h"
#include "node/caller/decision_ring.h"
#include "node/caller/hangup_watch.h"
#include "node/caller/host_directory.h"
#include "node/caller/quota_client.h"
#include "node/caller/route_table.h"
#include "node/caller/ticket_issuer.h"
#include "node/caller/workspace_table.h"
#include "node/host_settings.h"
#include "node/leave_times.h"
#include "node/mhd_loop.h"
#include "policy/access/freshness.h"
#include "wire/curl_loop.h"

struct crash_checks;
struct exchange;
struct poison_filter;
struct reach_check;

struct caller_context
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  const struct caller_interface *interface;
  struct curl_loop *curl;
  struct mhd_loop *mhd_loop;
  struct hangup_watch *hangup;
  struct route_table *routes;
  struct caller_service *services; /**< by name */
  /** Whether the configuration in force is recent enough to check keys. */
  struct freshness freshness;
  /** Every change confirmed before is in force; 0: not known yet. */
  int64_t contact_ms;
  /** Requests wait for a newer contact until then; 0: the first one that finds
   * it old begins to. */
  int64_t contact_wait_end_us;
  /** Since when requests wait for a freshness proof; 0: none do. */
  int64_t proof_wait_since_us;
  struct quota_client *quotas;
  /** Requests that wait for settings, a freshness proof, a quota token or the
   * prefix of their body. */
  uint32_t awaiting_count;
  struct host_directory *host_directory;
  struct ticket_issuer *tickets;
  struct fleet_config *config; /**< in force; NULL: none, or none yet */
  int64_t first_config_ms;     /**< when the first one came into force */
  /** Of the configuration in force; NULL: requests need no key. */
  struct workspace_table *workspaces;
  struct caller_counters counters;
  struct decision_ring decisions;
  struct exchange *exchanges;          /**< not yet destroyed */
  char own_address[HOST_ADDRESS_SIZE]; /**< where callers reach this host */
  size_t address_answer_count;         /**< responses to address requests */
  uint64_t last_request_id;
  int64_t started_us;
  int64_t first_service_us; /**< when the first one came into force; 0: none
                                 has */
  uint32_t in_flight;
  struct crash_checks *crash_checks;
  struct reach_check *reach_check;
  struct avoided_hosts avoided_hosts; /**< for requests passed on whole */
  struct poison_filter *poison;
  struct caller_server *server; /**< accepts the callers' connections */
  ev_timer limit_refresh_timer;
  bool leaving;
  struct leave_times leave_times; /**< if `leaving` */
};

/** The service in force called NAME, or NULL. */
struct caller_service *
caller_context_service (const struct caller_context *context,
                        const char *name);

#endif
