/** @file
 * Inside of the ejection task, shared by its sources only.
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
  /* Hosts whose polls an owner answers at once when its decision changes;
     more are answered when they poll next. */
  EJECTION_POLLERS_MAX = 64,
  EJECTION_PROBES_MAX = 16,
  /* Targets a host is told to avoid; far more are no path's fault. */
  EJECTION_AVOID_MAX = 64,
  EJECTION_COMMANDS_MAX = 256,
  /* A target on trial gets whole slices of this length, so that a host's
     connections to it are of use. */
  EJECTION_TRIAL_SLICE_MS = 2000,
};

/* Why a command ended as it did; the numbers are part of the protocol. */
enum ejection_reason
{
  EJECTION_REASON_NONE,
  EJECTION_REASON_BELOW_FLOOR,     /* would breach the floor */
  EJECTION_REASON_NO_SUCH_TARGET,  /* no such active target */
  EJECTION_REASON_NOT_EJECTED,     /* nothing to reinstate */
  EJECTION_REASON_VERSION_CHANGED, /* the record changed */
  EJECTION_REASON_NOT_OWNER,       /* this host doesn't own the service */
  EJECTION_REASON_SETTINGS_BEHIND, /* the owner's settings are behind */
  EJECTION_REASON_UNCONFIRMED,     /* carried out, not at the platform yet */
  EJECTION_REASON_NO_SUCH_SERVICE, /* no such service */
  EJECTION_REASON_BUSY,            /* too many commands */
  EJECTION_REASON_COUNT
};

/* A host that polled this owner. */
struct ejection_poller
{
  char host[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  uint64_t incarnation;
  int64_t poll_ms;     /* its clock */
  int64_t received_ms; /* ours */
  uint32_t demand;
};

/* A target that is let through for some of the time. */
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
  struct floor_view *view;

  /* The host set. */
  char (*hosts)[SERVICE_NAME_SIZE];
  size_t host_count;
  int rank; /* this host's place in it; -1: not in it */

  /* Who owns the service, as far as this host has heard. */
  char owner_name[PEER_NAME_SIZE];
  int64_t owner_seen_ms;
  int64_t owner_reported_ms; /* another host said that it hears it */
  int64_t next_poll_ms;
  int64_t last_outcome_ms; /* last had outcomes to report */
  int64_t next_refresh_ms; /* when to poll even with nothing seen */
  size_t next_host;        /* next host to ask when the owner is silent */

  /* Enforcement. */
  struct ejection_trial *trials;
  size_t trial_count;
  struct ejection_names posted;

  /* What the owner has told this host alone: its part of the slots, and the
     targets to avoid. */
  struct slot_share share;
  struct ejection_names avoided;
  int64_t answered_poll_ms; /* the poll that was answered */
  int64_t share_expires_ms; /* lapses then */
  uint32_t reported_demand;

  /* While owner. */
  struct detection_detector *detector;
  uint64_t detector_version; /* of the settings it has */
  bool is_updating;
  struct ejection_poller pollers[EJECTION_POLLERS_MAX];
  size_t poller_count;
  struct ejection_names announced;
  struct detection_path *path_faults; /* at fault */
  size_t path_fault_count;
  enum floor_role role; /* as last seen */
  uint64_t role_epoch;
  const char *why;      /* of the change under way, for the log */
  uint64_t refused_key; /* last refusal logged */
  enum floor_eject_result refused_verdict;
  struct target_probe *probes[EJECTION_PROBES_MAX];
  uint64_t probe_keys[EJECTION_PROBES_MAX];

  UT_hash_handle hh;
};

/* An operator's command under way. */
struct ejection_command
{
  struct operator_command command;
  uint64_t id;
  operator_result_done *done; /* NULL: came from another host */
  void *owner;
  char from[PEER_NAME_SIZE]; /* that host */
  uint64_t from_id;
  char forwarded_to[PEER_NAME_SIZE]; /* passed on to; "" when it is ours */
  uint64_t acted_on_version;
  int64_t expires_ms;
  bool is_started; /* the claim is changed, not yet recorded */
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
  struct detection_report_item *items; /* room for one report */
  struct ev_timer tick_timer;
  struct ev_timer
      completion_timer; /* ended commands are answered from the loop */
  struct ejection_counters counters;
  bool is_leaving;
};

/* ejection_task.c */
struct ejection_service *ejection_find_service (struct ejection_task *task,
                                                const char *name);
int64_t ejection_now_ms (const struct ejection_task *task);
/* Between two beats; a lapse is noticed that late at most. */
uint32_t ejection_tick_interval_ms (const struct ejection_task *task);
void ejection_names_assign (struct ejection_names *to,
                            const char (*names)[FLOOR_NAME_SIZE],
                            size_t count);
bool ejection_names_has (const struct ejection_names *names, const char *name);

/* ejection_service.c: a service as every host sees it */
struct ejection_service *ejection_service_create (struct ejection_task *task,
                                                  const char *name);
void ejection_service_destroy (struct ejection_service *service);
void ejection_service_set_spec (struct ejection_service *service,
                                const struct service_spec *spec);
void ejection_service_set_hosts (struct ejection_service *service,
                                 const struct bus_host_set *set);
void ejection_service_tick (struct ejection_service *service);

/* ejection_enforce.c: what this host hears and enforces */
void ejection_service_receive_notice (struct ejection_service *service,
                                      const char *from,
                                      const struct ejection_notice *news);
/* A decision of this host as owner. */
void ejection_service_apply_own (struct ejection_service *service,
                                 const struct ejection_notice *news);
/* Post the enforced set if it changed. */
void ejection_service_post_enforced (struct ejection_service *service);

/* ejection_service.c again: names and keys of targets */
const char *ejection_target_name (const struct ejection_service *service,
                                  uint64_t key);
uint64_t ejection_target_key (const struct ejection_service *service,
                              const char *name);

/* ejection_owner.c: what the owner does */
/* Follow the floor authority: calls, role, decision. */
void ejection_owner_update (struct ejection_service *service);
void ejection_owner_receive_report (struct ejection_service *service,
                                    const char *from,
                                    const struct ejection_report *report);
void ejection_owner_detect (struct ejection_service *service);
/* Tell one poller, or all that polled lately. */
void ejection_owner_announce (struct ejection_service *service,
                              const struct ejection_poller *poller);
void ejection_owner_release (struct ejection_service *service);
void ejection_owner_clear (struct ejection_service *service);

/* ejection_detect.c: what the detector wants, within the floor */
void ejection_detect (struct ejection_service *service);
void ejection_detect_announced (struct ejection_service *service,
                                const struct floor_decision *decision);
uint32_t ejection_detect_trial_share (const struct ejection_service *service,
                                      const char *target);

/* ejection_shares.c: slots divided by demand */
/* What this host wants of SERVICE, rounded up so that it seldom changes. */
uint32_t ejection_shares_demand (const struct ejection_service *service);
/* As owner: the part of POLLER. */
struct slot_share
ejection_shares_grant (const struct ejection_service *service,
                       const struct ejection_poller *poller);
/* A grant came with a decision, or may have lapsed. */
void ejection_shares_receive (struct ejection_service *service,
                              const struct ejection_notice *news);
void ejection_shares_tick (struct ejection_service *service, int64_t now_ms);

/* ejection_paths.c: targets that only some hosts see fail */
/* As owner: what the detector found, and the part of it that is POLLER's;
   room for EJECTION_AVOID_MAX names. */
void ejection_paths_set (struct ejection_service *service,
                         const struct detection_path *paths, size_t count);
size_t ejection_paths_for_poller (const struct ejection_service *service,
                                  const struct ejection_poller *poller,
                                  char (*names)[PEER_NAME_SIZE]);
/* Avoid COUNT targets here and no others. */
void ejection_paths_post (struct ejection_service *service,
                          const char (*names)[PEER_NAME_SIZE], size_t count);

/* ejection_calls.c: the floor authority's calls at the platform */
void ejection_calls_start_next (struct ejection_service *service);

/* ejection_command.c */
void ejection_command_receive (struct ejection_task *task, const char *from,
                               const struct ejection_command_message *order);
void ejection_commands_tick (struct ejection_task *task);
void ejection_commands_complete (struct ejection_task *task);
void ejection_commands_drop (struct ejection_task *task);

/* ejection_rows.c */
struct json_object *ejection_rows (void *owner);

#endif
