/** @file
 * Weighted rendezvous (highest random weight) hashing: every host computes
 * the same order of hosts for a subject, and a host that comes or goes moves
 * only what it wins or held.
 */
#ifndef POLICY_FLEET_RENDEZVOUS_H
#define POLICY_FLEET_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/fleet/fleet_host.h"

/** The score of HOST for SUBJECT, above 0; the highest wins.  Over subjects a
 * host wins in proportion to its weight. */
double rendezvous_score (uint64_t subject, const struct fleet_host *host);

/** Does FIRST come before SECOND for SUBJECT?  Equal scores go by key. */
bool rendezvous_before (uint64_t subject, const struct fleet_host *first,
                        const struct fleet_host *second);

/** Choose up to PER_DC hosts in each data centre, in the order: the best of
 * each data centre by score, then the second ones, and so on.  Hosts whose
 * key is EXCEPT are left out. */
void rendezvous_choose (uint64_t subject, const struct fleet_host *hosts,
                        size_t count, uint32_t per_dc, uint64_t except,
                        struct fleet_choice *choice);

#endif
