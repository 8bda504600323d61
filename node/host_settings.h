/** @file
 * The settings file of one host (`jaystaird --settings FILE`).
 *
 * All defaults are those of examples/host.json; a test holds the two equal.
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
#define HOST_PLATFORM_ADDRESSES_MAX 8
#define HOST_PEER_SEEDS_MAX 16

/** Bounds of the caller side. */
struct caller_limits
{
  uint32_t connections;
  uint32_t header_bytes; /**< most memory of one request's head */
  uint32_t idle_timeout_ms;
  uint32_t stream_buffer_bytes; /**< per direction of one request */
  uint32_t target_connect_ms;   /**< until another target is tried */
  /** A connection to a target that was idle for longer is not used again; a
   * target that announces less is believed. */
  uint32_t reuse_idle_ms;
  /** The same for requests that may run once only; 0: never used again. */
  uint32_t reuse_idle_once_ms;
  uint32_t hold_answer_bytes; /**< answers up to it are held until whole */
  uint32_t keep_answer_ms;    /**< how long callers keep an address answer */
};

/** How the fleet is run. */
struct fleet_modes
{
  /** Services are put together from one configuration and from targets that
   * register themselves; else each is an object of its own. */
  bool has_registry;
  bool all_watch_registry; /**< every host watches it, not only relays */
  bool has_ejection;       /**< targets may be ejected for all hosts */
  bool prefers_own_dc;     /**< targets of the host's own dc go first */
};

/** Retries of a service by all hosts together, in any window. */
struct retry_settings
{
  uint32_t percent;   /**< of the requests of the window */
  uint32_t window_ms; /**< any span of that length counts */
  uint32_t reserve;   /**< retries beyond the share */
  /** At least so many of a service's targets are used within two seconds; 0:
   * any number will do. */
  uint32_t used_percent;
};

/** Requests that crash the targets that run them. */
struct poison_settings
{
  uint32_t crashes;      /**< consecutive, that block a request */
  uint32_t block_ms;     /**< first block; doubled each time */
  uint32_t block_max_ms; /**< upper bound */
};

/** Times of the control plane. */
struct control_times
{
  uint32_t heartbeat_ms;
  uint32_t suspect_after_ms; /**< silence until a host isn't handed out */
  uint32_t dead_after_ms;
  /** A host believed dead or leaving so long loses its record. */
  uint32_t forget_after_ms;
  uint32_t enforce_ms;     /**< how long an ejection holds without refresh */
  uint32_t owner_lease_ms; /**< an owner not heard from so long is replaced */
  uint32_t watch_ms;       /**< one waiting watch at the platform */
  /** The same at a relay: a watch can go deaf without a sign, and a relay
   * finds what it missed when it asks again. */
  uint32_t relay_watch_ms;
  uint32_t platform_timeout_ms;
  uint32_t evidence_ms;    /**< between reports to a service's owner */
  uint32_t shutdown_ms;    /**< after it a leaving host is over */
  uint32_t stale_after_ms; /**< without settings news: leaves answers */
  /** Longest platform outage through which ejections hold; also how long the
   * reserve of an owner that vanished counts as spent. */
  uint32_t outage_hold_ms;
};

/** Who may send requests. */
struct access_settings
{
  /** A key that was taken away isn't taken for longer, on any host; 0: as long
   * as a host hasn't heard of it. */
  uint32_t revoke_ms;
  /** In any window of quota_window_ms a workspace's requests pass its quota by
   * no more than this part of it and quota_slack requests. */
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
  /** Where callers ask for addresses besides the caller address, and where
   * it is asked whether this host is ready; "" is nowhere. */
  char directory_address[HOST_ADDRESS_SIZE];
  char readiness_address[HOST_ADDRESS_SIZE];
  /** Where others reach the three; "" is where this host listens. */
  char caller_advertised[HOST_ADDRESS_SIZE];
  char peer_advertised[HOST_ADDRESS_SIZE];
  char operator_advertised[HOST_ADDRESS_SIZE];
  /** Exactly one of platform_addresses and platform_file is given. */
  char platform_addresses[HOST_PLATFORM_ADDRESSES_MAX][HOST_ADDRESS_SIZE];
  size_t platform_address_count;
  char platform_file[HOST_PATH_SIZE];
  /** Which interface platform, callers and targets speak; "" is jaystair's
   * own. */
  char interface[HOST_NAME_SIZE];
  /** Peer addresses to load settings from while the platform is down. */
  char peer_seeds[HOST_PEER_SEEDS_MAX][HOST_ADDRESS_SIZE];
  size_t peer_seed_count;
  char secret_file[HOST_PATH_SIZE]; /**< shared key; "" is none */
  struct host_resources resources;  /**< of this host */
  uint32_t set_hosts_per_dc; /**< smallest host set of a service, per dc */
  uint32_t relays_per_dc;
  struct fleet_modes modes;
  struct caller_limits limits;
  struct retry_settings retry;
  struct access_settings access;
  struct poison_settings poison;
  struct control_times times;
  enum log_level log_level;
  bool log_json;
  uint32_t log_repeats_per_second;
  uint32_t log_warnings_per_second;
};

/** The defaults; name, dc and addresses are empty. */
void host_settings_defaults (struct host_settings *settings);

/** How long callers may keep an address answer: keep_answer_ms, but never so
 * long that a host which leaves is over while callers that keep an answer
 * three times as long as they should may still send requests to it. */
uint32_t host_settings_keep_answer_ms (const struct host_settings *settings);

/** The address to tell others: ADVERTISED, or BOUND when that is "". */
const char *host_settings_advertised_address (const char *advertised,
                                              const char *bound);

/** Read and check PATH.  On failure the message gives file, place, what was
 * expected and the remedy. */
enum status host_settings_load (const char *path,
                                struct host_settings *settings);

/** Do the two differ in more than the log's settings, which alone are put in
 * force without a restart? */
bool host_settings_need_restart (const struct host_settings *old,
                                 const struct host_settings *new_settings);

#endif
