/** @file
 * Probes of targets that show whether this host can connect to any; see
 * reach_state.h.
 */
#ifndef NODE_CALLER_REACH_CHECK_H
#define NODE_CALLER_REACH_CHECK_H

#include <stdbool.h>
#include <stdint.h>

struct caller_context;
struct reach_check;

/** Asks whether targets can be reached, by probes that begin after it.
 * Embedded in the structure that waits for the answer. */
struct reach_query
{
  /** Called from the event loop, once. */
  void (*done) (struct reach_query *query, bool is_reached);
  uint64_t round; /**< whose end answers it */
  struct reach_query *prev;
  struct reach_query *next;
};

struct reach_check *reach_check_create (struct caller_context *context);
void reach_check_destroy (struct reach_check *check);

/** The number of targets of all services. */
uint32_t reach_check_target_count (const struct reach_check *check);

/** Whether this host is cut from all targets. */
bool reach_check_is_cut (const struct reach_check *check);

/** Whether attempts of this host would hang: it is cut, no probe was refused,
 * and no target has answered lately. */
bool reach_check_is_silent (const struct reach_check *check);

/** A target has answered an attempt of this host. */
void reach_check_note_contact (struct reach_check *check);

/** An attempt of this host couldn't be sent, or was reset. */
void reach_check_note_failure (struct reach_check *check);

/** Start QUERY, whose `done` is set. */
void reach_check_start_query (struct reach_check *check,
                              struct reach_query *query);
void reach_check_cancel_query (struct reach_check *check,
                               struct reach_query *query);

#endif
