#include "base/json_spans.h"

#include <string.h>

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static void
skip_space (struct json_spans *spans)
{
  while (spans->at < spans->end && is_space (*spans->at))
    spans->at++;
}

static bool
is_escaped (const char *quote, const char *start)
{
  const char *at = quote;
  while (at > start && at[-1] == '\\')
    at--;
  return (quote - at) % 2 != 0;
}

/* Returns the byte after the string that begins at AT, or NULL if it doesn't
   end. */
static const char *
skip_string (const char *at, const char *end)
{
  const char *start = at + 1;
  const char *quote = start;
  while ((quote = memchr (quote, '"', (size_t)(end - quote))) != NULL)
    {
      if (!is_escaped (quote, start))
        return quote + 1;
      quote++;
    }
  return NULL;
}

/* Only brackets of the kind that opens the value count, so that an unpaired
   bracket of the other kind doesn't shift what follows. */
static const char *
skip_brackets (const char *at, const char *end)
{
  const char opening = *at;
  const char closing = opening == '{' ? '}' : ']';
  size_t depth = 0;
  while (at != NULL && at < end)
    {
      if (*at == '"')
        {
          at = skip_string (at, end);
          continue;
        }
      depth += *at == opening;
      if (*at == closing && --depth == 0)
        return at + 1;
      at++;
    }
  return NULL;
}

static const char *
skip_literal (const char *at, const char *end)
{
  while (at < end && strchr (",]}", *at) == NULL && !is_space (*at))
    at++;
  return at;
}

/* Whether a value ends at the current byte. */
static bool
is_at_separator (struct json_spans *spans)
{
  skip_space (spans);
  return spans->at < spans->end
         && (*spans->at == ',' || *spans->at == spans->closing);
}

static bool
take_value (struct json_spans *spans, struct json_span *value)
{
  skip_space (spans);
  const char *start = spans->at;
  const char *after = NULL;
  if (start == spans->end)
    return false;
  if (*start == '"')
    after = skip_string (start, spans->end);
  else if (*start == '{' || *start == '[')
    after = skip_brackets (start, spans->end);
  else
    after = skip_literal (start, spans->end);
  if (after == NULL || after == start)
    return false;
  spans->at = after;
  *value = (struct json_span){ start, (size_t)(after - start) };
  return is_at_separator (spans);
}

static bool
open_value (struct json_spans *spans, struct json_span value, char opening,
            char closing)
{
  *spans = (struct json_spans){ .at = value.text,
                                .end = value.text + value.size,
                                .closing = closing,
                                .is_first = true };
  if (value.text == NULL)
    return false;
  skip_space (spans);
  if (spans->at == spans->end || *spans->at != opening)
    return false;
  spans->at++;
  return true;
}

bool
json_spans_open_object (struct json_spans *spans, struct json_span value)
{
  return open_value (spans, value, '{', '}');
}

bool
json_spans_open_array (struct json_spans *spans, struct json_span value)
{
  return open_value (spans, value, '[', ']');
}

/* Moves to the next member or element.  After the closing bracket there is
   none. */
static bool
has_next (struct json_spans *spans)
{
  skip_space (spans);
  if (spans->is_complete || spans->at == spans->end)
    return false;
  if (*spans->at == spans->closing)
    {
      spans->at++;
      skip_space (spans);
      spans->is_complete = spans->at == spans->end;
      spans->end = spans->at;
      return false;
    }
  if (!spans->is_first && *spans->at++ != ',')
    return false;
  spans->is_first = false;
  return true;
}

/* Ends the walk where the text is broken. */
static bool
stop (struct json_spans *spans)
{
  spans->end = spans->at;
  return false;
}

bool
json_spans_next_member (struct json_spans *spans, struct json_span *key,
                        struct json_span *value)
{
  if (!has_next (spans))
    return false;
  skip_space (spans);
  if (spans->at == spans->end || *spans->at != '"')
    return stop (spans);
  const char *after = skip_string (spans->at, spans->end);
  if (after == NULL)
    return stop (spans);
  *key = (struct json_span){ spans->at + 1, (size_t)(after - spans->at) - 2 };
  spans->at = after;
  skip_space (spans);
  if (spans->at == spans->end || *spans->at++ != ':')
    return stop (spans);
  return take_value (spans, value) || stop (spans);
}

bool
json_spans_next_element (struct json_spans *spans, struct json_span *value)
{
  return has_next (spans) && (take_value (spans, value) || stop (spans));
}

bool
json_spans_member (struct json_span text, const char *key,
                   struct json_span *value)
{
  struct json_spans spans;
  struct json_span found_key;
  struct json_span found;
  *value = (struct json_span){ 0 };
  if (!json_spans_open_object (&spans, text))
    return false;
  while (json_spans_next_member (&spans, &found_key, &found))
    if (json_span_equals (found_key, key))
      *value = found;
  return spans.is_complete;
}

bool
json_span_equals (struct json_span span, const char *text)
{
  return span.text != NULL && strlen (text) == span.size
         && memcmp (span.text, text, span.size) == 0;
}
