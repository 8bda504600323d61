/** @file
 * The owner of a service's ejections at one host, which keeps the capacity
 * floor.
 *
 * A deterministic state machine without I/O: the inputs are settings, requests
 * of the detector, results of calls to the platform, and time; the outputs are
 * the next call to make and the decision to send to the hosts.  At most one
 * call is in flight.
 *
 * The floor holds even if other hosts consider themselves owner:
 *  - A target is ejected only under a claim.  Claims that the record at the
 *    platform doesn't contain are covered by the record's reserve.  While the
 *    outcome of a write is unknown, every record the platform may hold must
 *    cover them.
 *  - A new owner takes over by a conditional write of the next epoch.  It
 *    keeps the claims it finds and counts the whole old reserve as used.
 *  - An owner sends hosts its decision only within `authority_ms` of sending a
 *    call that found it still the owner; a host enforces it for `enforce_ms`
 *    from its own poll.  So the decisions of the earlier owner have expired
 *    `authority_ms + enforce_ms` after a takeover (with allowance for drift),
 *    or `enforce_ms` after it announced that it stopped.
 *  - Freed capacity is granted again `enforce_ms` after the first decision
 *    without the claim.
 *
 * A raised floor, a drain or a loss of capacity takes effect after at most the
 * time to learn of it plus `enforce_ms` while one owner is known, plus the
 * hold time of an earlier owner that can't be reached.
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
  uint32_t enforce_ms;   /**< how long hosts enforce a decision */
  uint32_t authority_ms; /**< maximum outage of the platform during which
                            ejections stay in force */
  uint32_t retry_ms;     /**< first wait after a failed call; doubles with each
                            failure */
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
  const struct floor_record *record; /**< WRITE; until the next event */
  uint64_t expected_version;         /**< WRITE; 0: must not exist */
};

/** Result of a call. */
enum floor_reply_status
{
  FLOOR_REPLY_OK,
  FLOOR_REPLY_NOT_FOUND,   /**< read: no such record */
  FLOOR_REPLY_CONFLICT,    /**< write: the version didn't match */
  FLOOR_REPLY_UNKNOWN,     /**< may or may not have taken effect */
  FLOOR_REPLY_UNREACHABLE, /**< had no effect */
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
  FLOOR_ROLE_ACQUIRING, /**< is trying to become owner */
  FLOOR_ROLE_OWNER,
};

/** Result of a request to eject a target. */
enum floor_eject_result
{
  FLOOR_EJECT_EJECTED,        /**< in the decision from now on */
  FLOOR_EJECT_PLANNED,        /**< ejected once the record covers it */
  FLOOR_EJECT_ALREADY,        /**< already ejected or planned */
  FLOOR_EJECT_BELOW_FLOOR,    /**< would breach the floor */
  FLOOR_EJECT_PAUSED,         /**< automatic ejection is stopped */
  FLOOR_EJECT_NO_SUCH_TARGET, /**< unknown, drained or leaving */
  FLOOR_EJECT_NOT_OWNER,
  FLOOR_EJECT_SETTINGS_BEHIND, /**< the record has newer settings */
};

const char *floor_eject_result_name (enum floor_eject_result result);

struct floor_owner;

struct floor_owner *
floor_owner_create (const struct floor_owner_options *options);
void floor_owner_destroy (struct floor_owner *owner);

/** Sets the settings of the service; lower versions are ignored. */
void floor_owner_set_spec (struct floor_owner *owner, int64_t now_ms,
                           const struct floor_spec *spec);

/** Makes this host try to become owner (true) or stop trying (false).  An
 * owner stays owner until it releases ownership or is replaced.
 *
 * SILENT_EPOCH is the latest epoch whose owner sent nothing for the whole
 * owner lease.  A record of a later epoch belongs to an owner that had no time
 * to send anything: it is not replaced, and the role returns to NONE.  So only
 * one of several candidates succeeds and the others wait for it. */
void floor_owner_set_candidate (struct floor_owner *owner, int64_t now_ms,
                                bool candidate, uint64_t silent_epoch);

/** Releases ownership: sends no decision from now on and writes a record that
 * the next owner can take over early. */
void floor_owner_release (struct floor_owner *owner, int64_t now_ms);

/** Requests the ejection of TARGET, for the detector or, if MANUAL, for an
 * operator.  SCORE orders targets by severity; manual ejections rank above all
 * others. */
enum floor_eject_result floor_owner_eject (struct floor_owner *owner,
                                           int64_t now_ms, const char *target,
                                           uint32_t score, bool manual);

/** Reinstates TARGET; the detector can't reinstate a target ejected manually.
 * @return false if nothing changed. */
bool floor_owner_reinstate (struct floor_owner *owner, int64_t now_ms,
                            const char *target, bool manual);

/** Pauses or resumes automatic ejection, for an operator. */
bool floor_owner_pause (struct floor_owner *owner, int64_t now_ms,
                        bool paused);

/** The platform came back from an older copy.  Claims of an owner that it has
 * lost may still be enforced, so a new owner counts all capacity as ejected
 * for the hold time, and the present one reads its record. */
void floor_owner_note_restored (struct floor_owner *owner, int64_t now_ms);

/** Another host reported EPOCH: if it is higher, reads the record. */
void floor_owner_epoch_seen (struct floor_owner *owner, int64_t now_ms,
                             uint64_t epoch);

/** The owner of EPOCH announced that it sends no more decisions. */
void floor_owner_predecessor_stopped (struct floor_owner *owner,
                                      int64_t now_ms, uint64_t epoch);

/** Advances to NOW_MS. */
void floor_owner_tick (struct floor_owner *owner, int64_t now_ms);

/** Returns the call to make now, if any; it is in flight until
 * floor_owner_handle_reply(). */
struct floor_request floor_owner_next_request (struct floor_owner *owner,
                                               int64_t now_ms);

/** Handles the result of the call in flight. */
void floor_owner_handle_reply (struct floor_owner *owner, int64_t now_ms,
                               const struct floor_reply *reply);

/** Returns the decision to send to hosts at NOW_MS.
 * @return false if this host may send none. */
bool floor_owner_decision (struct floor_owner *owner, int64_t now_ms,
                           struct floor_decision *decision);

enum floor_role floor_owner_role (const struct floor_owner *owner);

/** Epoch held while owner, else the highest one seen in a record. */
uint64_t floor_owner_epoch (const struct floor_owner *owner);

/** The record last read or confirmed; its epoch is 0 if none is known. */
const struct floor_record *
floor_owner_known_record (const struct floor_owner *owner);

/** Version at the platform of floor_owner_known_record(). */
uint64_t floor_owner_version (const struct floor_owner *owner);

/** Claims held as owner, with their current states. */
const struct floor_record *
floor_owner_claims (const struct floor_owner *owner);

/** Capacity above the floor that may still be ejected now. */
uint64_t floor_owner_slack (const struct floor_owner *owner);

/** Capacity that may be ejected now without a write to the platform. */
uint64_t floor_owner_reserve_left (const struct floor_owner *owner);

/** Returns the epoch whose ownership this host lost to another one, to be
 * announced as stopped, or 0.  The call clears it. */
uint64_t floor_owner_take_stopped_epoch (struct floor_owner *owner);

#endif
