/** @file
 * What hosts say to each other about ejections, as rows of a peer report.
 *
 * The first row of each is a head; names go with the rows that follow.
 */
#ifndef NODE_EJECTION_MESSAGES_H
#define NODE_EJECTION_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

#include "node/ejection/ejection_transport.h"
#include "policy/choice/slot_shares.h"
#include "policy/detection/recorder.h"

/** What a message is; the numbers are part of the protocol. */
enum ejection_kind
{
  EJECTION_REPORT = 1,   /**< EVIDENCE: a host's poll, with what it saw */
  EJECTION_COMMAND = 2,  /**< EVIDENCE: an operator's command, passed on */
  EJECTION_DECISION = 3, /**< DECISION: which targets are out */
  EJECTION_REDIRECT = 4, /**< DECISION: another host owns the service */
  EJECTION_STOPPED = 5,  /**< DECISION: the owner of `epoch` tells no more */
  EJECTION_RESULT = 6,   /**< DECISION: how a command ended */
};

enum
{
  /** Most targets one report tells of; the rest goes with the next. */
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
  uint32_t demand;      /**< most slots it wanted at once lately */
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
  uint32_t enforce_ms;
  uint64_t incarnation; /**< of the poll answered; as the next */
  int64_t poll_ms;
  /** Ejected targets; in a redirect the owner's name. */
  const char (*names)[PEER_NAME_SIZE];
  /** For each target, how much of the time it is let through on trial. */
  const uint32_t *trial_permille;
  size_t count;
  /** In a decision: targets that the receiver should avoid, which its dc or
   * it alone sees fail. */
  const char (*avoided)[PEER_NAME_SIZE];
  size_t avoid_count;
  struct slot_share share; /**< in a decision: granted to the receiver */
};

/** EJECTION_COMMAND, EJECTION_RESULT. */
struct ejection_command_message
{
  enum ejection_kind kind;
  const char *service;
  const char *target;
  uint64_t id;      /**< of the command, by the host it came to */
  uint64_t version; /**< to act on; in a result: as it stands now */
  int verb;         /**< enum operator_verb */
  int status;       /**< in a result: enum status */
  int reason;       /**< in a result: enum ejection_reason */
};

enum status ejection_send_report (struct ejection_transport *transport,
                                  const char *to,
                                  const struct ejection_report *report);
enum status ejection_send_notice (struct ejection_transport *transport,
                                  const char *to,
                                  const struct ejection_notice *news);
enum status
ejection_send_command_message (struct ejection_transport *transport,
                               const char *to,
                               const struct ejection_command_message *order);

/** What REPORT is; 0 when it is nothing known. */
enum ejection_kind ejection_message_kind (const struct peer_report *report);

/** Read a message whose kind is known.  Pointers go into REPORT, but for
 * `items` and `shares_permille`, which the caller frees.
 * @return false when it isn't well formed. */
bool ejection_read_report (const struct peer_report *message,
                           struct ejection_report *report);
bool ejection_read_notice (const struct peer_report *message,
                           struct ejection_notice *news);
bool ejection_read_command_message (const struct peer_report *message,
                                    struct ejection_command_message *order);

#endif
