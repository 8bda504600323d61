/** @file
 * The settings file of one host (`jaystaird --settings FILE`).
 *
 * All defaults equal those of examples/host.json; a test compares the two.
 */
#ifndef NODE_HOST_SETTINGS_H
#define NODE_HOST_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/log.h"
#include "base/status.h"
#include "policy/fleet/host_capacity.h"

#define HOST_NAME_SIZE 64
#define HOST_ADDRESS_SIZE 56
#define HOST_PATH_SIZE 256
#define HOST_TERMS_SIZE 512
#define HOST_PLATFORM_ADDRESSES_MAX 8
#define HOST_PEER_SEEDS_MAX 16

/** Limits of the caller side. */
struct caller_limits
{
  uint32_t connections;
  uint32_t header_bytes; /**< maximum size of a request's header */
  uint32_t idle_timeout_ms;
  uint32_t stream_buffer_bytes; /**< per direction of one request */
  uint32_t
      target_connect_ms; /**< timeout, after which another target is tried */
  /** An idle connection to a target is reused for at most this long; a shorter
   * time announced by the target takes precedence. */
  uint32_t reuse_idle_ms;
  /** The same for unrepeatable requests; 0: never reused. */
  uint32_t reuse_idle_once_ms;
  uint32_t hold_answer_bytes; /**< buffers responses up to this size until
                                 complete */
  uint32_t keep_answer_ms;    /**< how long callers cache address responses */
};

/** Modes of the fleet. */
struct fleet_modes
{
  /** Services are derived from one configuration and from targets that
   * register themselves; otherwise each service is an object of its own. */
  bool has_registry;
  bool all_watch_registry; /**< every host watches it, not only relays */
  bool has_ejection;       /**< targets may be ejected for all hosts */
  bool prefers_own_dc;     /**< prefers targets in the host's own dc */
};

/** Limits on the retries of a service by all hosts together, in any window. */
struct retry_settings
{
  uint32_t percent;   /**< share of the requests in the window */
  uint32_t window_ms; /**< length of the sliding window */
  uint32_t reserve;   /**< retries allowed on top of the share */
  /** At least this share of a service's targets is used within two seconds; 0:
   * no minimum. */
  uint32_t used_percent;
};

/** Who gets room at a service that has too little. */
struct admission_settings
{
  bool by_route_priority; /**< priority of routes decides */
  /** A workspace's own priority takes precedence over that of the route, and
   * workspaces share room by the rates of their quotas. */
  bool by_workspace;
};

/** How targets are chosen. */
struct placement_settings
{
  /** By the expected work of the request and of each target, at services whose
   * routes differ. */
  bool by_cost;
  /** Unused targets are used by how likely they are healthy, and pauses after
   * failures grow. */
  bool working_set;
};

/** Blocking of requests that crash targets. */
struct poison_settings
{
  uint32_t crashes;      /**< consecutive crashes until a request is blocked */
  uint32_t block_ms;     /**< duration of the first block; doubles each time */
  uint32_t block_max_ms; /**< maximum duration of a block */
};

/** Timeouts and intervals of the control plane. */
struct control_times
{
  uint32_t heartbeat_ms;
  uint32_t suspect_after_ms; /**< silence until it isn't listed to callers */
  uint32_t dead_after_ms;
  /** The record of a host that has been dead or leaving this long is
   * removed. */
  uint32_t forget_after_ms;
  uint32_t enforce_ms;     /**< validity of an ejection without refresh */
  uint32_t owner_lease_ms; /**< silence until an owner is replaced */
  uint32_t watch_ms; /**< timeout of a watch (long poll) at the platform */
  /** The same at a leading relay: a watch can stop delivering without an
   * error, and the relay learns of what it missed with the next watch. */
  uint32_t relay_watch_ms;
  /** A confirmed change is in force on every host after this time; a host that
   * isn't informed by others reads it itself before. */
  uint32_t config_apply_ms;
  uint32_t platform_timeout_ms;
  /** How often a target renews its record, which the platform removes after
   * three of these intervals without a write. */
  uint32_t target_heartbeat_ms;
  uint32_t evidence_ms;    /**< interval of the reports to a service's owner */
  uint32_t shutdown_ms;    /**< how long a leaving host takes at most */
  uint32_t stale_after_ms; /**< without contact to the platform or a relay this
                              long, the host is no longer listed to callers */
  /** Longest platform outage through which ejections stay in force; also how
   * long the reserve of an owner that vanished counts as spent. */
  uint32_t outage_hold_ms;
};

/** Access of workspaces. */
struct access_settings
{
  /** A revoked key is accepted for at most this long, on any host; 0: until a
   * host receives the revocation. */
  uint32_t revoke_ms;
  /** In any window of quota_window_ms a workspace's requests exceed its quota
   * by at most this percentage of it plus quota_slack requests. */
  uint32_t quota_window_ms;
  uint32_t quota_overshoot_percent;
  uint32_t quota_slack;
};

struct host_settings
{
  char name[HOST_NAME_SIZE];
  char dc[HOST_NAME_SIZE];
  char caller_address[HOST_ADDRESS_SIZE];
  char peer_address[HOST_ADDRESS_SIZE];
  char operator_address[HOST_ADDRESS_SIZE];
  /** Where callers request addresses in addition to the caller address, and
   * where readiness is probed; "" is nowhere. */
  char directory_address[HOST_ADDRESS_SIZE];
  char readiness_address[HOST_ADDRESS_SIZE];
  /** The addresses announced to others for the three above; "" is the address
   * that this host listens on. */
  char caller_advertised[HOST_ADDRESS_SIZE];
  char peer_advertised[HOST_ADDRESS_SIZE];
  char operator_advertised[HOST_ADDRESS_SIZE];
  /** Exactly one of platform_addresses and platform_file is given. */
  char platform_addresses[HOST_PLATFORM_ADDRESSES_MAX][HOST_ADDRESS_SIZE];
  size_t platform_address_count;
  char platform_file[HOST_PATH_SIZE];
  /** The interface that platform, callers and targets use; "" is jaystair's
   * own. */
  char interface[HOST_NAME_SIZE];
  /** Names of the terms of service in force, separated by commas; the adapter
   * of `interface` converts them to settings. */
  char platform_terms[HOST_TERMS_SIZE];
  /** Peers that settings are loaded from while the platform is down. */
  char peer_seeds[HOST_PEER_SEEDS_MAX][HOST_ADDRESS_SIZE];
  size_t peer_seed_count;
  char secret_file[HOST_PATH_SIZE]; /**< holds the shared secret; "" is none */
  struct host_resources resources;  /**< of this host */
  uint32_t set_hosts_per_dc;        /**< minimum size of a host set, per dc */
  uint32_t relays_per_dc;
  struct fleet_modes modes;
  struct caller_limits limits;
  struct retry_settings retry;
  struct admission_settings admission;
  struct placement_settings placement;
  struct access_settings access;
  struct poison_settings poison;
  struct control_times times;
  enum log_level log_level;
  bool log_json;
  uint32_t log_repeats_per_second;
  uint32_t log_warnings_per_second;
};

/** Set the defaults; name, dc and addresses are empty. */
void host_settings_defaults (struct host_settings *settings);

/** How long callers may cache an address response: keep_answer_ms, but limited
 * such that a leaving host stays up until even callers that cache a response
 * three times as long as allowed no longer send requests to it. */
uint32_t host_settings_keep_answer_ms (const struct host_settings *settings);

/** How long a leaving host serves requests at least: another host may list it
 * until it receives the announcement or, at the latest, misses the heartbeats;
 * callers may keep that response for keep_answer_ms. */
uint32_t host_settings_leave_min_ms (const struct host_settings *settings);

/** How long callers may let a connection be idle and use it again, in whole
 * seconds; 0: there is no such time.  A leaving host serves requests for
 * longer than that, so that it closes no connection that is used again. */
uint32_t host_settings_keep_alive_s (const struct host_settings *settings);

/** The same until the request has arrived, in milliseconds. */
uint32_t host_settings_reuse_max_ms (const struct host_settings *settings);

/** The address to announce to others: ADVERTISED, or BOUND if that is "". */
const char *host_settings_advertised_address (const char *advertised,
                                              const char *bound);

/** Read and validate PATH.  On failure the message names the file and the
 * option, what was expected and the remedy. */
enum status host_settings_load (const char *path,
                                struct host_settings *settings);

/** Whether the two differ in more than the log settings, which alone are
 * applied without a restart. */
bool host_settings_need_restart (const struct host_settings *old,
                                 const struct host_settings *new_settings);

#endif
