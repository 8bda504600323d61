/** @file
 * Child processes of benchmarks.
 */
#ifndef BENCH_BENCH_PROCESS_H
#define BENCH_BENCH_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

/** Start ARGV[0] with its output discarded.
 * @return its process id, or -1 */
pid_t bench_process_start (const char *const *argv);

/** Kill PID and wait for its exit. */
void bench_process_stop (pid_t pid);

/** Resident memory of PID; 0 if it can't be read. */
uint64_t bench_process_rss_kb (pid_t pid);

/** A TCP port that is currently free on 127.0.0.1; 0 on failure. */
uint16_t bench_free_port (void);

#endif
