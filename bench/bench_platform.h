/** @file
 * An in-memory platform for benchmarks, shared by many hosts on one loop.
 */
#ifndef BENCH_BENCH_PLATFORM_H
#define BENCH_BENCH_PLATFORM_H

#include <ev.h>

#include "wire/platform.h"

struct bench_store;

struct bench_store *bench_store_create (struct ev_loop *loop);
void bench_store_destroy (struct bench_store *store);

/** Write VALUE.
 * @return its version */
uint64_t bench_store_put (struct bench_store *store, const char *kind,
                          const char *name, const char *value);

/** Create one host's client.  Replies come from the loop; a watch ends when an
 * object changes. */
struct platform *bench_platform_create (struct bench_store *store);

#endif
