#include "base/rng.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <sys/random.h>

static uint64_t
splitmix (uint64_t *state)
{
  *state += 0x9e3779b97f4a7c15u;
  uint64_t z = *state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

static uint64_t
rotate (uint64_t value, int bits)
{
  return (value << bits) | (value >> (64 - bits));
}

void
rng_seed (struct rng *rng, uint64_t seed)
{
  for (int i = 0; i < 4; i++)
    rng->state[i] = splitmix (&seed);
}

uint64_t
rng_next (struct rng *rng)
{
  uint64_t *s = rng->state;
  const uint64_t result = rotate (s[1] * 5, 7) * 9;
  const uint64_t t = s[1] << 17;
  s[2] ^= s[0];
  s[3] ^= s[1];
  s[1] ^= s[2];
  s[0] ^= s[3];
  s[2] ^= t;
  s[3] = rotate (s[3], 45);
  return result;
}

uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  assert (bound != 0);
  /* Multiply-shift: the bias is below bound / 2^64. */
  return (uint64_t)(((unsigned __int128)rng_next (rng) * bound) >> 64);
}

double
rng_unit (struct rng *rng)
{
  return (double)(rng_next (rng) >> 11) * 0x1.0p-53;
}

double
rng_exponential (struct rng *rng, double mean)
{
  return -mean * log1p (-rng_unit (rng));
}

void
rng_secure_bytes (void *buffer, size_t size)
{
  if (getrandom (buffer, size, 0) != (ssize_t)size)
    abort ();
}
