/** @file
 * Dividing a target's slots or connections among the hosts that use it.
 */
#ifndef POLICY_CHOICE_SLOT_SHARES_H
#define POLICY_CHOICE_SLOT_SHARES_H

#include <stddef.h>
#include <stdint.h>

/** What is divided. */
struct slot_shares_options
{
  uint32_t total;              /**< slots or connections of the target */
  uint32_t overcommit_percent; /**< given out above TOTAL: demand moves
                                    faster than shares, and targets shed */
};

/** Give each of COUNT hosts its share: in proportion to DEMAND (any unit, all
 * zero: equal), at least 1 each, and in sum no more than TOTAL with its
 * over-commit unless there are more hosts than that. */
void slot_shares_divide (const struct slot_shares_options *options,
                         const uint64_t *demand, size_t count,
                         uint32_t *shares);

#endif
