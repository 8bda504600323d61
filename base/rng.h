/** @file
 * A small seeded random source (xoshiro256** of Blackman and Vigna, seeded
 * by splitmix64).  Not for secrets: those come from rng_secure_bytes().
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stddef.h>
#include <stdint.h>

/** State of one source; the same seed gives the same numbers. */
struct rng
{
  uint64_t state[4];
};

void rng_seed (struct rng *rng, uint64_t seed);
uint64_t rng_next (struct rng *rng);
/** Uniform in [0, BOUND); BOUND must not be 0. */
uint64_t rng_below (struct rng *rng, uint64_t bound);
/** Uniform in [0, 1). */
double rng_unit (struct rng *rng);
/** Exponentially distributed with the given mean. */
double rng_exponential (struct rng *rng, double mean);
/** Fill SIZE bytes from the operating system's source. */
void rng_secure_bytes (void *buffer, size_t size);

#endif
