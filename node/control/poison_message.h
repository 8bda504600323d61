/** @file
 * Encodes poison rows as a peer report of type PEER_POISON; `service` is ""
 * if the rows belong to several services.
 */
#ifndef NODE_CONTROL_POISON_MESSAGE_H
#define NODE_CONTROL_POISON_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/poison/poison_row.h"
#include "wire/peer/peer_message.h"

enum
{
  POISON_MESSAGE_ROWS_MAX = 256,
};

/** Encode up to POISON_MESSAGE_ROWS_MAX rows.  The message refers to *VALUES,
 * which the caller frees. */
struct peer_message poison_message_make (const char *service,
                                         const struct poison_row *rows,
                                         size_t count, int64_t **values);

/** Decode MESSAGE into *ROWS, which the caller frees.
 * @return the number of rows; 0, with *ROWS NULL, if MESSAGE is malformed */
size_t poison_message_read (const struct peer_message *message,
                            struct poison_row **rows);

#endif
