#include "wire/peer/msgpack_check.h"

#include <stdint.h>

/** Layout of what follows a tag byte. */
struct tag_layout
{
  size_t length_bytes;      /**< of the length field */
  size_t body_bytes;        /**< fixed-size part of the body */
  size_t elements;          /**< of a container whose tag holds the count */
  size_t elements_per_item; /**< elements per counted item: 2 in a map */
  bool is_container;
};

/* Tags 0xc0 to 0xdf of the MessagePack specification. */
static const struct tag_layout tag_layouts[32] = {
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
  [0x1c] = { .length_bytes = 2, .elements_per_item = 1, .is_container = true },
  [0x1d] = { .length_bytes = 4, .elements_per_item = 1, .is_container = true },
  [0x1e] = { .length_bytes = 2, .elements_per_item = 2, .is_container = true },
  [0x1f] = { .length_bytes = 4, .elements_per_item = 2, .is_container = true },
};

static struct tag_layout
layout_of (uint8_t tag)
{
  if (tag >= 0xc0 && tag <= 0xdf)
    return tag_layouts[tag - 0xc0];
  if (tag >= 0xa0 && tag <= 0xbf)
    return (struct tag_layout){ .body_bytes = tag & 0x1f };
  if (tag >= 0x90 && tag <= 0x9f)
    return (struct tag_layout){ .elements = tag & 0x0f };
  if (tag >= 0x80 && tag <= 0x8f)
    return (struct tag_layout){ .elements = (tag & 0x0f) * 2u };
  return (struct tag_layout){ .body_bytes = 0 };
}

static size_t
read_length (const uint8_t *bytes, size_t count)
{
  size_t length = 0;
  for (size_t i = 0; i < count; i++)
    length = length << 8 | bytes[i];
  return length;
}

/* The codec allocates a container's claimed size before it reads the elements,
   so without this check a few bytes could make a host allocate gigabytes, for
   example when a foreign program connects.  An element takes at least one
   byte, so a claim that exceeds the remaining bytes is invalid. */
bool
msgpack_sizes_valid (const char *data, size_t size)
{
  const uint8_t *bytes = (const uint8_t *)data;
  size_t offset = 0;
  size_t expected = 1;
  while (expected > 0)
    {
      if (offset == size)
        return false;
      const struct tag_layout tag_layout = layout_of (bytes[offset++]);
      expected--;
      if (size - offset < tag_layout.length_bytes)
        return false;
      const size_t length
          = read_length (bytes + offset, tag_layout.length_bytes);
      offset += tag_layout.length_bytes;
      const size_t body
          = tag_layout.body_bytes + (tag_layout.is_container ? 0 : length);
      if (size - offset < body)
        return false;
      offset += body;
      expected += tag_layout.elements;
      if (tag_layout.is_container)
        expected += length * tag_layout.elements_per_item;
      if (expected > size - offset)
        return false;
    }
  return offset == size;
}
