/** @file
 * Declarations shared by the sources of the control task; no other folder
 * includes this file.
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
#include "node/pause_watch.h"
#include "node/registry/registry.h"
#include "policy/access/freshness.h"
#include "policy/fleet/host_set.h"
#include "policy/fleet/membership.h"
#include "policy/fleet/settings_index.h"
#include "wire/peer/peer_link.h"
#include "wire/peer/peer_server.h"

enum control_limit
{
  /** A link is closed when nothing has been sent on it for this long. */
  CONTROL_LINK_IDLE_MS = 30000,
  CONTROL_MONITORED_MAX = 128,
  CONTROL_UNDECIDED_MAX = 16,
  /** Membership updates sent along with one heartbeat. */
  CONTROL_GOSSIP_UPDATES_MAX = 8,
  CONTROL_INDIRECT_CHECKERS = 3,
  /** Pending indirect checks on behalf of other hosts. */
  CONTROL_INDIRECT_CHECKS_MAX = 64,
  CONTROL_FEEDS_MAX = 3,
  /** Of a report of outcomes: key of the target, how the attempt ended. */
  CONTROL_OUTCOME_COLUMNS = 2,
  /** Heartbeat intervals within which hosts that start together have learned
   * of each other, from the list of hosts and from their neighbours. */
  CONTROL_SETTLE_HEARTBEATS = 3,
};

/** A host of the fleet, this one included. */
struct control_host
{
  uint64_t key;
  struct host_record record;
  bool is_listed;        /**< it is on the platform's list */
  bool is_removed;       /**< it was on the list and no longer is */
  int64_t gone_since_ms; /**< dead or leaving since then; 0: neither */
  struct peer_link *link;
  int64_t link_used_ms; /**< when the link was last used */
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
  struct ev_timer refresh_timer; /**< after changes of hosts or services */
  struct ev_timer local_timer;   /**< delivers messages to this host itself */
  struct registry *registry; /**< NULL: each service is an object of its own */
  struct control_feed feeds[CONTROL_FEEDS_MAX];
  size_t feed_count;
  struct control_registration registration;
  struct control_outage outage;
  struct control_restore restore;
  struct control_startup startup;
  struct freshness freshness;
  struct control_freshness_query freshness_query;
  struct control_delegates delegates;
  struct control_cleanup cleanup;
  struct control_tombstone *tombstones; /**< ring buffer */
  size_t tombstone_first;               /**< oldest */
  size_t tombstone_count;
  /** Host and target records that aren't known here and have a version up to
   * these were removed. */
  uint64_t host_version_floor;
  uint64_t target_version_floor;
  struct control_removal *removals; /**< deferred */
  struct ev_timer removal_timer;
  struct control_handler_entry handlers[PEER_TYPE_END];
  struct control_local_message *local_messages;
  struct control_outcomes *outcomes; /**< not reported yet */
  struct ev_timer outcome_timer;     /**< sends outcome reports */
  struct control_poison_store poison;
  struct control_pull *pulls; /**< in flight, by key */
  struct ev_timer pull_timer;
  struct control_query *queries;
  uint64_t last_query_id;
  struct control_indirect_check indirect_checks[CONTROL_INDIRECT_CHECKS_MAX];
  size_t indirect_check_count;
  struct fleet_host *fleet; /**< usable hosts to select from */
  size_t fleet_count;
  uint64_t fleet_generation; /**< of `fleet`; incremented with each change */
  struct fleet_choice relays;
  struct fleet_choice leading;      /**< the first of the relays */
  struct fleet_choice coordinators; /**< of quotas */
  bool is_relay;
  bool is_leading; /**< a relay that reads the newest state */
  int64_t started_ms;
  /** When this host had run for long enough to have learned of the others; 0:
   * not yet. */
  int64_t settled_ms;
  bool is_leaving;
  bool is_stale;
  bool has_settings;
  bool hosts_changed;      /**< since `fleet` was built */
  int64_t last_contact_ms; /**< with the platform or a relay */
  /** Newest contact that other hosts have confirmed while they had the same
   * settings. */
  int64_t relayed_contact_ms;
  /** This host reads the newest state until then, as nobody informs it. */
  int64_t self_read_end_ms;
  struct ev_timer contact_timer; /**< looks whether that is so */
  int64_t posted_contact_ms;     /**< known to the caller task */
  int64_t resumed_ms; /**< the process stood still until then; 0: never */
  struct pause_watch pause_watch;
  int64_t last_compared_ms; /**< when bucket hashes were last compared */
  uint64_t last_probed_key; /**< key of the dead host that was last probed */
};

/* control_hosts.c */
struct control_host *control_hosts_find (const struct control_task *task,
                                         uint64_t key);
struct control_host *control_hosts_by_name (const struct control_task *task,
                                            const char *name);
/** Add a host, or replace its record by a newer one. */
struct control_host *control_hosts_update (struct control_task *task,
                                           const struct host_record *record);
/** Send MESSAGE on the link to HOST, which is opened if necessary. */
enum status control_hosts_send (struct control_task *task,
                                struct control_host *host,
                                const struct peer_message *message);
/** Close links that are idle or lead to a former address. */
void control_hosts_close_idle (struct control_task *task, int64_t now_ms);
void control_hosts_release (struct control_task *task);
/** Whether HOST is among the relays. */
bool control_hosts_is_relay (const struct control_task *task, uint64_t key);

/* control_task.c */
/** Handle MESSAGE from SOURCE. */
void control_receive (struct control_task *task,
                      const struct control_source *source,
                      const struct peer_message *message);
/** Reply to SOURCE.  A full queue drops the reply; every reply is requested
 * again. */
void control_reply (struct control_task *task,
                    const struct control_source *source,
                    const struct peer_message *message);
/** Handle MESSAGE received on LINK. */
void control_link_receive (struct control_task *task, struct peer_link *link,
                           const struct peer_message *message);
/** Services have changed: select the sets of the new ones soon. */
void control_refresh_soon (struct control_task *task);
/** Hosts have changed: select relays, neighbours and host sets again soon. */
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
/** Send one heartbeat to each monitored host now. */
void control_members_send_heartbeats (struct control_task *task,
                                      int64_t now_ms);
void control_members_receive (struct control_task *task,
                              const struct control_source *source,
                              const struct peer_message *message);
/** Process membership changes: log them, refresh host sets and send gossip. */
void control_members_apply_changes (struct control_task *task);
/** There was contact with the platform or a relay at AT_MS. */
void control_members_note_contact (struct control_task *task, int64_t at_ms);
/** Send pending membership updates to the monitored hosts at once. */
void control_members_gossip (struct control_task *task);
void control_members_leave (struct control_task *task);

/* control_settings.c */
/** Apply an object if its VERSION is higher than the one known here, or a
 * configuration if its own version is.  VIA says how it arrived, for the log:
 * "list", "watch", "host NAME", ...
 * @return whether it was */
bool control_settings_apply (struct control_task *task, const char *kind,
                             const char *name, uint64_t version,
                             const char *value, const char *via);
void control_settings_receive (struct control_task *task,
                               const struct control_source *source,
                               const struct peer_message *message);
/** Compare buckets if the settings of SOURCE have another HASH than those
 * here. */
void control_settings_compare (struct control_task *task,
                               const struct control_source *source,
                               uint64_t hash);
void control_settings_release (struct control_task *task);

/* control_services.c */
/** The service in force called NAME, or NULL. */
struct control_service *control_services_find (const struct control_task *task,
                                               const char *name);
/** Put SPEC in force here; takes ownership of it. */
void control_services_enforce (struct control_task *task,
                               struct service_spec *spec);
void control_services_remove (struct control_task *task, const char *name,
                              uint64_t version);

/* control_registry.c */
void control_registry_create (struct control_task *task);
/** Put a configuration in force.
 * @return STATUS_REFUSED if it isn't newer than the one in force;
 * STATUS_INVALID if it can't be used; STATUS_NOT_FOUND for a removal, which
 * changes nothing, and for other names */
enum status control_registry_apply_config (struct control_task *task,
                                           const char *name, uint64_t version,
                                           const char *value);
void control_registry_apply_target (struct control_task *task,
                                    const char *name, uint64_t version,
                                    const char *value);

/* control_removals.c */
/** Defer the removal of a target if it may be a result of a platform outage.
 * VIA says how it arrived, for the log.
 * @return whether it is deferred */
bool control_removals_defer (struct control_task *task, const char *name,
                             uint64_t version, const char *via);
/** Let target NAME, whose lost removal was kept, return a while later in the
 * state VALUE. */
void control_removals_return_later (struct control_task *task,
                                    const char *name, uint64_t version,
                                    const char *value);
void control_removals_start (struct control_task *task);
void control_removals_stop (struct control_task *task);

/* control_outage.c */
/** The platform was available at AT_MS: it has answered a call of this host,
 * or of another one that says so. */
void control_outage_note_answer (struct control_task *task, int64_t at_ms);
/** When the last outage ended; now if one lasts; 0 if there was none. */
int64_t control_outage_end_ms (const struct control_task *task);
/** The platform has come back from an older copy. */
void control_outage_note_restore (struct control_task *task);

/* control_restore.c: the platform comes back from an older copy */
void control_restore_start (struct control_task *task);
/** Replace CHANGE, the first state of a target since a restore, by the state
 * HELD here if that is a leaving or a removal that the restore lost.
 * @return whether it was */
bool control_restore_keep (struct control_task *task,
                           const struct control_object *held,
                           struct control_change *change);
/** A kind of objects has been listed. */
void control_restore_note_list (struct control_task *task);
void control_restore_stop (struct control_task *task);

/* control_startup.c: hosts that start on a platform that may have lost what
   other hosts know */
/** Put no settings in force until they have been compared with those of
 * another host, none is listed, the platform shows no era, or time is up. */
void control_startup_start (struct control_task *task);
/** Put the settings in force if one of these is so. */
void control_startup_check (struct control_task *task);
/** HOST has the same settings, or has offered those in which it differs. */
void control_startup_note_compared (struct control_task *task,
                                    const struct control_host *host);
/** Shortest time between two comparisons. */
uint32_t control_startup_compare_interval_ms (const struct control_task *task);
/** The first configuration has been read or received. */
void control_startup_note_config (struct control_task *task);
void control_startup_stop (struct control_task *task);

/* control_outcomes.c */
/** Start reporting the outcomes of attempts here to the hosts of a service's
 * set. */
void control_outcomes_start (struct control_task *task);
/** Process REPORT.  If its sender is outside the set and this host is the one
 * of the set that responds to it, send it the failed targets. */
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

/* control_retries.c: transfer of retries from hosts of a set to hosts outside
 * it */
void control_retries_start (struct control_task *task);
/** Process a request for retries, or retries received, if REPORT is one. */
void control_retries_receive (struct control_task *task,
                              const struct control_source *source,
                              const struct peer_report *report);

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
/** Write the blocks that this host stored again if the platform has lost
 * them. */
void control_poison_store_write_again (struct control_task *task);
/** Remove a cleared block from the platform if this host stored it. */
void control_poison_store_clear (struct control_task *task,
                                 const struct fingerprint *fingerprint);
void control_poison_store_stop (struct control_task *task);
void control_poison_store_release (struct control_task *task);

/* control_delegates.c: hosts that read for relays that can't */
void control_delegates_start (struct control_task *task);
/** Whether this host has to read the newest state for a relay. */
bool control_delegates_is_delegate (const struct control_task *task);
/** The platform didn't answer a read of settings. */
void control_delegates_note_failure (struct control_task *task);
/** Process REPORT.
 * @return whether it was about reading for a relay */
bool control_delegates_receive (struct control_task *task,
                                const struct control_source *source,
                                const struct peer_report *report);
void control_delegates_stop (struct control_task *task);

/* control_contact.c: whether other hosts inform this one of changes */
void control_contact_start (struct control_task *task);
/** Another host answered a heartbeat of this one. */
void control_contact_note_answer (struct control_task *task,
                                  const struct peer_heartbeat *answer);
/** A read of the newest state has succeeded. */
void control_contact_note_read (struct control_task *task);
/** Whether this host has to read the newest state since nobody informs it. */
bool control_contact_reads_for_itself (const struct control_task *task);
void control_contact_stop (struct control_task *task);

/* control_platform.c */
void control_platform_start (struct control_task *task);
/** Relays start to watch, other hosts stop. */
void control_platform_wake (struct control_task *task);
/** Make the calls in flight again. */
void control_platform_restart (struct control_task *task);
/** List again what is watched from a revision of an earlier era. */
void control_platform_list_again (struct control_task *task);
/** Whether this host would learn of a change within the time of a call: it is
 * reading the newest state, and no answer is overdue. */
bool control_platform_is_current (const struct control_task *task);
/** Whether host records are being watched and the last call was answered. */
bool control_platform_hosts_are_current (const struct control_task *task,
                                         int64_t now_ms);
void control_platform_stop (struct control_task *task);

/* control_freshness.c: whether the configuration in force here is the
   newest */
void control_freshness_start (struct control_task *task);
/** Whether freshness has to be proven: keys must be revoked within a bound. */
bool control_freshness_is_required (const struct control_task *task);
/** How long a leading relay's watch of configurations may wait. */
uint32_t control_freshness_watch_ms (const struct control_task *task);
/** The platform has shown all changes accepted before REQUESTED_MS. */
void control_freshness_note_current (struct control_task *task,
                                     int64_t requested_ms);
/** The platform has shown a change, and there may be more. */
void control_freshness_note_change (struct control_task *task);
/** Another host answered a heartbeat of this one with ANSWER. */
void control_freshness_receive_ack (struct control_task *task,
                                    const struct peer_heartbeat *answer);
/** The configuration of VERSION is in force. */
void control_freshness_set_version_in_force (struct control_task *task,
                                             uint64_t version);
/** Whether this host must refuse requests with keys. */
bool control_freshness_is_expired (const struct control_task *task,
                                   int64_t now_ms);
/** Ask relays, and finally the platform, before that becomes necessary. */
void control_freshness_tick (struct control_task *task, int64_t now_ms);
void control_freshness_stop (struct control_task *task);

/* control_registration.c: this host's own record at the platform */
void control_registration_start (struct control_task *task);
/** Write the record again. */
void control_registration_write (struct control_task *task);
/** Read the record soon and write it if the platform has lost it. */
void control_registration_check (struct control_task *task);
/** The platform has no record, or that of an earlier process, with VERSION:
 * write it soon, if repeated with back-off. */
void control_registration_restore (struct control_task *task,
                                   uint64_t version);
void control_registration_stop (struct control_task *task);
/** Start TIMER, which repeats a call to the platform, after a back-off that
 * grows with each failure up to MAX_MS. */
void control_retry_within (struct control_task *task, struct ev_timer *timer,
                           uint32_t *backoff_ms, uint32_t max_ms);
/** The same with the longest back-off. */
void control_retry_later (struct control_task *task, struct ev_timer *timer,
                          uint32_t *backoff_ms);

/* control_cleanup.c */
void control_cleanup_start (struct control_task *task);
/** HOST is in STATE as of NOW_MS. */
void control_cleanup_note_state (struct control_host *host,
                                 enum member_state state, int64_t now_ms);
/** Remove the record of at most one host that is permanently gone. */
void control_cleanup_tick (struct control_task *task, int64_t now_ms);
void control_cleanup_stop (struct control_task *task);

/** An object of which another host has a newer version. */
struct control_offer
{
  uint64_t key;
  uint64_t version;
  uint64_t held_version; /**< version known here; 0: none */
  size_t held_bytes;     /**< size of the value known here */
  uint64_t host;         /**< key of the offering host */
};

/* control_pulls.c */
/** Whether to request the object from the offering host now.  If a request is
 * already in flight, or a nearer host may offer it, it is requested later if
 * necessary. */
bool control_pulls_should_request (struct control_task *task,
                                   const struct control_offer *offer);
/** VERSION of the object has arrived. */
void control_pulls_complete (struct control_task *task, uint64_t key,
                             uint64_t version);
/** Whether an object that was offered is still missing. */
bool control_pulls_has_open (const struct control_task *task);
void control_pulls_expire (struct control_task *task, int64_t now_ms);
void control_pulls_prepare (struct control_task *task);
void control_pulls_release (struct control_task *task);

/* control_tombstones.c: removals of hosts and targets */
/** Whether removals of objects of KIND are kept for a limited time only. */
bool control_tombstones_apply_to (const char *kind);
void control_tombstones_create (struct control_task *task);
void control_tombstones_destroy (struct control_task *task);
/** OBJECT has been removed. */
void control_tombstones_add (struct control_task *task,
                             const struct control_object *object);
void control_tombstones_expire (struct control_task *task, int64_t now_ms);
/** The platform's list of KIND as of REVISION has been applied. */
void control_tombstones_note_list (struct control_task *task, const char *kind,
                                   uint64_t revision);
/** Whether an object pushed by a peer was removed long ago. */
bool control_tombstones_is_outdated (struct control_task *task,
                                     const char *kind, const char *name,
                                     uint64_t version, const char *value);

/* control_sets.c */
/** Select relays, neighbours and host sets again, a bounded number per call.
 * @return whether there is more to do */
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
