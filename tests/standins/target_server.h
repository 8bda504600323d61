/** @file
 * A stand-in for a target: an HTTP server that can inject the faults of real
 * targets.
 *
 * Its responses are `NAME ID HASH BYTES` (its name, the request's
 * X-Request-Id, hash and size of the body), or depend on the path:
 *   - /echo: the body; /bytes/N: N bytes; /headers: the received fields;
 *   - OPTIONS *: 200, with `Jaystair-Leaving: 1` while it is leaving;
 *   - /control/runs: {"ID": times run}; /control/counts: counters;
 *   - /control/set?fail=30&delay_ms=5...: sets members of target_faults.
 * A request counts as run if its body was read completely and it was not shed.
 */
#ifndef STANDINS_TARGET_SERVER_H
#define STANDINS_TARGET_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <ev.h>

#include "tests/standins/target_faults.h"

struct target_server;

/** Listen on ADDRESS, with port 0 on a free port.
 * @return NULL on failure */
struct target_server *target_server_create (struct ev_loop *loop,
                                            const char *address,
                                            const char *name);
void target_server_destroy (struct target_server *server);

/** Write a line `run ID` to RUN_LOG at the start of each run. */
void target_server_log_runs (struct target_server *server, FILE *run_log);

/** The bound IP:PORT. */
const char *target_server_address (const struct target_server *server);
struct target_faults *target_server_faults (struct target_server *server);
struct target_counts target_server_counts (const struct target_server *server);
/** The number of runs of the request with ID. */
uint32_t target_server_runs (const struct target_server *server,
                             const char *id);
/** The largest number of runs of one request. */
uint32_t target_server_max_runs (const struct target_server *server);

#endif
