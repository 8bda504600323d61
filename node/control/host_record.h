/** @file
 * The value of a `host` object on the platform, which describes one host to
 * the fleet.
 */
#ifndef NODE_CONTROL_HOST_RECORD_H
#define NODE_CONTROL_HOST_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_message.h"

struct host_record
{
  char name[PEER_NAME_SIZE];
  char dc[PEER_NAME_SIZE];
  char caller_address[PEER_ADDRESS_SIZE];
  char peer_address[PEER_ADDRESS_SIZE];
  char operator_address[PEER_ADDRESS_SIZE];
  uint64_t incarnation;
  uint32_t capacity; /**< requests a second that it can serve; 0: not known */
  bool leaving;
};

/** Parse the JSON TEXT of object NAME.  Its `name` must be the same. */
enum status host_record_parse (const char *name, const char *text,
                               struct host_record *record);

/** Format RECORD as JSON; the caller frees the result. */
char *host_record_format (const struct host_record *record);

#endif
