#include "wire/peer/msgpack_check.h"

#include <stdint.h>

/** What follows a tag byte. */
struct token
{
  size_t length_bytes; /**< of the length field */
  size_t body_bytes;   /**< fixed part of the body */
  size_t elements;     /**< of a container whose tag holds their number */
  size_t unit;         /**< elements per counted one: 2 in a map */
  bool is_container;
};

/* Tags 0xc0 to 0xdf of the MessagePack specification. */
static const struct token tokens[32] = {
  [0x04] = { .length_bytes = 1 },
  [0x05] = { .length_bytes = 2 },
  [0x06] = { .length_bytes = 4 },
  [0x07] = { .length_bytes = 1, .body_bytes = 1 },
  [0x08] = { .length_bytes = 2, .body_bytes = 1 },
  [0x09] = { .length_bytes = 4, .body_bytes = 1 },
  [0x0a] = { .body_bytes = 4 },
  [0x0b] = { .body_bytes = 8 },
  [0x0c] = { .body_bytes = 1 },
  [0x0d] = { .body_bytes = 2 },
  [0x0e] = { .body_bytes = 4 },
  [0x0f] = { .body_bytes = 8 },
  [0x10] = { .body_bytes = 1 },
  [0x11] = { .body_bytes = 2 },
  [0x12] = { .body_bytes = 4 },
  [0x13] = { .body_bytes = 8 },
  [0x14] = { .body_bytes = 2 },
  [0x15] = { .body_bytes = 3 },
  [0x16] = { .body_bytes = 5 },
  [0x17] = { .body_bytes = 9 },
  [0x18] = { .body_bytes = 17 },
  [0x19] = { .length_bytes = 1 },
  [0x1a] = { .length_bytes = 2 },
  [0x1b] = { .length_bytes = 4 },
  [0x1c] = { .length_bytes = 2, .unit = 1, .is_container = true },
  [0x1d] = { .length_bytes = 4, .unit = 1, .is_container = true },
  [0x1e] = { .length_bytes = 2, .unit = 2, .is_container = true },
  [0x1f] = { .length_bytes = 4, .unit = 2, .is_container = true },
};

static struct token
token_of (uint8_t tag)
{
  if (tag >= 0xc0 && tag <= 0xdf)
    return tokens[tag - 0xc0];
  if (tag >= 0xa0 && tag <= 0xbf)
    return (struct token){ .body_bytes = tag & 0x1f };
  if (tag >= 0x90 && tag <= 0x9f)
    return (struct token){ .elements = tag & 0x0f };
  if (tag >= 0x80 && tag <= 0x8f)
    return (struct token){ .elements = (tag & 0x0f) * 2u };
  return (struct token){ .body_bytes = 0 };
}

static size_t
read_length (const uint8_t *bytes, size_t count)
{
  size_t length = 0;
  for (size_t i = 0; i < count; i++)
    length = length << 8 | bytes[i];
  return length;
}

/* Guards against a few bytes that cost much memory: the codec allocates what
   a container's head claims before it reads the elements.  Shows as a host
   that swells by gigabytes when something else than a peer connects.  An
   element takes a byte at least, so a claim beyond what follows is false. */
bool
msgpack_sizes_valid (const char *data, size_t size)
{
  const uint8_t *bytes = (const uint8_t *)data;
  size_t at = 0;
  size_t missing = 1;
  while (missing > 0)
    {
      if (at == size)
        return false;
      const struct token token = token_of (bytes[at++]);
      missing--;
      if (size - at < token.length_bytes)
        return false;
      const size_t length = read_length (bytes + at, token.length_bytes);
      at += token.length_bytes;
      const size_t body = token.body_bytes + (token.is_container ? 0 : length);
      if (size - at < body)
        return false;
      at += body;
      missing += token.elements;
      if (token.is_container)
        missing += length * token.unit;
      if (missing > size - at)
        return false;
    }
  return at == size;
}
