/** @file
 * Division of a target's slots or connections among the hosts that use it.
 */
#ifndef POLICY_CHOICE_SLOT_SHARES_H
#define POLICY_CHOICE_SLOT_SHARES_H

#include <stddef.h>
#include <stdint.h>

/** What is divided. */
struct slot_shares_options
{
  uint32_t total;              /**< slots or connections of the target */
  uint32_t overcommit_percent; /**< given out above TOTAL, since demand
                                    changes faster than shares do; targets
                                    shed the excess */
};

/** A host's part of a service's slots.  The hosts lie end to end on a line,
 * each as an interval; its start determines who gets the slots that don't
 * divide evenly. */
struct slot_share
{
  uint32_t from_permille;
  uint32_t permille; /**< including the over-commit; 0: none */
};

/** Divide a target among COUNT hosts in proportion to DEMAND (in any unit;
 * equally if all are zero).  Each host gets at least 1; the sum doesn't
 * exceed TOTAL with its over-commit unless there are more hosts than that. */
void slot_shares_divide (const struct slot_shares_options *options,
                         const uint64_t *demand, size_t count,
                         uint32_t *shares);

/** The number of slots or connections that SHARE gets of the TOTAL of the
 * target with KEY: at least 1 and at most TOTAL.  Over all hosts that lie
 * end to end from 0 the sum is that of their shares, rounded up, apart from
 * hosts that get the minimum of 1 without having a whole slot. */
uint32_t slot_share_of (const struct slot_share *share, uint64_t key,
                        uint32_t total);

#endif
