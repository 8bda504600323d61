/** @file
 * What holders and keepers of quotas tell each other: reports of type
 * PEER_QUOTA_REQUEST and PEER_QUOTA_GRANT (peer_message.h).
 *
 * `sequence` is a stamp of the sender's (policy/quota/quota_stamp.h), `epoch`
 * the last one that it had from the receiver; 0: none.  The first row tells of
 * the sender, each further one of a workspace.
 */
#ifndef NODE_QUOTA_QUOTA_MESSAGES_H
#define NODE_QUOTA_QUOTA_MESSAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/peer/peer_message.h"

enum
{
  QUOTA_ROWS_MAX = 1024,
};

/** What a question or an answer says of one workspace. */
struct quota_row
{
  uint64_t workspace; /**< hash_string() of its name */
  uint32_t requested;
  uint32_t tokens;        /**< granted; this and the rest in answers only */
  uint32_t term_ms;       /**< they may be used for, from the question on */
  uint32_t next_token_ms; /**< until there is another one */
};

struct quota_report
{
  uint64_t stamp; /**< of the sender */
  uint64_t echo;  /**< of the receiver, as the sender had it last; 0: none */
  uint32_t hosts; /**< that the sender knows; 0: not known */
  bool leases_share; /**< question: the sender lends its share to the receiver
                      */
  bool is_coordinator; /**< question and its answer: for a keeper, not for
                       requests of its own */
  size_t row_count;
  struct quota_row rows[QUOTA_ROWS_MAX];
};

/** Write REPORT as a message of TYPE, whose values lie in *VALUES, new
 * memory. */
struct peer_message quota_report_message (enum peer_type type,
                                          const struct quota_report *report,
                                          int64_t **values);

/** Read what quota_report_message() writes.
 * @return whether MESSAGE is of that form */
bool quota_report_read (const struct peer_message *message,
                        struct quota_report *report);

#endif
