/** @file
 * What the sources of the control task share; no other folder includes it.
 */
#ifndef NODE_CONTROL_CONTROL_INTERNAL_H
#define NODE_CONTROL_CONTROL_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <uthash.h>

#include "base/counters.h"
#include "base/rng.h"
#include "node/control/control_records.h"
#include "node/control/control_task.h"
#include "node/control/host_record.h"
#include "node/registry/registry.h"
#include "policy/access/freshness.h"
#include "policy/fleet/host_set.h"
#include "policy/fleet/membership.h"
#include "policy/fleet/settings_index.h"
#include "wire/peer/peer_link.h"
#include "wire/peer/peer_server.h"

enum control_limit
{
  /** A link that nothing was sent on for so long is closed. */
  CONTROL_LINK_IDLE_MS = 30000,
  CONTROL_MONITORED_MAX = 128,
  CONTROL_UNDECIDED_MAX = 16,
  /** Verdicts sent along with one heartbeat. */
  CONTROL_GOSSIP_UPDATES_MAX = 8,
  CONTROL_INDIRECT_CHECKERS = 3,
  /** Indirect checks kept open for others. */
  CONTROL_INDIRECT_CHECKS_MAX = 64,
  CONTROL_FEEDS_MAX = 3,
  /** Heartbeats within which hosts that start together have met: by the list
   * of hosts, and what neighbours tell. */
  CONTROL_SETTLE_HEARTBEATS = 3,
};

/** Another host, or this one. */
struct control_host
{
  uint64_t key;
  struct host_record record;
  bool is_listed;        /**< the platform's list shows it */
  bool is_removed;       /**< the list showed it once and no more */
  int64_t gone_since_ms; /**< believed dead or leaving since; 0: it isn't */
  struct peer_link *link;
  int64_t link_used_ms; /**< when the link was last wanted */
  struct control_task *task;
  UT_hash_handle hh;
};

struct control_task
{
  struct control_task_options options;
  struct peer_identity identity;
  struct control_host *self;
  struct peer_server *server;
  struct peer_link *seeds[HOST_PEER_SEEDS_MAX];
  struct control_host *hosts;
  struct control_object *objects;
  struct control_service *services;
  struct settings_index *index;
  struct membership *membership;
  struct rng random;
  struct ev_timer heartbeat_timer;
  struct ev_timer
      refresh_timer;           /**< soon after a change of hosts or services */
  struct ev_timer local_timer; /**< messages to this host itself */
  struct registry *registry;   /**< NULL: services are objects of their own */
  struct control_feed feeds[CONTROL_FEEDS_MAX];
  size_t feed_count;
  struct control_registration registration;
  struct freshness freshness;
  struct control_freshness_query freshness_query;
  struct control_cleanup cleanup;
  struct control_tombstone *tombstones; /**< a ring */
  size_t tombstone_first;               /**< oldest */
  size_t tombstone_count;
  /** Unknown host and target records up to these are removed ones. */
  uint64_t host_version_floor;
  uint64_t target_version_floor;
  struct control_removal *removals; /**< on hold */
  struct ev_timer removal_timer;
  struct control_handler_entry handlers[PEER_TYPE_END];
  struct control_local_message *local_messages;
  struct control_outcomes *outcomes; /**< to be told */
  struct ev_timer outcome_timer;     /**< of outcomes */
  struct control_poison_store poison;
  struct control_pull *pulls; /**< under way, by key */
  struct ev_timer pull_timer;
  struct control_query *queries;
  uint64_t last_query_id;
  struct control_indirect_check indirect_checks[CONTROL_INDIRECT_CHECKS_MAX];
  size_t indirect_check_count;
  struct fleet_host *fleet; /**< usable hosts, to choose from */
  size_t fleet_count;
  uint64_t fleet_generation; /**< of `fleet` */
  struct fleet_choice relays;
  struct fleet_choice leading;      /**< the first of them */
  struct fleet_choice coordinators; /**< of quotas */
  bool is_relay;
  bool is_leading; /**< a relay that asks the platform for the newest */
  int64_t started_ms;
  int64_t settled_ms; /**< when it had run for long enough to have met the
                           others; 0: not yet */
  bool is_leaving;
  bool is_stale;
  bool has_settings;
  bool hosts_changed;       /**< since `fleet` was gathered */
  int64_t last_contact_ms;  /**< when platform or relay was heard */
  int64_t last_compared_ms; /**< when buckets were last compared */
  uint64_t last_probed_key; /**< last host probed though believed dead */
};

/* control_hosts.c */
struct control_host *control_hosts_find (const struct control_task *task,
                                         uint64_t key);
struct control_host *control_hosts_by_name (const struct control_task *task,
                                            const char *name);
/** Add a host, or take over its newer record. */
struct control_host *control_hosts_update (struct control_task *task,
                                           const struct host_record *record);
/** Send on the link to HOST, which is opened if need be. */
enum status control_hosts_send (struct control_task *task,
                                struct control_host *host,
                                const struct peer_message *message);
/** Close links that nobody needs. */
void control_hosts_close_idle (struct control_task *task, int64_t now_ms);
void control_hosts_release (struct control_task *task);
/** Whether HOST is among the relays. */
bool control_hosts_is_relay (const struct control_task *task, uint64_t key);

/* control_task.c */
/** Handle MESSAGE of SOURCE. */
void control_receive (struct control_task *task,
                      const struct control_source *source,
                      const struct peer_message *message);
/** Answer SOURCE; a full queue drops it: all answers are asked for again. */
void control_reply (struct control_task *task,
                    const struct control_source *source,
                    const struct peer_message *message);
/** Handle MESSAGE that came over LINK. */
void control_link_receive (struct control_task *task, struct peer_link *link,
                           const struct peer_message *message);
/** Services have changed: choose the sets of new ones soon. */
void control_refresh_soon (struct control_task *task);
/** Hosts have changed: choose everything again soon. */
void control_hosts_changed (struct control_task *task);
extern const struct peer_link_events control_link_events;

/* control_seeds.c */
void control_seeds_open (struct control_task *task);
void control_seeds_close (struct control_task *task);

/* control_send.c */
void control_send_prepare (struct control_task *task);
void control_send_release (struct control_task *task);
void control_call_handler (struct control_task *task, const char *from,
                           const struct peer_message *message);

/* control_members.c */
void control_members_tick (struct control_task *task, int64_t now_ms);
/** Send one heartbeat to HOST now. */
void control_members_send_heartbeat (struct control_task *task,
                                     struct control_host *host,
                                     int64_t now_ms);
void control_members_receive (struct control_task *task,
                              const struct control_source *source,
                              const struct peer_message *message);
/** Take up changes of the membership: log lines, refresh, gossip. */
void control_members_apply_changes (struct control_task *task);
/** Platform or a relay was heard. */
void control_members_note_contact (struct control_task *task, int64_t at_ms);
/** Tell the watched hosts what is new at once. */
void control_members_gossip (struct control_task *task);
void control_members_leave (struct control_task *task);

/* control_settings.c */
/** Take in an object if its version is higher.
 * @return whether it was. */
bool control_settings_apply (struct control_task *task, const char *kind,
                             const char *name, uint64_t version,
                             const char *value);
void control_settings_receive (struct control_task *task,
                               const struct control_source *source,
                               const struct peer_message *message);
/** SOURCE holds settings with another hash: compare buckets. */
void control_settings_compare (struct control_task *task,
                               const struct control_source *source,
                               uint64_t hash);
void control_settings_release (struct control_task *task);

/* control_services.c */
/** Put SPEC, which is taken over, in force here. */
void control_services_enforce (struct control_task *task,
                               struct service_spec *spec);
void control_services_remove (struct control_task *task, const char *name,
                              uint64_t version);

/* control_registry.c */
void control_registry_create (struct control_task *task);
void control_registry_apply_config (struct control_task *task,
                                    const char *name, uint64_t version,
                                    const char *value);
void control_registry_apply_target (struct control_task *task,
                                    const char *name, uint64_t version,
                                    const char *value);

/* control_removals.c */
/** Put the removal of a target on hold if it may be one of an outage.
 * @return whether it was. */
bool control_removals_hold (struct control_task *task, const char *name,
                            uint64_t version, int64_t regained_ms);
void control_removals_start (struct control_task *task);
void control_removals_stop (struct control_task *task);

/* control_outcomes.c */
/** Tell the hosts of a service's set how attempts here end. */
void control_outcomes_start (struct control_task *task);
/** Learn from REPORT; its sender is told of failed targets if it is outside
 * the set and this host is in it. */
void control_outcomes_receive (struct control_task *task,
                               const struct control_source *source,
                               const struct peer_report *report);
void control_outcomes_prepare (struct control_task *task);
void control_outcomes_release (struct control_task *task);

/* control_fanout.c */
/** Send MESSAGE to the other hosts that serve service NAME. */
void control_fanout_to_set (struct control_task *task, const char *name,
                            const struct peer_message *message);
/** Send MESSAGE to WANTED random hosts. */
void control_fanout_to_random (struct control_task *task, uint32_t wanted,
                               const struct peer_message *message);

/* control_limits.c: rate limits of targets */
/** Start announcing changes to other hosts. */
void control_limits_start (struct control_task *task);
void control_limits_receive (struct control_task *task,
                             const struct peer_message *message);

/* control_poison.c: requests that crash targets */
/** Start announcing changes to other hosts and load the stored blocks. */
void control_poison_start (struct control_task *task);
void control_poison_receive (struct control_task *task,
                             const struct peer_message *message);
/** Pass COUNT rows to the caller task, which takes ownership of them. */
void control_poison_deliver (struct control_task *task, const char *service,
                             struct poison_row *rows, size_t count);

/* control_poison_store.c */
void control_poison_store_prepare (struct control_task *task);
/** List the stored blocks. */
void control_poison_store_start (struct control_task *task);
/** Store the first row of ANNOUNCED, or remove it if it is not a block. */
void control_poison_store_write (struct control_task *task,
                                 const struct bus_poison *announced);
/** Remove a cleared block from the platform if this host stored it. */
void control_poison_store_clear (struct control_task *task,
                                 const struct fingerprint *fingerprint);
void control_poison_store_stop (struct control_task *task);
void control_poison_store_release (struct control_task *task);

/* control_platform.c */
void control_platform_start (struct control_task *task);
/** Relays watch; others stop. */
void control_platform_wake (struct control_task *task);
/** Ask the platform at once if what relays tell has become old. */
void control_platform_check_age (struct control_task *task, int64_t now_ms);
/** Is the watch of host records up, its last call answered? */
bool control_platform_hosts_are_current (const struct control_task *task,
                                         int64_t now_ms);
void control_platform_stop (struct control_task *task);

/* control_freshness.c: is the configuration in force here the newest? */
void control_freshness_start (struct control_task *task);
/** Is the answer needed: do keys have to stop within a bound? */
bool control_freshness_is_required (const struct control_task *task);
/** How long a leading relay's watch of configurations may wait. */
uint32_t control_freshness_watch_ms (const struct control_task *task);
/** The platform has shown all that was accepted before ASKED_MS. */
void control_freshness_note_current (struct control_task *task,
                                     int64_t asked_ms);
/** The platform has shown a change, and there may be more. */
void control_freshness_note_change (struct control_task *task);
/** Another host answered a heartbeat of this one. */
void control_freshness_receive_ack (struct control_task *task,
                                    const struct peer_heartbeat *answer);
/** The configuration of VERSION is in force. */
void control_freshness_set_version_in_force (struct control_task *task,
                                             uint64_t version);
/** Must this host refuse requests with keys? */
bool control_freshness_is_expired (const struct control_task *task,
                                   int64_t now_ms);
/** Ask others, and at last the platform, before that is so. */
void control_freshness_tick (struct control_task *task, int64_t now_ms);
void control_freshness_stop (struct control_task *task);

/* control_registration.c: this host's own record at the platform */
void control_registration_start (struct control_task *task);
/** Write the record anew. */
void control_registration_write (struct control_task *task);
/** The platform removed the record: at once, then with back-off. */
void control_registration_restore (struct control_task *task);
void control_registration_stop (struct control_task *task);
/** Start TIMER, which tries a call to the platform again, after a back-off
 * that grows with each failure. */
void control_retry_later (struct control_task *task, struct ev_timer *timer,
                          uint32_t *backoff_ms);

/* control_cleanup.c */
void control_cleanup_start (struct control_task *task);
/** HOST is believed to be in STATE from NOW_MS. */
void control_cleanup_note_state (struct control_host *host,
                                 enum member_state state, int64_t now_ms);
/** Remove the record of at most one host that is gone for good. */
void control_cleanup_tick (struct control_task *task, int64_t now_ms);
void control_cleanup_stop (struct control_task *task);

/** An object that another host has in a newer version. */
struct control_offer
{
  uint64_t key;
  uint64_t version;
  uint64_t held_version; /**< version here; 0: none */
  size_t held_bytes;     /**< of the value here */
  uint64_t host;         /**< who offers */
};

/* control_pulls.c */
/** Shall the host that offers be asked now?  Another may be under way, or a
 * nearer one be waited for; then it is asked later if need be. */
bool control_pulls_should_request (struct control_task *task,
                                   const struct control_offer *offer);
/** VERSION of the object is held. */
void control_pulls_complete (struct control_task *task, uint64_t key,
                             uint64_t version);
void control_pulls_expire (struct control_task *task, int64_t now_ms);
void control_pulls_prepare (struct control_task *task);
void control_pulls_release (struct control_task *task);

/* control_tombstones.c: removals of what comes and goes by itself */
/** Are removed objects of KIND kept for a bounded time only? */
bool control_tombstones_apply_to (const char *kind);
void control_tombstones_create (struct control_task *task);
void control_tombstones_destroy (struct control_task *task);
/** OBJECT has been removed. */
void control_tombstones_add (struct control_task *task,
                             const struct control_object *object);
void control_tombstones_expire (struct control_task *task, int64_t now_ms);
/** The platform's list of KIND as of REVISION was taken in. */
void control_tombstones_note_list (struct control_task *task, const char *kind,
                                   uint64_t revision);
/** Is what a peer pushed an object that was removed long ago? */
bool control_tombstones_is_outdated (struct control_task *task,
                                     const char *kind, const char *name,
                                     uint64_t version, const char *value);

/* control_sets.c */
/** Choose relays, neighbours and host sets anew, a bounded number a turn.
 * @return whether there is more to do. */
bool control_sets_refresh (struct control_task *task);
void control_sets_free_service (struct control_service *service);

/* control_query.c */
void control_query_receive (struct control_task *task,
                            const struct control_source *source,
                            const struct peer_message *message);
void control_query_release (struct control_task *task);

/* control_report.c */
void control_report_register (struct control_task *task);
void control_report_count (struct control_task *task);

#endif
