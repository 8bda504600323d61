/** @file
 * Records that the control task keeps of objects, services, and calls to the
 * platform; only its own sources include this file.
 */
#ifndef NODE_CONTROL_CONTROL_RECORDS_H
#define NODE_CONTROL_CONTROL_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <uthash.h>

#include "base/counters.h"
#include "node/control/control_task.h"
#include "node/control/host_record.h"
#include "wire/peer/peer_link.h"
#include "wire/peer/peer_server.h"
#include "wire/platform.h"

struct control_host;

/** An object of the platform in the newest version known here. */
struct control_object
{
  uint64_t key; /**< settings_key() */
  char kind[PEER_KIND_SIZE];
  char name[PEER_NAME_SIZE];
  uint64_t version;
  char *value; /**< NULL: removed */
  /** The platform's revision of what a removal removed. */
  uint64_t removed_revision;
  UT_hash_handle hh;
};

/** A new state of an object. */
struct control_change
{
  const char *kind;
  const char *name;
  uint64_t version;
  const char *value; /**< NULL: removed */
  const char *via;   /**< how it arrived, for the log */
};

/** A deferred removal or return of a target. */
struct control_removal
{
  char name[PEER_NAME_SIZE];
  uint64_t version;
  char *value; /**< of a target that returns; NULL: it is removed */
  int64_t due_ms;
  struct control_removal *prev, *next;
};

/** The removal of an object, kept for a limited time. */
struct control_tombstone
{
  uint64_t key;
  uint64_t version;
  int64_t removed_ms; /**< when the removal arrived */
};

/** A service in force here. */
struct control_service
{
  char name[PEER_NAME_SIZE];
  uint64_t key;     /**< hash of its group's name */
  uint64_t version; /**< in force; a newer, invalid one may be stored */
  uint64_t rate;    /**< maximum of its targets, drained ones included */
  uint64_t fleet_generation; /**< that its set was selected from */
  bool is_published;
  bool includes_self;
  uint64_t set_hash; /**< of hosts and their incarnations */
  uint64_t *set;     /**< keys of its hosts, in order of rank */
  size_t set_count;
  UT_hash_handle hh;
};

/** The origin of a message; replies are sent the same way. */
struct control_source
{
  struct control_host *host;
  struct peer_conn *conn; /**< either this or `link` is set */
  struct peer_link *link;
};

/** The state of reading objects of one kind from the platform. */
struct control_feed
{
  struct control_task *task;
  const char *kind;
  uint64_t revision;
  uint64_t last_revision;    /**< of the last list or watch */
  bool is_listed;            /**< `revision` is one to watch from */
  bool is_pending;           /**< a call is in flight */
  uint32_t watch_timeout_ms; /**< of the watch in flight */
  bool is_watched_by_all;    /**< every host watches, not only relays */
  int64_t requested_ms;      /**< when the call in flight was made */
  bool was_refused;          /**< the platform no longer knew the revision */
  enum platform_read_mode read_mode; /**< of the call in flight */
  int64_t last_current_reply_ms;     /**< of the last read of newest state */
  int64_t proof_ms; /**< when the last answered one of these was made */
  uint32_t backoff_ms;
  /** Next back-off after a watch that can't be read; 0 once one could. */
  uint32_t unreadable_backoff_ms;
  uint32_t partial_count;     /**< watches in a row whose response was cut */
  bool is_unreadable;         /**< the last response couldn't be read */
  struct counter *unreadable; /**< such responses; NULL: not counted */
  struct ev_timer retry;
  bool is_overdue; /**< the call in flight should have been answered */
  struct ev_timer overdue;
};

/** The last time without the platform in which records of running targets may
 * have been removed. */
struct control_outage
{
  int64_t answered_ms; /**< last known answer, to any host; 0: none yet */
  int64_t ended_ms;    /**< 0: none yet */
  int64_t length_ms;   /**< how long no answer was known */
  const char *why;     /**< why a removal after it is held */
};

/** What this host does once it sees that the platform was restored. */
struct control_restore
{
  struct ev_timer timer; /**< reads everything again */
  bool is_reading;       /**< not all settings are read again yet */
  uint64_t from_era;
  uint64_t from_revision; /**< of the first kind */
  bool has_kept_config;   /**< the platform has lost the one in force */
  uint32_t kept_targets;  /**< whose leaving or removal is lost */
  uint32_t held_removals; /**< of targets whose records are lost */
  struct counter *era;
  struct counter *restores_total;
};

/** A host that starts puts its settings in force only once it has compared
 * them with another host, since the platform may have lost some of them. */
struct control_startup
{
  struct ev_timer timer;    /**< asks other hosts, and ends the hold */
  bool is_held;             /**< nothing is put in force */
  bool is_compared;         /**< the settings, with those of another host */
  int64_t waiting_since_ms; /**< of the first configuration; 0: none */
};

/** This host's own object on the platform. */
struct control_registration
{
  struct control_task *task;
  bool is_pending;
  bool is_registered; /**< the platform has the current record */
  bool must_read;     /**< the platform may have another version */
  uint64_t version;   /**< last known version on the platform */
  uint32_t backoff_ms;
  uint32_t restore_backoff_ms; /**< for a record that is removed repeatedly */
  int64_t last_removed_ms;     /**< when it was last removed */
  struct ev_timer retry;
};

/** Reading of the newest state by another host while the platform doesn't
 * answer a leading relay. */
struct control_delegates
{
  struct ev_timer timer;  /**< active while this leading relay can't read */
  uint64_t delegate;      /**< key of the host that reads for this one; 0 */
  uint32_t request_count; /**< different hosts requested */
  int64_t requested_ms;
  /** While this host is a delegate itself: the relay, and until when. */
  uint64_t requester;
  int64_t term_end_ms;
};

/** Removal of the records of dead hosts, one at a time. */
struct control_cleanup
{
  bool is_pending;
  char name[HOST_NAME_SIZE]; /**< of the record being removed */
  uint64_t version;
  int64_t retry_at_ms;
  int64_t last_tick_ms;
  struct counter *forgotten_total;
};

/** A query to the platform whether the configuration is the newest. */
struct control_freshness_query
{
  struct control_task *task;
  bool is_pending;
  int64_t requested_ms;
  uint64_t revision; /**< changes up to it have been received */
};

/** A heartbeat sent on behalf of another host that gets no answer. */
struct control_indirect_check
{
  uint64_t requester;
  uint64_t subject;
  int64_t requested_ms;
};

struct control_handler_entry
{
  control_handler *handler;
  void *owner;
};

struct control_query;
struct control_local_message;
struct control_outcomes;
struct control_poison_stored_name;
struct control_poison_write;
struct control_pull;

/** Blocked requests stored on the platform, listed at start and written one
 * at a time. */
struct control_poison_store
{
  struct control_task *task;
  struct control_poison_write *writes;
  /** The blocks that this host has written to the platform. */
  struct control_poison_stored_name *stored_names;
  size_t write_count;
  bool is_pending;
  struct ev_timer retry;
  uint32_t backoff_ms;
  struct ev_timer list_retry;
  uint32_t list_backoff_ms;
};

#endif
