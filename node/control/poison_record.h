/** @file
 * Record of a blocked request on the platform, which survives a restart of
 * all hosts.
 *
 * The object's name is the request's fingerprint, its value
 * {"service": "holds", "head": "16 hexadecimal digits", "epoch": 0,
 * "strikes": 1, "until_ms": 1790000000000},
 * with `until_ms` in Unix time.
 */
#ifndef NODE_CONTROL_POISON_RECORD_H
#define NODE_CONTROL_POISON_RECORD_H

#include <stdint.h>

#include "base/status.h"
#include "policy/poison/poison_row.h"
#include "wire/peer/peer_message.h"

struct poison_record
{
  char service[PEER_NAME_SIZE];
  struct poison_row row;
  int64_t expires_unix_ms; /**< Unix time */
};

/** Parse the object NAME with value TEXT; `row.left_ms` is not set.
 * @return STATUS_INVALID with a message if it is malformed */
enum status poison_record_parse (const char *name, const char *text,
                                 struct poison_record *record);

/** Format RECORD as JSON; the caller frees the result. */
char *poison_record_format (const struct poison_record *record);

#endif
