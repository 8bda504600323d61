/** @file
 * Seeded pseudorandom number generator (xoshiro256** by Blackman and Vigna,
 * seeded with splitmix64).  It must not be used for secrets, for which there
 * is rng_secure_bytes().
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stddef.h>
#include <stdint.h>

/** State of a generator; the same seed gives the same numbers. */
struct rng
{
  uint64_t state[4];
};

void rng_seed (struct rng *rng, uint64_t seed);
uint64_t rng_next (struct rng *rng);
/** Uniformly distributed in [0, BOUND); BOUND must not be 0. */
uint64_t rng_below (struct rng *rng, uint64_t bound);
/** Uniformly distributed in [0, 1). */
double rng_unit (struct rng *rng);
/** Exponentially distributed with the given mean. */
double rng_exponential (struct rng *rng, double mean);
/** Fill BUFFER with SIZE bytes from the operating system's secure random
 * number generator. */
void rng_secure_bytes (void *buffer, size_t size);

#endif
