/** @file
 * Blocks requests that crash targets and synchronizes the state with other
 * hosts: BUS_POISON_ANNOUNCED carries local changes, BUS_POISON_RECEIVED
 * changes from other hosts.
 */
#ifndef NODE_CALLER_POISON_FILTER_H
#define NODE_CALLER_POISON_FILTER_H

#include <json-c/json.h>

#include "node/caller/caller_context.h"
#include "policy/poison/poison_table.h"

struct poison_filter;

struct poison_filter *poison_filter_create (struct caller_context *context);
/** @param filter may be NULL */
void poison_filter_destroy (struct poison_filter *filter);

/** Decide whether a request of SERVICE may be sent; see
 * poison_table_check(). */
enum poison_verdict poison_filter_check (struct poison_filter *filter,
                                         const struct caller_service *service,
                                         const struct fingerprint *fingerprint,
                                         uint32_t *remaining_ms);

/** Return whether a request whose head has this hash is known.  Others need no
 * poison_filter_check(). */
bool poison_filter_has_head (const struct poison_filter *filter,
                             uint64_t head);
bool poison_filter_is_empty (const struct poison_filter *filter);

/** Record a crash of a target of SERVICE. */
void poison_filter_add_crash (struct poison_filter *filter,
                              const char *service,
                              const struct poison_crash *crash);

/** Clear a request that a target of SERVICE responded to completely. */
void poison_filter_clear (struct poison_filter *filter, const char *service,
                          const struct fingerprint *fingerprint);

/** Clear a request on an operator's command.
 * @return false if this host has no state for FINGERPRINT */
bool poison_filter_clear_manually (struct poison_filter *filter,
                                   const struct fingerprint *fingerprint);

/** Merge rows received from another host. */
void poison_filter_receive (struct poison_filter *filter,
                            const struct bus_poison *received);

/** Return the rows of the operator table "poison". */
struct json_object *poison_filter_rows (const struct poison_filter *filter);

#endif
