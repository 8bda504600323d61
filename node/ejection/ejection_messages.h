/** @file
 * Messages between hosts about ejections, encoded as rows of a peer report.
 *
 * The first row is a header.  The names of the report belong to the rows that
 * follow.
 */
#ifndef NODE_EJECTION_MESSAGES_H
#define NODE_EJECTION_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

#include "node/ejection/ejection_transport.h"
#include "policy/choice/slot_shares.h"
#include "policy/detection/recorder.h"

/** Kind of a message; the numbers are part of the protocol. */
enum ejection_kind
{
  EJECTION_REPORT = 1,   /**< EVIDENCE: a host's poll, with its outcomes */
  EJECTION_COMMAND = 2,  /**< EVIDENCE: a forwarded operator command */
  EJECTION_DECISION = 3, /**< DECISION: the ejected targets */
  EJECTION_REDIRECT = 4, /**< DECISION: another host owns the service */
  EJECTION_STOPPED = 5,  /**< DECISION: the owner of `epoch` has stopped */
  EJECTION_RESULT = 6,   /**< DECISION: the result of a command */
};

enum
{
  /** Maximum number of targets in a report; the next one has the rest. */
  EJECTION_ITEMS_MAX = 1024,
};

/** EJECTION_REPORT. */
struct ejection_report
{
  const char *service;
  uint64_t epoch;       /**< highest known to the sender */
  uint64_t incarnation; /**< of the sender */
  int64_t poll_ms;      /**< by the sender's clock */
  const char *dc;       /**< of the sender */
  uint32_t demand;      /**< recent maximum of slots needed at once */
  const struct detection_report_item *items;
  size_t count;
};

/** EJECTION_DECISION, EJECTION_REDIRECT, EJECTION_STOPPED. */
struct ejection_notice
{
  enum ejection_kind kind;
  const char *service;
  uint64_t epoch;
  uint64_t sequence;
  uint32_t enforce_ms;  /**< how long to enforce a decision, from poll_ms */
  uint64_t incarnation; /**< of the poll that this answers */
  int64_t poll_ms;      /**< of the poll that this answers */
  /** Ejected targets; in a redirect, the owner's name only. */
  const char (*names)[PEER_NAME_SIZE];
  /** For each target, the share of time for which requests are let through to
   * it on trial. */
  const uint32_t *trial_permille;
  size_t count;
  /** In a decision: targets that fail only for the receiver or its dc, which
   * the receiver should avoid. */
  const char (*avoided)[PEER_NAME_SIZE];
  size_t avoided_count;
  struct slot_share share; /**< in a decision: slots granted to the receiver */
};

/** EJECTION_COMMAND, EJECTION_RESULT. */
struct ejection_command_message
{
  enum ejection_kind kind;
  const char *service;
  const char *target;
  uint64_t id;      /**< of the command at the host that forwards it */
  uint64_t version; /**< to act on; in a result: the current one */
  int verb;         /**< enum operator_verb */
  int status;       /**< in a result: enum status */
  int reason;       /**< in a result: enum ejection_reason */
};

enum status ejection_send_report (struct ejection_transport *transport,
                                  const char *to,
                                  const struct ejection_report *report);
enum status ejection_send_notice (struct ejection_transport *transport,
                                  const char *to,
                                  const struct ejection_notice *notice);
enum status
ejection_send_command_message (struct ejection_transport *transport,
                               const char *to,
                               const struct ejection_command_message *command);

/** The kind of REPORT; 0 if it is unknown or REPORT is malformed. */
enum ejection_kind ejection_message_kind (const struct peer_report *report);

/** Parse a message of known kind.  Pointers refer to MESSAGE, except for
 * `items` and `trial_permille`, which the caller frees.
 * @return false if MESSAGE is malformed */
bool ejection_read_report (const struct peer_report *message,
                           struct ejection_report *report);
bool ejection_read_notice (const struct peer_report *message,
                           struct ejection_notice *notice);
bool ejection_read_command_message (const struct peer_report *message,
                                    struct ejection_command_message *command);

#endif
