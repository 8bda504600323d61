#include "base/hash.h"

#include <string.h>

static uint64_t
mix (uint64_t z)
{
  z = (z ^ (z >> 33)) * 0xff51afd7ed558ccdu;
  z = (z ^ (z >> 33)) * 0xc4ceb9fe1a85ec53u;
  return z ^ (z >> 33);
}

uint64_t
hash_bytes (const void *data, size_t size)
{
  const unsigned char *bytes = data;
  uint64_t hash = 0xcbf29ce484222325u;
  for (size_t i = 0; i < size; i++)
    hash = (hash ^ bytes[i]) * 0x100000001b3u;
  return mix (hash);
}

uint64_t
hash_string (const char *text)
{
  return hash_bytes (text, strlen (text));
}

uint64_t
hash_pair (uint64_t first, uint64_t second)
{
  return mix (first * 0x9e3779b97f4a7c15u + second);
}
