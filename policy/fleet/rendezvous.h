/** @file
 * Weighted rendezvous (highest random weight) hashing.  All hosts compute the
 * same order of hosts for a subject, and a host that is added or removed moves
 * only the subjects that it gains or had.
 */
#ifndef POLICY_FLEET_RENDEZVOUS_H
#define POLICY_FLEET_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/fleet/fleet_host.h"

/** Return the score of HOST for SUBJECT, above 0; the highest ranks first.
 * Over all subjects, a host ranks first in proportion to its weight. */
double rendezvous_score (uint64_t subject, const struct fleet_host *host);

/** Return whether FIRST ranks before SECOND for SUBJECT.  Equal scores are
 * ordered by key. */
bool rendezvous_before (uint64_t subject, const struct fleet_host *first,
                        const struct fleet_host *second);

/** Choose up to PER_DC hosts in each data centre.  The choice starts with
 * the highest-scoring host of each data centre, ordered by score, followed
 * by the second of each, and so on.  The host with key EXCEPT is left out. */
void rendezvous_choose (uint64_t subject, const struct fleet_host *hosts,
                        size_t count, uint32_t per_dc, uint64_t except,
                        struct fleet_choice *choice);

#endif
