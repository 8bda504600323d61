/** @file
 * Messages between quota requesters and coordinators: reports of type
 * PEER_QUOTA_REQUEST (request) and PEER_QUOTA_GRANT (response), see
 * peer_message.h.
 *
 * `sequence` is a stamp of the sender (policy/quota/quota_stamp.h), `epoch`
 * the last stamp that it received from the receiver; 0: none.  The first row
 * describes the sender, each further row a workspace.
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

/** A row of a request or response: one workspace. */
struct quota_row
{
  uint64_t workspace; /**< hash_string() of its name */
  uint32_t requested;
  uint32_t tokens;        /**< granted; response only, like the rest */
  uint32_t term_ms;       /**< lifetime of the tokens, counted from the
                           request */
  uint32_t next_token_ms; /**< time until the next token; 0 as in
                             quota_grant */
};

struct quota_report
{
  uint64_t stamp;      /**< of the sender */
  uint64_t echo;       /**< last stamp received from the receiver; 0: none */
  uint32_t hosts;      /**< number of hosts known to the sender; 0: unknown */
  bool leases_share;   /**< request: the sender leases its share to the
                          receiver */
  bool is_coordinator; /**< request and response: for the sender's pool as
                          coordinator, not for its own requests */
  size_t row_count;
  struct quota_row rows[QUOTA_ROWS_MAX];
};

/** Convert REPORT to a message of TYPE.  Its values are allocated and
 * returned in *VALUES; the caller frees them. */
struct peer_message quota_report_message (enum peer_type type,
                                          const struct quota_report *report,
                                          int64_t **values);

/** Parse a message of quota_report_message().
 * @return false if MESSAGE is malformed */
bool quota_report_read (const struct peer_message *message,
                        struct quota_report *report);

#endif
