/** @file
 * Which outcomes of attempts at a service's targets are reported to other
 * hosts.
 */
#ifndef NODE_CALLER_OUTCOME_REPORT_H
#define NODE_CALLER_OUTCOME_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "node/caller/caller_service.h"

/** Whether to report to other hosts that an attempt at target KEY ended with
 * END.  Call it before caller_service_record_outcome(). */
bool outcome_report_is_due (struct caller_service *service, uint64_t key,
                            enum attempt_end end);

#endif
