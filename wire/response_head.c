#include "wire/response_head.h"

#include <string.h>

enum
{
  STATUS_FINAL_MIN = 200,
};

static bool
is_status_line (const char *line, size_t size)
{
  static const char start[] = "HTTP/";
  return size >= sizeof start - 1
         && memcmp (line, start, sizeof start - 1) == 0;
}

static enum response_line
end_head (struct response_head *head)
{
  long status = 0;
  curl_easy_getinfo (head->easy, CURLINFO_RESPONSE_CODE, &status);
  head->part = status < STATUS_FINAL_MIN ? RESPONSE_NONE : RESPONSE_BODY;
  return status < STATUS_FINAL_MIN ? RESPONSE_LINE_INTERIM_END
                                   : RESPONSE_LINE_END;
}

static enum response_line
add_line (struct response_head *head, const char *line, size_t size)
{
  if (head->part == RESPONSE_BODY)
    return RESPONSE_LINE_TRAILER;
  if (line[0] == '\r' || line[0] == '\n')
    return end_head (head);
  head->part = RESPONSE_HEAD;
  return is_status_line (line, size) ? RESPONSE_LINE_STATUS
                                     : RESPONSE_LINE_FIELD;
}

static size_t
on_header (char *line, size_t size, size_t count, void *owner)
{
  struct response_head *head = owner;
  const size_t bytes = size * count;
  const enum response_line what = add_line (head, line, bytes);
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
      return "no answer";
    case RESPONSE_HEAD:
      return "the answer's head is cut";
    case RESPONSE_BODY:
      return "the answer's body is cut";
    }
  return "";
}
