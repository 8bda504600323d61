/** @file
 * A platform in the memory of a benchmark, shared by many hosts on one loop.
 */
#ifndef BENCH_BENCH_PLATFORM_H
#define BENCH_BENCH_PLATFORM_H

#include <ev.h>

#include "wire/platform.h"

struct bench_store;

struct bench_store *bench_store_create (struct ev_loop *loop);
void bench_store_destroy (struct bench_store *store);

/** Write VALUE as a new version, which is returned. */
uint64_t bench_store_put (struct bench_store *store, const char *kind,
                          const char *name, const char *value);

/** One host's client; answers come from the loop, watches at the change. */
struct platform *bench_platform_create (struct bench_store *store);

#endif
