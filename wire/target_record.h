/** @file
 * Record of a target that registers itself: the value of an object of kind
 * `target`, whose name is the target's identity.  A restarted target has a new
 * identity or reports its start time, which distinguishes its processes.
 *
 * JSON shape:
 *
 *     { "service": "holds", "address": "10.1.0.9:8080", "dc": "north-a",
 *       "slots": 4, "state": "active", "warm_up_ms": 1500,
 *       "software": "v2", "started_ms": 1764720000000 }
 */
#ifndef WIRE_TARGET_RECORD_H
#define WIRE_TARGET_RECORD_H

#include <stdint.h>

#include "base/status.h"
#include "wire/service_spec.h"

struct target_record
{
  char name[SERVICE_NAME_SIZE]; /**< the target's identity */
  char service[SERVICE_NAME_SIZE];
  char address[SERVICE_ADDRESS_SIZE];
  char dc[SERVICE_NAME_SIZE];
  uint32_t slots;
  enum target_state state;
  uint32_t warm_up_ms; /**< remaining warm-up time when this was written */
  char software[SERVICE_NAME_SIZE]; /**< version of its software */
  /** Unix time of the start of its process; 0: not reported.  A target that
   * restarts may keep its identity but is a new process: observations of the
   * old one don't hold for it. */
  int64_t started_ms;
};

/** Parse and validate TEXT, the value of the object NAME. */
enum status target_record_parse (const char *name, const char *text,
                                 struct target_record *record);

/** Format RECORD, without its name, as JSON text in new memory. */
char *target_record_format (const struct target_record *record);

#endif
