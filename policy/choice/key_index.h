/** @file
 * Hash table from a target's key to its number.
 */
#ifndef POLICY_CHOICE_KEY_INDEX_H
#define POLICY_CHOICE_KEY_INDEX_H

#include <stdint.h>

/** Uses open addressing; at most half full. */
struct key_index
{
  struct key_index_slot *slots;
  uint64_t mask;
};

/** Create an empty index for up to COUNT keys. */
void key_index_init (struct key_index *index, uint32_t count);
void key_index_clear (struct key_index *index);
void key_index_add (struct key_index *index, uint64_t key, uint32_t number);
/** The number of KEY, or POLICY_NO_TARGET. */
uint32_t key_index_find (const struct key_index *index, uint64_t key);

#endif
