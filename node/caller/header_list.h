/** @file
 * The header fields of one request or response.
 *
 * Names are compared case-insensitively.  The total size is limited, so that a
 * target's response can't exhaust memory.
 */
#ifndef NODE_CALLER_HEADER_LIST_H
#define NODE_CALLER_HEADER_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/** A field, as offsets into the list's text. */
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
/** Remove all fields, but keep the memory. */
void header_list_clear (struct header_list *list);

/** Add a field.
 * @return STATUS_LIMIT if the list would exceed its size limit */
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

/** Return whether a receiver may treat NAME as FIELD.  Besides case, some
 * receivers treat `_` as `-` or ignore blanks before the colon. */
bool header_name_matches (const char *name, const char *field);

/** Return the value of the first field called NAME, or NULL. */
const char *header_list_find (const struct header_list *list,
                              const char *name);

/** Remove every field called NAME. */
void header_list_remove (struct header_list *list, const char *name);
/** Remove every field that a receiver may treat as NAME, so that no target can
 * take a caller's field for one of this host. */
void header_list_remove_equivalent (struct header_list *list,
                                    const char *name);
/** Remove every field whose name starts with PREFIX. */
void header_list_remove_prefix (struct header_list *list, const char *prefix);

/** Remove the fields that apply to one connection only: those of RFC 9110
 * section 7.6.1, those listed by `Connection`, and those that frame the body,
 * which is framed separately on each connection. */
void header_list_remove_hop_by_hop (struct header_list *list);

#endif
