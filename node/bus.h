/** @file
 * Messages between the tasks of a host.
 *
 * A task owns its sockets and its state; what another task must know is sent
 * to it as a message.  Messages are delivered on the event loop, in the order
 * posted, after the callback that posted them has returned.  Pointers in a
 * message are owned by the message and released once the last subscriber has
 * received it; a subscriber that keeps something copies it.
 */
#ifndef NODE_BUS_H
#define NODE_BUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "policy/access/freshness.h"
#include "policy/choice/slot_shares.h"
#include "policy/limit/limit_row.h"
#include "policy/poison/poison_row.h"
#include "policy/quota/quota_cache.h"
#include "policy/service_policy.h"
#include "wire/fleet_config.h"
#include "wire/service_spec.h"

enum bus_topic
{
  BUS_SERVICE_IN_FORCE, /**< a service appeared or changed */
  BUS_SERVICE_REMOVED,
  BUS_CONFIG_IN_FORCE, /**< the fleet's configuration changed */
  BUS_EJECTIONS,       /**< the enforced ejections of a service changed */
  BUS_SLOT_SHARES,     /**< this host's share of a service's slots changed */
  BUS_PATH_FAULTS,     /**< the targets that this host avoids changed */
  BUS_HOST_SET,        /**< the hosts listed to callers of a service changed */
  BUS_HOST_SAMPLE,     /**< other hosts, after a change of the fleet */
  BUS_OUTCOME_OBSERVED,    /**< an attempt of this host ended */
  BUS_OUTCOME_RECEIVED,    /**< an attempt of another host ended */
  BUS_MEMBERS,             /**< the view of the other hosts changed */
  BUS_FRESHNESS,           /**< proof that the configuration is the newest */
  BUS_FRESHNESS_REQUESTED, /**< requests wait for such a proof */
  BUS_CONTACT,             /**< newest contact with the platform */
  BUS_CONTACT_REQUESTED,   /**< requests wait for a newer one */
  BUS_QUOTA_REQUESTED,     /**< requests need tokens of a workspace */
  BUS_QUOTA_GRANTED,       /**< a coordinator's answer */
  BUS_POISON_ANNOUNCED,    /**< a change of poison requests, for other hosts */
  BUS_POISON_RECEIVED,     /**< such a change from another host */
  BUS_LIMITS_ANNOUNCED,    /**< a change of targets' limits, for other hosts */
  BUS_LIMITS_RECEIVED,     /**< such a change from another host */
  BUS_RETRIES_WANTED,      /**< this host, outside a set, lacks retries */
  BUS_RETRIES_REQUESTED,   /**< another host lacks retries */
  BUS_RETRIES_TRANSFERRED, /**< this host gives some to that host */
  BUS_RETRIES_RECEIVED,    /**< another host gives some to this one */
  BUS_SHUTDOWN,            /**< this host is leaving */
  BUS_TOPIC_COUNT
};

struct bus_service_in_force
{
  struct service_spec *spec;
};

struct bus_service_removed
{
  char name[SERVICE_NAME_SIZE];
  uint64_t version;
};

struct bus_config_in_force
{
  struct fleet_config *config;
};

/** Names of the targets of a service that get no requests because they are
 * ejected. */
struct bus_ejections
{
  char service[SERVICE_NAME_SIZE];
  uint64_t epoch;
  char (*targets)[SERVICE_NAME_SIZE];
  size_t count;
};

/** A host that is listed to callers. */
struct bus_host_entry
{
  char name[SERVICE_NAME_SIZE];
  char dc[SERVICE_NAME_SIZE];
  char caller_address[SERVICE_ADDRESS_SIZE];
};

/** The live hosts that serve a service, in order of preference.  With
 * BUS_HOST_SAMPLE: random live hosts, whatever they serve. */
struct bus_host_set
{
  char service[SERVICE_NAME_SIZE];
  bool self; /**< this host is in the set */
  struct bus_host_entry *hosts;
  size_t count;
  size_t fleet_count; /**< live hosts of the whole fleet */
};

/** The share of each target's slots that the owner of a service grants this
 * host; a zero share: no grant is in force. */
struct bus_slot_shares
{
  char service[SERVICE_NAME_SIZE];
  struct slot_share share;
};

/** Names of the targets of a service that fail only from this host or its dc:
 * avoided, not ejected. */
struct bus_path_faults
{
  char service[SERVICE_NAME_SIZE];
  char (*targets)[SERVICE_NAME_SIZE];
  size_t count;
};

/** How an attempt at a target ended. */
struct bus_outcome
{
  char service[SERVICE_NAME_SIZE];
  uint64_t target_key;
  enum attempt_end end;
};

/** Every change that was confirmed before `at_ms` is in force here. */
struct bus_contact
{
  int64_t at_ms;
};

/** Tokens of a workspace: requested (only answer.wanted is used) or
 * granted. */
struct bus_quota
{
  uint64_t workspace; /**< hash_string() of its name */
  struct quota_answer answer;
};

/** Which hosts receive an announcement. */
enum poison_recipients
{
  POISON_TO_SET,        /**< the hosts that serve the service */
  POISON_TO_RANDOM_FEW, /**< a few random hosts, which forward it */
  POISON_TO_RANDOM_ONE, /**< one random host */
};

/** State of requests that may crash targets. */
struct bus_poison
{
  char service[SERVICE_NAME_SIZE]; /**< "": rows of several services */
  struct poison_row *rows;
  size_t count;
  enum poison_recipients to; /**< with BUS_POISON_ANNOUNCED */
  bool is_stored; /**< with BUS_POISON_ANNOUNCED: write the first row to the
                     platform, or remove it if it isn't a block */
};

/** Which hosts receive an announcement. */
enum limit_recipients
{
  LIMIT_TO_SET,        /**< the hosts that serve the service */
  LIMIT_TO_RANDOM_FEW, /**< a few random hosts, which forward it */
  LIMIT_TO_RANDOM_ONE, /**< one random host */
};

/** Rate limits of a service's targets. */
struct bus_limits
{
  char service[SERVICE_NAME_SIZE];
  struct limit_row *rows;
  size_t count;
  enum limit_recipients to; /**< with BUS_LIMITS_ANNOUNCED */
};

/** Retries of a service that move from one host to another. */
struct bus_retries
{
  char service[SERVICE_NAME_SIZE];
  uint64_t host; /**< key of the receiver; with REQUESTED and
                      TRANSFERRED */
  uint32_t count;
};

struct bus_message
{
  enum bus_topic topic;
  union
  {
    struct bus_service_in_force service_in_force;
    struct bus_service_removed service_removed;
    struct bus_config_in_force config_in_force;
    struct bus_ejections ejections;
    struct bus_host_set host_set;
    struct bus_slot_shares slot_shares;
    struct bus_path_faults path_faults;
    struct bus_outcome outcome;
    struct freshness_proof freshness;
    struct bus_contact contact;
    struct bus_quota quota;
    struct bus_poison poison;
    struct bus_limits limits;
    struct bus_retries retries;
  };
};

struct bus;

typedef void bus_handler (void *owner, const struct bus_message *message);

struct bus *bus_create (struct ev_loop *loop);
void bus_destroy (struct bus *bus);
void bus_subscribe (struct bus *bus, enum bus_topic topic,
                    bus_handler *handler, void *owner);
/** Remove all subscriptions of OWNER. */
void bus_unsubscribe (struct bus *bus, void *owner);
/** Queue MESSAGE; the bus takes ownership of what it points to. */
void bus_post (struct bus *bus, const struct bus_message *message);

#endif
