/** @file
 * Which outcomes of attempts at a service's targets other hosts are told.
 */
#ifndef NODE_CALLER_OUTCOME_REPORT_H
#define NODE_CALLER_OUTCOME_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "node/caller/caller_service.h"

/** Is it worth telling other hosts that an attempt at target KEY ended as
 * END?  To be asked before caller_service_record_outcome(). */
bool outcome_report_is_due (struct caller_service *service, uint64_t key,
                            enum attempt_end end);

#endif
