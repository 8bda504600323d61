/** @file
 * What the control task keeps of objects, services, reads and writes of the
 * platform; only its own sources include it.
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

/** One object of the platform, as newest known here. */
struct control_object
{
  uint64_t key; /**< settings_key() */
  char kind[PEER_KIND_SIZE];
  char name[PEER_NAME_SIZE];
  uint64_t version;
  char *value; /**< NULL: removed */
  UT_hash_handle hh;
};

/** The removal of a target that isn't believed yet. */
struct control_removal
{
  char name[PEER_NAME_SIZE];
  uint64_t version;
  int64_t due_ms;
  struct control_removal *prev, *next;
};

/** The removal of an object, kept for a bounded time. */
struct control_tombstone
{
  uint64_t key;
  uint64_t version;
  int64_t removed_ms; /**< when it came */
};

/** A service in force here. */
struct control_service
{
  char name[PEER_NAME_SIZE];
  uint64_t key;        /**< hash of the name of its group */
  uint64_t version;    /**< in force; a newer bad one may be held */
  uint64_t rate;       /**< that its targets may get, also those that leave */
  uint64_t generation; /**< of hosts that its set was chosen from */
  bool is_published;
  bool includes_self;
  uint64_t set_hash; /**< of hosts and their incarnations */
  uint64_t *set;     /**< keys of its hosts, best placed first */
  size_t set_count;
  UT_hash_handle hh;
};

/** Where a message came from; the answer goes back the same way. */
struct control_source
{
  struct control_host *host;
  struct peer_conn *conn; /**< one of both */
  struct peer_link *link;
};

/** What is read of one kind from the platform. */
struct control_feed
{
  struct control_task *task;
  const char *kind;
  uint64_t revision;
  bool is_listed;            /**< revision is one to watch from */
  bool is_waiting;           /**< a call is under way */
  uint32_t watch_timeout_ms; /**< of the watch under way */
  bool is_watched_by_all;    /**< every host watches, not only relays */
  int64_t asked_ms;          /**< when the call under way was made */
  bool was_refused; /**< the platform didn't know the revision any more */
  enum platform_read_mode age;   /**< that the call under way asked for */
  int64_t last_current_reply_ms; /**< when an answer of no age came */
  int64_t recovered_ms; /**< when a call was answered after one had failed */
  uint32_t backoff_ms;
  struct ev_timer retry;
};

/** This host's own object at the platform. */
struct control_registration
{
  struct control_task *task;
  bool is_waiting;
  bool is_registered; /**< the platform holds our record as it is */
  bool must_read;     /**< the platform may hold another version */
  uint64_t version;   /**< that the platform holds, as far as is known */
  uint32_t backoff_ms;
  uint32_t restore_backoff_ms; /**< for a record removed again and again */
  int64_t last_removed_ms;     /**< when it was last removed */
  struct ev_timer retry;
};

/** Removal of the records of hosts that are gone, one at a time. */
struct control_cleanup
{
  bool is_waiting;
  char name[HOST_NAME_SIZE]; /**< being removed */
  uint64_t version;
  int64_t retry_at_ms;
  int64_t last_tick_ms;
  struct counter *forgotten_total;
};

/** A question to the platform whether the configuration is the newest. */
struct control_freshness_query
{
  struct control_task *task;
  bool is_waiting;
  int64_t asked_ms;
  uint64_t revision; /**< changes up to it have been seen */
};

/** A heartbeat sent for another host that can't get an answer. */
struct control_indirect_check
{
  uint64_t requester;
  uint64_t subject;
  int64_t asked_ms;
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

/** Blocked requests in the platform, listed at start and written one at a
 * time. */
struct control_poison_store
{
  struct control_task *task;
  struct control_poison_write *writes;
  /** The blocks that this host has written to the platform. */
  struct control_poison_stored_name *stored_names;
  size_t write_count;
  bool is_waiting;
  struct ev_timer retry;
  uint32_t backoff_ms;
  struct ev_timer list_retry;
  uint32_t list_backoff_ms;
};

#endif
