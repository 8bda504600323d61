#include "node/caller/header_list.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xmalloc.h"

enum
{
  INITIAL_TEXT_BYTES = 1024,
  INITIAL_FIELD_CAPACITY = 16,
  FIELD_NAME_SIZE = 128,
  LIST_BYTES_MAX = 64 * 1024
};

static const char *const hop_by_hop[]
    = { "Connection", "Keep-Alive",         "Proxy-Connection",
        "TE",         "Proxy-Authenticate", "Proxy-Authorization",
        "Trailer",    "Transfer-Encoding",  "Upgrade",
        "Expect",     "Content-Length" };

void
header_list_release (struct header_list *list)
{
  free (list->text);
  free (list->fields);
  *list = (struct header_list){ 0 };
}

void
header_list_clear (struct header_list *list)
{
  list->used_bytes = 0;
  list->count = 0;
}

static uint32_t
add_text (struct header_list *list, const char *text, size_t size)
{
  const size_t needed = list->used_bytes + size + 1;
  if (needed > list->size_bytes)
    {
      size_t new_size
          = list->size_bytes > 0 ? list->size_bytes : INITIAL_TEXT_BYTES;
      while (new_size < needed)
        new_size *= 2;
      list->text = xreallocarray (list->text, new_size, 1);
      list->size_bytes = new_size;
    }
  const uint32_t offset = (uint32_t)list->used_bytes;
  memcpy (list->text + offset, text, size);
  list->text[offset + size] = '\0';
  list->used_bytes = needed;
  return offset;
}

enum status
header_list_add (struct header_list *list, const char *name, size_t name_size,
                 const char *value, size_t value_size)
{
  if (list->used_bytes + name_size + value_size + 2 > LIST_BYTES_MAX)
    return status_set (STATUS_LIMIT,
                       "header fields are larger than %d bytes: send fewer "
                       "or shorter ones",
                       LIST_BYTES_MAX);
  if (list->count == list->capacity)
    {
      list->capacity
          = list->capacity > 0 ? list->capacity * 2 : INITIAL_FIELD_CAPACITY;
      list->fields
          = xreallocarray (list->fields, list->capacity, sizeof *list->fields);
    }
  struct header_field *field = &list->fields[list->count++];
  field->name = add_text (list, name, name_size);
  field->value = add_text (list, value, value_size);
  return STATUS_OK;
}

const char *
header_list_find (const struct header_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (header_list_name (list, i), name) == 0)
      return header_list_value (list, i);
  return NULL;
}

void
header_list_remove (struct header_list *list, const char *name)
{
  size_t kept = 0;
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (header_list_name (list, i), name) != 0)
      list->fields[kept++] = list->fields[i];
  list->count = kept;
}

static char
fold_char (char c)
{
  if (c == '_')
    return '-';
  return (char)tolower ((unsigned char)c);
}

bool
header_name_matches (const char *name, const char *field)
{
  size_t i = 0;
  while (field[i] != '\0' && fold_char (name[i]) == fold_char (field[i]))
    i++;
  return field[i] == '\0' && name[i + strspn (name + i, " \t")] == '\0';
}

void
header_list_remove_equivalent (struct header_list *list, const char *name)
{
  size_t kept = 0;
  for (size_t i = 0; i < list->count; i++)
    if (!header_name_matches (header_list_name (list, i), name))
      list->fields[kept++] = list->fields[i];
  list->count = kept;
}

void
header_list_remove_prefix (struct header_list *list, const char *prefix)
{
  const size_t size = strlen (prefix);
  size_t kept = 0;
  for (size_t i = 0; i < list->count; i++)
    if (strncasecmp (header_list_name (list, i), prefix, size) != 0)
      list->fields[kept++] = list->fields[i];
  list->count = kept;
}

static void
remove_listed (struct header_list *list, const char *names)
{
  while (*names != '\0')
    {
      names += strspn (names, ", \t");
      const size_t size = strcspn (names, ", \t");
      char name[FIELD_NAME_SIZE];
      if (size > 0 && size < sizeof name)
        {
          memcpy (name, names, size);
          name[size] = '\0';
          header_list_remove (list, name);
        }
      names += size;
    }
}

/* The returned value remains valid, because the text of a removed field stays
   in place. */
static const char *
remove_first (struct header_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (header_list_name (list, i), name) == 0)
      {
        const char *value = header_list_value (list, i);
        list->count--;
        memmove (&list->fields[i], &list->fields[i + 1],
                 (list->count - i) * sizeof *list->fields);
        return value;
      }
  return NULL;
}

void
header_list_remove_hop_by_hop (struct header_list *list)
{
  const char *names;
  while ((names = remove_first (list, "Connection")) != NULL)
    remove_listed (list, names);
  for (size_t i = 0; i < sizeof hop_by_hop / sizeof hop_by_hop[0]; i++)
    header_list_remove (list, hop_by_hop[i]);
}
