/** @file
 * The authority over a service's ejections at one host.
 *
 * A pure machine: events in (settings, the detector's wishes, how calls to
 * the platform ended, time), out come the next call to make and the decision
 * to tell the hosts.  At most one call is under way.
 *
 * Why the floor holds, whoever else believes to be owner:
 *  - A target is ejected only under a claim.  Claims that the record at the
 *    platform doesn't hold are paid from the record's reserve.  While the
 *    end of a write is unknown, every record the platform may hold must
 *    allow them.
 *  - A new owner takes over by a conditional write of the next epoch.  It
 *    keeps the claims it finds and counts the whole old reserve as spent.
 *  - An owner tells hosts its decision only within `authority_ms` of sending
 *    a call that found it still the owner; a host enforces it for
 *    `enforce_ms` from its own poll.  So `authority_ms + enforce_ms` after
 *    a takeover (with allowance for drift) the earlier owner is surely over,
 *    or `enforce_ms` after it said that it stopped.
 *  - Freed capacity is granted again `enforce_ms` after the decision without
 *    it.
 * What a raise of the floor, a drain or a loss of capacity needs: at most the
 * time to hear of it plus `enforce_ms` while one owner is known; plus the
 * hold time of an earlier owner that can't be heard from.
 */
#ifndef POLICY_FLOOR_FLOOR_OWNER_H
#define POLICY_FLOOR_FLOOR_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_decision.h"
#include "policy/floor/floor_record.h"
#include "policy/floor/floor_spec.h"

struct floor_owner_options
{
  const char *host;
  uint64_t incarnation;
  uint64_t seed;         /**< of write ids; random per process */
  uint32_t enforce_ms;   /**< how long hosts hold a decision */
  uint32_t authority_ms; /**< longest outage that ejections outlast */
  uint32_t retry_ms;     /**< first wait after a failed call; doubles */
  uint32_t retry_max_ms;
};

/** A call to make at the platform. */
enum floor_call
{
  FLOOR_CALL_NONE,
  FLOOR_CALL_READ,
  FLOOR_CALL_WRITE,
};

struct floor_request
{
  enum floor_call call;
  const struct floor_record *record; /**< WRITE; borrowed until the next
                                          event */
  uint64_t expected_version;         /**< WRITE; 0: must not exist */
};

/** How a call ended. */
enum floor_reply_status
{
  FLOOR_REPLY_OK,
  FLOOR_REPLY_NOT_FOUND,   /**< read: no such record */
  FLOOR_REPLY_CONFLICT,    /**< write: the version didn't match */
  FLOOR_REPLY_UNKNOWN,     /**< may have taken effect */
  FLOOR_REPLY_UNREACHABLE, /**< surely without effect */
};

struct floor_reply
{
  enum floor_reply_status status;
  uint64_t version;                  /**< with OK */
  const struct floor_record *record; /**< OK of a read */
};

enum floor_role
{
  FLOOR_ROLE_NONE,
  FLOOR_ROLE_ACQUIRING, /**< wants to be owner; isn't known to be */
  FLOOR_ROLE_OWNER,
};

/** What became of a wish to eject. */
enum floor_eject_result
{
  FLOOR_EJECT_EJECTED,        /**< in the decision from now on */
  FLOOR_EJECT_PLANNED,        /**< will be, once the record says so */
  FLOOR_EJECT_ALREADY,        /**< is, or is planned */
  FLOOR_EJECT_BELOW_FLOOR,    /**< would breach the floor */
  FLOOR_EJECT_PAUSED,         /**< automatic ejection is stopped */
  FLOOR_EJECT_NO_SUCH_TARGET, /**< no such active target */
  FLOOR_EJECT_NOT_OWNER,
  FLOOR_EJECT_SETTINGS_BEHIND, /**< the record knows newer settings than we do
                                */
};

const char *floor_eject_result_name (enum floor_eject_result verdict);

struct floor_owner;

struct floor_owner *
floor_owner_create (const struct floor_owner_options *options);
void floor_owner_destroy (struct floor_owner *owner);

/** Settings of the service; lower versions are ignored. */
void floor_owner_set_spec (struct floor_owner *owner, int64_t now_ms,
                           const struct floor_spec *spec);

/** Should this host become owner (true), or give up trying (false)?  An
 * owner stays owner until it releases or is replaced.
 *
 * SILENT_EPOCH is the newest epoch whose owner wasn't heard from for its
 * lease.  A record of a newer epoch belongs to an owner that had no chance to
 * be heard: it is not replaced, and the role goes back to NONE.  So of
 * several candidates one wins and the others wait for it. */
void floor_owner_set_candidate (struct floor_owner *owner, int64_t now_ms,
                                bool candidate, uint64_t silent_epoch);

/** Stop being owner in good order: tells no decision from now on and writes
 * a record that the next owner can take over soon. */
void floor_owner_release (struct floor_owner *owner, int64_t now_ms);

/** The detector or, if MANUAL, an operator wants TARGET out.  SCORE tells how
 * bad it is (manual ones outrank all). */
enum floor_eject_result floor_owner_eject (struct floor_owner *owner,
                                           int64_t now_ms, const char *target,
                                           uint32_t score, bool manual);

/** Bring TARGET back; the detector can't bring back a manual ejection.
 * @return false when nothing changed. */
bool floor_owner_reinstate (struct floor_owner *owner, int64_t now_ms,
                            const char *target, bool manual);

/** Set or clear the operator's stop of automatic ejection. */
bool floor_owner_pause (struct floor_owner *owner, int64_t now_ms,
                        bool paused);

/** Another host knows EPOCH: if it is higher, read the record. */
void floor_owner_epoch_seen (struct floor_owner *owner, int64_t now_ms,
                             uint64_t epoch);

/** The owner of EPOCH says that it has stopped telling decisions. */
void floor_owner_predecessor_stopped (struct floor_owner *owner,
                                      int64_t now_ms, uint64_t epoch);

/** Time passed. */
void floor_owner_tick (struct floor_owner *owner, int64_t now_ms);

/** The call to make now, if any; it is under way until
 * floor_owner_handle_reply(). */
struct floor_request floor_owner_next_request (struct floor_owner *owner,
                                               int64_t now_ms);

/** The call under way ended. */
void floor_owner_handle_reply (struct floor_owner *owner, int64_t now_ms,
                               const struct floor_reply *reply);

/** The decision to tell hosts at NOW_MS.
 * @return false when this host may tell none. */
bool floor_owner_decision (struct floor_owner *owner, int64_t now_ms,
                           struct floor_decision *decision);

enum floor_role floor_owner_role (const struct floor_owner *owner);

/** Epoch held while owner, else the highest seen in a record. */
uint64_t floor_owner_epoch (const struct floor_owner *owner);

/** The record last read or confirmed; epoch 0 when none is known. */
const struct floor_record *
floor_owner_known_record (const struct floor_owner *owner);

/** Version at the platform of floor_owner_known_record(). */
uint64_t floor_owner_version (const struct floor_owner *owner);

/** Claims held as owner, with their true states. */
const struct floor_record *
floor_owner_claims (const struct floor_owner *owner);

/** Capacity that may still be ejected above the floor now. */
uint64_t floor_owner_slack (const struct floor_owner *owner);

/** Capacity that may be ejected now without the platform. */
uint64_t floor_owner_reserve_left (const struct floor_owner *owner);

/** Epoch that was ours until it was found replaced, to be announced as
 * stopped; 0 when none.  Cleared by the call. */
uint64_t floor_owner_take_stopped_epoch (struct floor_owner *owner);

#endif
