#include "wire/response_head.h"

#include <ctype.h>
#include <string.h>

enum
{
  STATUS_SWITCHING_PROTOCOLS = 101,
  STATUS_FINAL_MIN = 200,
  TRAILER_BYTES_MAX = 16 * 1024,
};

/* Which status codes libcurl accepts depends on its version.  Codes outside
   100 to 599 are invalid (RFC 9110, 15). */
static bool
is_status_line (const char *line, size_t size)
{
  static const char pattern[] = "HTTP/1.0 000";
  const size_t length = sizeof pattern - 1;
  if (size <= length)
    return false;
  for (size_t i = 0; i < length; i++)
    if (pattern[i] == '0' ? !isdigit ((unsigned char)line[i])
                          : line[i] != pattern[i])
      return false;
  const char class = line[length - 3];
  return class >= '1' && class <= '5'
         && strchr (" \r\n", line[length]) != NULL;
}

/* Whether LINE contains "HTTP/1.1 200" or the like. */
static bool
contains_status_line (const char *line, size_t size)
{
  static const char pattern[] = "HTTP/0.0 000";
  const size_t length = sizeof pattern - 1;
  for (size_t at = 0; at + length <= size; at++)
    {
      size_t i = 0;
      while (i < length
             && (pattern[i] == '0' ? isdigit ((unsigned char)line[at + i]) != 0
                                   : line[at + i] == pattern[i]))
        i++;
      if (i == length)
        return true;
    }
  return false;
}

static bool
is_field_line (const char *line, size_t size)
{
  const char *colon = memchr (line, ':', size);
  size_t name_size = colon != NULL ? (size_t)(colon - line) : 0;
  while (name_size > 0
         && (line[name_size - 1] == ' ' || line[name_size - 1] == '\t'))
    name_size--;
  for (size_t i = 0; i < name_size; i++)
    if (!isgraph ((unsigned char)line[i]))
      return false;
  return name_size > 0;
}

/* A server may send a part of a head and, after it, its answer to the next
   request.  libcurl takes the first status and all fields for one head. */
static bool
is_well_formed (const struct response_head *head, const char *line,
                size_t size)
{
  if (head->part == RESPONSE_NONE)
    return is_status_line (line, size)
           && !contains_status_line (line + 1, size - 1);
  const bool is_folded = line[0] == ' ' || line[0] == '\t';
  return (is_folded || is_field_line (line, size))
         && !contains_status_line (line, size);
}

static bool
is_empty_line (const char *line, size_t size)
{
  return (size == 2 && line[0] == '\r' && line[1] == '\n')
         || (size == 1 && line[0] == '\n');
}

/* No request here asks for another protocol.  libcurl takes what follows a 101
   for a body that ends with the connection. */
static enum response_line
end_head (struct response_head *head)
{
  long status = 0;
  curl_easy_getinfo (head->easy, CURLINFO_RESPONSE_CODE, &status);
  head->is_malformed = status == STATUS_SWITCHING_PROTOCOLS;
  head->part = status < STATUS_FINAL_MIN ? RESPONSE_NONE : RESPONSE_BODY;
  return status < STATUS_FINAL_MIN ? RESPONSE_LINE_INTERIM_END
                                   : RESPONSE_LINE_END;
}

/* libcurl keeps a copy of each trailer field and limits neither their number
   nor their total size. */
static bool
add_trailer_line (struct response_head *head, size_t size)
{
  head->trailer_bytes += size;
  return head->trailer_bytes <= TRAILER_BYTES_MAX;
}

/* Sets WHAT; returns false if the head is malformed or the trailer too
   large. */
static bool
add_line (struct response_head *head, const char *line, size_t size,
          enum response_line *what)
{
  if (head->part == RESPONSE_BODY)
    {
      *what = RESPONSE_LINE_TRAILER;
      return add_trailer_line (head, size);
    }
  if (head->part == RESPONSE_HEAD && is_empty_line (line, size))
    {
      *what = end_head (head);
      return !head->is_malformed;
    }
  *what = head->part == RESPONSE_NONE ? RESPONSE_LINE_STATUS
                                      : RESPONSE_LINE_FIELD;
  head->is_malformed = !is_well_formed (head, line, size);
  head->part = RESPONSE_HEAD;
  return !head->is_malformed;
}

static size_t
on_header (char *line, size_t size, size_t count, void *owner)
{
  struct response_head *head = owner;
  const size_t bytes = size * count;
  enum response_line what;
  if (!add_line (head, line, bytes, &what))
    return 0;
  if (head->on_line == NULL || head->on_line (head->owner, what, line, bytes))
    return bytes;
  return 0;
}

void
response_head_attach (struct response_head *head, CURL *easy,
                      response_head_line *on_line, void *owner)
{
  *head = (struct response_head){ .easy = easy,
                                  .on_line = on_line,
                                  .owner = owner };
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, head);
}

void
response_head_restart (struct response_head *head)
{
  head->part = RESPONSE_NONE;
  head->is_malformed = false;
  head->trailer_bytes = 0;
}

CURLcode
response_head_result (const struct response_head *head, CURLcode code)
{
  if (code != CURLE_OK || head->part == RESPONSE_BODY)
    return code;
  return head->part == RESPONSE_NONE ? CURLE_GOT_NOTHING : CURLE_PARTIAL_FILE;
}

const char *
response_head_describe (const struct response_head *head)
{
  switch (head->part)
    {
    case RESPONSE_NONE:
      return head->is_malformed ? "the answer's head is malformed"
                                : "no answer";
    case RESPONSE_HEAD:
      return head->is_malformed ? "the answer's head is malformed"
                                : "the answer's head is cut";
    case RESPONSE_BODY:
      return head->trailer_bytes > TRAILER_BYTES_MAX
                 ? "the answer's trailer is too large"
                 : "the answer's body is cut";
    }
  return "";
}
