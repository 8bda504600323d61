#include "ctl/log_line.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

/* Members that every line has; all others are fields. */
static const char *const header_keys[]
    = { "time", "level", "module", "event" };

enum
{
  HEADER_KEY_COUNT = sizeof header_keys / sizeof header_keys[0],
};

/* `2026-12-02T21:41:00.123Z` */
static bool
is_time (const char *word, size_t length)
{
  static const char pattern[] = "dddd-dd-ddTdd:dd:dd";
  if (length < sizeof pattern - 1 || word[length - 1] != 'Z')
    return false;
  for (size_t i = 0; pattern[i] != '\0'; i++)
    if (pattern[i] == 'd' ? !isdigit ((unsigned char)word[i])
                          : word[i] != pattern[i])
      return false;
  return true;
}

static void
copy_word (char *to, size_t size, const char *word, size_t length)
{
  snprintf (to, size, "%.*s", (int)length, word);
}

/* Find the next word from *AT on and advance *AT past it.
   @return its length, 0 at the end of the line. */
static size_t
next_word (const char **at, const char **word)
{
  *at += strspn (*at, " \t");
  *word = *at;
  const size_t length = strcspn (*at, " \t\r\n");
  *at += length;
  return length;
}

/* A quoted value is written as JSON text. */
static struct json_object *
read_value (const char **at)
{
  const char *from = *at;
  if (*from != '"')
    {
      const char *word;
      const size_t length = next_word (at, &word);
      return json_object_new_string_len (word, (int)length);
    }
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *value
      = json_tokener_parse_ex (tokener, from, (int)strlen (from));
  *at = from + json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  return value;
}

static void
read_fields (const char *at, struct json_object *fields)
{
  for (;;)
    {
      at += strspn (at, " \t");
      const size_t length = strcspn (at, "= \t\r\n");
      if (length == 0 || at[length] != '=' || length >= LOG_LINE_WORD_SIZE)
        return;
      char key[LOG_LINE_WORD_SIZE];
      copy_word (key, sizeof key, at, length);
      at += length + 1;
      struct json_object *value = read_value (&at);
      if (value == NULL)
        return;
      json_object_object_add (fields, key, value);
    }
}

static bool
read_text (const char *text, struct log_line *line)
{
  const char *at = text;
  const char *word;
  size_t length;
  for (;;)
    {
      length = next_word (&at, &word);
      if (length == 0)
        return false;
      if (is_time (word, length))
        break;
      copy_word (line->source, sizeof line->source, word, length);
    }
  copy_word (line->time, sizeof line->time, word, length);
  length = next_word (&at, &word);
  copy_word (line->level, sizeof line->level, word, length);
  length = next_word (&at, &word);
  copy_word (line->module, sizeof line->module, word, length);
  length = next_word (&at, &word);
  copy_word (line->event, sizeof line->event, word, length);
  if (length == 0)
    return false;
  line->fields = json_object_new_object ();
  read_fields (at, line->fields);
  return true;
}

static bool
read_json (const char *text, const char *brace, struct log_line *line)
{
  struct json_object *root = json_tokener_parse (brace);
  char *const buffers[HEADER_KEY_COUNT]
      = { line->time, line->level, line->module, line->event };
  const size_t sizes[HEADER_KEY_COUNT]
      = { sizeof line->time, sizeof line->level, sizeof line->module,
          sizeof line->event };
  for (size_t i = 0; i < HEADER_KEY_COUNT; i++)
    {
      struct json_object *member;
      if (!json_object_is_type (root, json_type_object)
          || !json_object_object_get_ex (root, header_keys[i], &member))
        {
          json_object_put (root);
          return false;
        }
      snprintf (buffers[i], sizes[i], "%s", json_object_get_string (member));
    }
  for (size_t i = 0; i < HEADER_KEY_COUNT; i++)
    json_object_object_del (root, header_keys[i]);
  const char *at = text;
  const char *word;
  size_t length;
  while ((length = next_word (&at, &word)) > 0 && word < brace)
    copy_word (line->source, sizeof line->source, word, length);
  line->fields = root;
  return true;
}

bool
log_line_read (const char *text, struct log_line *line)
{
  *line = (struct log_line){ .fields = NULL };
  const char *brace = strchr (text, '{');
  return (brace != NULL && read_json (text, brace, line))
         || read_text (text, line);
}

void
log_line_release (struct log_line *line)
{
  json_object_put (line->fields);
  line->fields = NULL;
}

const char *
log_line_text (const struct log_line *line, const char *key)
{
  struct json_object *value;
  if (!json_object_object_get_ex (line->fields, key, &value))
    return "";
  return json_object_get_string (value);
}

int64_t
log_line_number (const struct log_line *line, const char *key)
{
  struct json_object *value;
  if (!json_object_object_get_ex (line->fields, key, &value))
    return 0;
  return json_object_get_int64 (value);
}
