/** @file
 * Programs that a benchmark measures, as child processes.
 */
#ifndef BENCH_BENCH_PROCESS_H
#define BENCH_BENCH_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

/** Start ARGV[0] with its output thrown away.
 * @return its id, or -1 */
pid_t bench_process_start (const char *const *argv);

/** Ask PID to end, and wait for that. */
void bench_process_stop (pid_t pid);

/** Resident memory of PID; 0 when it can't be read. */
uint64_t bench_process_rss_kb (pid_t pid);

/** A TCP port of 127.0.0.1 that is free now. */
uint16_t bench_free_port (void);

#endif
