/** @file
 * A stand-in for a target: an HTTP server that answers, and that can be told
 * to misbehave in the ways that real targets do.
 *
 * It answers `NAME ID HASH BYTES` (its name, the request's X-Request-Id, hash
 * and size of the body), or by path:
 *   - /echo: the body; /bytes/N: N bytes; /headers: the fields it got;
 *   - OPTIONS *: 200, with `Jaystair-Leaving: 1` while it leaves;
 *   - /control/runs: {"ID": times run}; /control/counts: totals;
 *   - /control/set?fail=30&delay_ms=5...: the members of target_faults.
 * A request counts as run when all of its body was read and it was not shed.
 */
#ifndef STANDINS_TARGET_SERVER_H
#define STANDINS_TARGET_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <ev.h>

#include "tests/standins/target_faults.h"

struct target_server;

/** Listen on ADDRESS (port 0 takes a free one); NULL on failure. */
struct target_server *target_server_create (struct ev_loop *loop,
                                            const char *address,
                                            const char *name);
void target_server_destroy (struct target_server *server);

/** Write a line `run ID` to RUN_LOG for each run, as it begins. */
void target_server_log_runs (struct target_server *server, FILE *run_log);

/** IP:PORT. */
const char *target_server_address (const struct target_server *server);
struct target_faults *target_server_faults (struct target_server *server);
struct target_counts target_server_counts (const struct target_server *server);
/** How often the request with ID ran. */
uint32_t target_server_runs (const struct target_server *server,
                             const char *id);
/** The most any one request ran. */
uint32_t target_server_max_runs (const struct target_server *server);

#endif
