/** @file
 * Declarations shared by the sources of the ejection task only.
 */
#ifndef NODE_EJECTION_INTERNAL_H
#define NODE_EJECTION_INTERNAL_H

#include <stdbool.h>

#include <uthash.h>

#include "node/ejection/ejection_messages.h"
#include "node/ejection/ejection_task.h"
#include "policy/detection/detector.h"
#include "policy/floor/floor_owner.h"
#include "policy/floor/floor_view.h"

enum
{
  /* Maximum number of pollers to which an owner sends a changed decision at
     once; other hosts receive it when they poll next. */
  EJECTION_POLLERS_MAX = 64,
  EJECTION_PROBES_MAX = 16,
  /* Maximum number of targets that a host should avoid; many more can't
     be explained by path faults. */
  EJECTION_AVOIDED_MAX = 64,
  EJECTION_COMMANDS_MAX = 256,
  /* A host lets requests through to a target on trial for time slices of this
     length, so that its connections to it are reused. */
  EJECTION_TRIAL_SLICE_MS = 2000,
};

/* Reason for the result of a command; the numbers are part of the protocol. */
enum ejection_reason
{
  EJECTION_REASON_NONE,
  EJECTION_REASON_BELOW_FLOOR,     /* would breach the floor */
  EJECTION_REASON_NO_SUCH_TARGET,  /* no such active target */
  EJECTION_REASON_NOT_EJECTED,     /* the target isn't ejected */
  EJECTION_REASON_VERSION_CHANGED, /* the record changed */
  EJECTION_REASON_NOT_OWNER,       /* this host doesn't own the service */
  EJECTION_REASON_SETTINGS_BEHIND, /* the owner's settings are behind */
  EJECTION_REASON_UNCONFIRMED,     /* carried out, but not yet in the record at
                                      the platform */
  EJECTION_REASON_NO_SUCH_SERVICE, /* no such service */
  EJECTION_REASON_BUSY,            /* too many commands in progress */
  EJECTION_REASON_COUNT
};

/* A host that polled this owner. */
struct ejection_poller
{
  char host[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  uint64_t incarnation;
  int64_t poll_ms;     /* time of the last poll by the host's clock */
  int64_t received_ms; /* time of its receipt by this host's clock */
  uint32_t demand;     /* as in ejection_report */
};

/* A target on trial: requests are let through for a share of the time. */
struct ejection_trial
{
  char target[FLOOR_NAME_SIZE];
  uint32_t share_permille;
};

struct ejection_names
{
  char (*names)[FLOOR_NAME_SIZE];
  size_t count;
};

struct target_probe;

struct ejection_service
{
  struct ejection_task *task;
  char name[SERVICE_NAME_SIZE];
  struct service_spec *spec; /* NULL until in force */
  uint64_t *keys;            /* of its targets */
  struct floor_owner *owner;
  uint32_t restores; /* of the platform, that the owner knows of */
  struct floor_view *view;

  /* The host set. */
  char (*hosts)[SERVICE_NAME_SIZE];
  size_t host_count;
  int rank; /* this host's index in the set; -1: not in it */

  /* The owner of the service, as known to this host. */
  char owner_name[PEER_NAME_SIZE];
  int64_t owner_seen_ms;     /* last decision received from it */
  int64_t owner_reported_ms; /* last redirect to it by another host */
  int64_t next_poll_ms;
  int64_t last_outcome_ms; /* last time with outcomes to report */
  int64_t next_refresh_ms; /* next poll without outcomes to report */
  size_t next_host;        /* next host of the set to poll for the owner */

  /* Enforcement. */
  struct ejection_trial *trials;
  size_t trial_count;
  struct ejection_names posted; /* last posted as BUS_EJECTIONS */

  /* What the owner has sent to this host only: its share of the slots, and the
     targets to avoid. */
  struct slot_share share;
  struct ejection_names avoided;
  int64_t answered_poll_ms; /* time of the poll that was answered */
  int64_t share_expires_ms; /* share and targets to avoid expire then */
  uint32_t reported_demand; /* last reported to the owner */

  /* Used while this host is the owner. */
  struct detection_detector *detector;
  uint64_t detector_version; /* version of its settings */
  bool is_updating;          /* in ejection_owner_update() */
  struct ejection_poller pollers[EJECTION_POLLERS_MAX];
  size_t poller_count;
  struct ejection_names announced; /* targets of the last decision */
  struct detection_path *path_faults;
  size_t path_fault_count;
  enum floor_role role; /* at the last ejection_owner_update() */
  uint64_t role_epoch;
  const char *why;      /* reason for the current change, for the log */
  uint64_t refused_key; /* last refusal logged */
  enum floor_eject_result refused_verdict;
  struct target_probe *probes[EJECTION_PROBES_MAX];
  uint64_t probe_keys[EJECTION_PROBES_MAX];

  UT_hash_handle hh;
};

/* An operator's command in progress. */
struct ejection_command
{
  struct operator_command command;
  uint64_t id;
  operator_result_done *done; /* NULL: received from another host */
  void *owner;
  char from[PEER_NAME_SIZE];         /* that host */
  uint64_t from_id;                  /* id of the command at that host */
  char forwarded_to[PEER_NAME_SIZE]; /* the owner; "" if not forwarded */
  uint64_t acted_on_version;
  int64_t expires_ms;
  bool is_started; /* the claim has changed; the record may not have */
  bool is_ended;
  enum status status;
  enum ejection_reason reason;
  uint64_t version;
  struct ejection_command *prev;
  struct ejection_command *next;
};

struct ejection_counters
{
  struct counter *ejected;
  struct counter *reinstated;
  struct counter *refused;
  struct counter *takeovers;
  struct counter *platform_calls;
  struct counter *reports;
};

struct ejection_task
{
  struct ejection_task_options options;
  struct ejection_service *services;
  struct ejection_command *commands;
  size_t command_count;
  uint64_t command_id;
  struct detection_report_item *items; /* buffer for one report */
  struct ev_timer tick_timer;
  struct ev_timer completion_timer; /* results are sent from the loop */
  struct ejection_counters counters;
  bool is_leaving;
};

/* ejection_task.c */
struct ejection_service *ejection_find_service (struct ejection_task *task,
                                                const char *name);
int64_t ejection_now_ms (const struct ejection_task *task);
/* The tick interval, which is the maximum delay until an expiry is noticed. */
uint32_t ejection_tick_interval_ms (const struct ejection_task *task);
void ejection_names_assign (struct ejection_names *to,
                            const char (*names)[FLOOR_NAME_SIZE],
                            size_t count);
bool ejection_names_has (const struct ejection_names *names, const char *name);

/* ejection_service.c: the state of a service at every host */
struct ejection_service *ejection_service_create (struct ejection_task *task,
                                                  const char *name);
void ejection_service_destroy (struct ejection_service *service);
void ejection_service_set_spec (struct ejection_service *service,
                                const struct service_spec *spec);
void ejection_service_set_hosts (struct ejection_service *service,
                                 const struct bus_host_set *set);
void ejection_service_tick (struct ejection_service *service);

/* ejection_enforce.c: applies received decisions */
void ejection_service_receive_notice (struct ejection_service *service,
                                      const char *from,
                                      const struct ejection_notice *notice);
/* Apply a decision of this host as owner. */
void ejection_service_apply_own (struct ejection_service *service,
                                 const struct ejection_notice *notice);
/* Post BUS_EJECTIONS if the enforced set has changed. */
void ejection_service_post_enforced (struct ejection_service *service);

/* ejection_service.c: names and keys of targets */
const char *ejection_target_name (const struct ejection_service *service,
                                  uint64_t key);
uint64_t ejection_target_key (const struct ejection_service *service,
                              const char *name);

/* ejection_owner.c: the role of the owner */
/* Carry out what the floor authority requires: platform calls, and changes of
   role and decision. */
void ejection_owner_update (struct ejection_service *service);
void ejection_owner_receive_report (struct ejection_service *service,
                                    const char *from,
                                    const struct ejection_report *report);
void ejection_owner_detect (struct ejection_service *service);
/* Send the current decision to POLLER. */
void ejection_owner_announce (struct ejection_service *service,
                              const struct ejection_poller *poller);
void ejection_owner_release (struct ejection_service *service);
void ejection_owner_clear (struct ejection_service *service);

/* ejection_detect.c: runs the detector and carries out its decisions, as far
   as the floor permits */
void ejection_detect (struct ejection_service *service);
/* DECISION is about to be announced: log its changes, and report them to the
   detector. */
void ejection_detect_announced (struct ejection_service *service,
                                const struct floor_decision *decision);
/* The share of time, in permille, for which requests are let through to TARGET
   on trial; 0: it isn't on trial. */
uint32_t ejection_detect_trial_share (const struct ejection_service *service,
                                      const char *target);

/* ejection_shares.c: division of the slots by demand */
/* The demand of this host for slots, rounded up so that it rarely changes. */
uint32_t ejection_shares_demand (const struct ejection_service *service);
/* As owner: the share of POLLER. */
struct slot_share
ejection_shares_grant (const struct ejection_service *service,
                       const struct ejection_poller *poller);
/* Apply the share and the targets to avoid that a decision contains. */
void ejection_shares_receive (struct ejection_service *service,
                              const struct ejection_notice *notice);
/* Discard the share and the targets to avoid once they have expired. */
void ejection_shares_tick (struct ejection_service *service, int64_t now_ms);

/* ejection_paths.c: targets that fail for some hosts only */
/* As owner: store the path faults that the detector found. */
void ejection_paths_set (struct ejection_service *service,
                         const struct detection_path *paths, size_t count);
/* As owner: get the targets that POLLER should avoid, at most
   EJECTION_AVOIDED_MAX names. */
size_t ejection_paths_for_poller (const struct ejection_service *service,
                                  const struct ejection_poller *poller,
                                  char (*names)[PEER_NAME_SIZE]);
/* Post BUS_PATH_FAULTS with the targets to avoid here if they have changed. */
void ejection_paths_post (struct ejection_service *service,
                          const char (*names)[PEER_NAME_SIZE], size_t count);

/* ejection_calls.c: platform calls of the floor authority */
void ejection_calls_start_next (struct ejection_service *service);

/* ejection_command.c: operator commands */
void ejection_command_receive (struct ejection_task *task, const char *from,
                               const struct ejection_command_message *message);
void ejection_commands_tick (struct ejection_task *task);
void ejection_commands_complete (struct ejection_task *task);
void ejection_commands_drop (struct ejection_task *task);

/* ejection_rows.c: rows of the operator table "ejections" */
struct json_object *ejection_rows (void *owner);

#endif
