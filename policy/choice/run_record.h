/** @file
 * Whether one request may have run, as far as its host knows.
 *
 * An attempt counts as one that may have run from its beginning.  Only a proof
 * takes that back, so a path on which an attempt is lost can't lead to the
 * promise that the request has not run.
 */
#ifndef POLICY_CHOICE_RUN_RECORD_H
#define POLICY_CHOICE_RUN_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/** Why the last attempt has not run and never will. */
enum run_proof
{
  RUN_PROOF_NONE,
  RUN_PROOF_NEVER_SENT,   /**< it ended before its first byte was sent */
  RUN_PROOF_REJECTED,     /**< the target stated that it didn't run it */
  RUN_PROOF_HOST_REFUSED, /**< the host that it was passed on to didn't send it
                               to a target */
};

/** Zero: no attempt has been made. */
struct run_record
{
  bool earlier_may_have_run; /**< an attempt before the last one */
  bool last_may_have_run;    /**< the last attempt; it may be in flight */
  bool reported_by_host;     /**< another host reports that it may have run */
};

/** An attempt begins. */
void run_record_begin (struct run_record *record);

/** The last attempt has ended.  PROOF holds for this attempt only. */
void run_record_end (struct run_record *record, enum run_proof proof);

/** Another host may have run the request; nothing takes that back. */
void run_record_note_host (struct run_record *record);

/** May the request have run, or be in flight? */
bool run_record_may_have_run (const struct run_record *record);

/** May it have run apart from the last attempt? */
bool run_record_may_have_run_before (const struct run_record *record);

/** Do callers take the HTTP status STATUS for "not run and never will be"? */
bool run_status_is_promise (uint32_t status);

/** The status to send instead of STATUS, which this host selected: 502 where
 * STATUS would promise more than RECORD shows. */
uint32_t run_record_status (const struct run_record *record, uint32_t status);

#endif
