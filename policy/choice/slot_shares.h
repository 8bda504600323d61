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

/** A host's part of a service's slots: a stretch of a line on which the hosts
 * lie end to end.  Where it begins decides who gets the slots that don't
 * divide evenly. */
struct slot_share
{
  uint32_t from_permille;
  uint32_t permille; /**< over-commit included; 0: none */
};

/** Give each of COUNT hosts its share: in proportion to DEMAND (any unit, all
 * zero: equal), at least 1 each, and in sum no more than TOTAL with its
 * over-commit unless there are more hosts than that. */
void slot_shares_divide (const struct slot_shares_options *options,
                         const uint64_t *demand, size_t count,
                         uint32_t *shares);

/** What SHARE is of the TOTAL slots or connections of the target with KEY, at
 * least 1 and no more than TOTAL.  Over all hosts that lie end to end from 0
 * the sum is that of their shares, rounded up, but for hosts that get their
 * 1 without a whole slot. */
uint32_t slot_share_of (const struct slot_share *share, uint64_t key,
                        uint32_t total);

#endif
