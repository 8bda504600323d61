/** @file
 * The header fields of one message on its way through.
 *
 * Names compare without case.  The total size is bounded, so that a target's
 * answer can't grow memory.
 */
#ifndef NODE_CALLER_HEADER_LIST_H
#define NODE_CALLER_HEADER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** One field, as offsets into the list's text. */
struct header_field
{
  uint32_t name;
  uint32_t value;
};

struct header_list
{
  char *text;
  size_t used_bytes;
  size_t size_bytes;
  struct header_field *fields;
  size_t count;
  size_t capacity;
};

void header_list_release (struct header_list *list);
/** Take out all fields; the memory stays. */
void header_list_clear (struct header_list *list);

/** Add a field; STATUS_LIMIT past the most bytes a head may have. */
enum status header_list_add (struct header_list *list, const char *name,
                             size_t name_size, const char *value,
                             size_t value_size);

static inline const char *
header_list_name (const struct header_list *list, size_t i)
{
  return list->text + list->fields[i].name;
}

static inline const char *
header_list_value (const struct header_list *list, size_t i)
{
  return list->text + list->fields[i].value;
}

/** Is NAME a spelling of FIELD?  Some who read a field take `_` for `-`, or
 * pass over blanks before the colon, so these are spellings as well. */
bool header_name_matches (const char *name, const char *field);

/** The value of the first field called NAME, or NULL. */
const char *header_list_find (const struct header_list *list,
                              const char *name);

/** Take out every field called NAME. */
void header_list_remove (struct header_list *list, const char *name);
/** Take out every field whose name is a spelling of NAME: what nobody behind
 * may take for our word. */
void header_list_remove_equivalent (struct header_list *list,
                                    const char *name);
/** Take out every field whose name starts with PREFIX. */
void header_list_remove_prefix (struct header_list *list, const char *prefix);

/** Take out the fields that are for one connection only: those of RFC 9110
 * section 7.6.1, those that `Connection` lists, and the framing of the body,
 * which each connection has its own of. */
void header_list_remove_hop_by_hop (struct header_list *list);

#endif
