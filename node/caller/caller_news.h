/** @file
 * Which outcomes of attempts at a service's targets other hosts are told.
 */
#ifndef NODE_CALLER_CALLER_NEWS_H
#define NODE_CALLER_CALLER_NEWS_H

#include <stdbool.h>
#include <stdint.h>

#include "node/caller/caller_service.h"

/** Is it worth telling other hosts that an attempt at target KEY ended as
 * END?  To be asked before caller_service_outcome(). */
bool caller_news_is_worth_telling (struct caller_service *service,
                                   uint64_t key, enum attempt_end end);

#endif
