/** @file
 * A look whether a target accepts connections.
 *
 * Only a gate before a target that has no repeatable requests gets its first
 * real one: a target that refuses connections isn't tried at all.
 */
#ifndef NODE_EJECTION_TARGET_PROBE_H
#define NODE_EJECTION_TARGET_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

struct target_probe;

typedef void target_probe_done (void *owner, struct target_probe *probe,
                                bool ok);

/** Connect to ADDRESS (IP:PORT); DONE is called once, from the loop, and
 * destroys the probe. */
struct target_probe *target_probe_start (struct ev_loop *loop,
                                         const char *address,
                                         uint32_t timeout_ms,
                                         target_probe_done *done, void *owner);
/** Whether the connection was refused (ECONNREFUSED); a timeout doesn't count.
 * To be called from `done`. */
bool target_probe_was_refused (const struct target_probe *probe);
/** End without calling back. */
void target_probe_destroy (struct target_probe *probe);

#endif
