/** @file
 * Probes whether a target accepts connections.
 *
 * Used before the first trial request to a target of a service without
 * repeatable requests: a target that refuses connections gets none.
 */
#ifndef NODE_EJECTION_TARGET_PROBE_H
#define NODE_EJECTION_TARGET_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

struct target_probe;

typedef void target_probe_done (void *owner, struct target_probe *probe,
                                bool ok);

/** Start connecting to ADDRESS (IP:PORT).  DONE is called once, from the loop,
 * and must destroy the probe. */
struct target_probe *target_probe_start (struct ev_loop *loop,
                                         const char *address,
                                         uint32_t timeout_ms,
                                         target_probe_done *done, void *owner);
/** Whether the connection was refused (ECONNREFUSED) rather than timed out.
 * Must be called from DONE. */
bool target_probe_was_refused (const struct target_probe *probe);
/** Cancel the probe without calling back. */
void target_probe_destroy (struct target_probe *probe);

#endif
