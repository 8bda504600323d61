#include "node/caller/own_answer.h"

#include <stdio.h>
#include <string.h>

#include "base/json_text.h"

enum
{
  BODY_SIZE = 512,
  NUMBER_SIZE = 16,
  MS_PER_SECOND = 1000
};

const char *
answer_outcome_name (enum answer_outcome outcome)
{
  static const char *const names[] = { [ANSWER_NOT_RUN] = "not-run",
                                       [ANSWER_UNKNOWN] = "unknown",
                                       [ANSWER_RAN] = "ran" };
  return names[outcome];
}

static size_t
format_body (const struct own_answer *answer, char text[BODY_SIZE])
{
  char message[BODY_SIZE - 128];
  json_text_quote (message, sizeof message, answer->message);
  const int size = snprintf (
      text, BODY_SIZE,
      "{\"outcome\":\"%s\",\"reason\":\"%s\",\"message\":%s}\n",
      answer_outcome_name (answer->outcome), answer->reason, message);
  return (size_t)size < BODY_SIZE ? (size_t)size : BODY_SIZE - 1;
}

static uint32_t
retry_after_seconds (const struct own_answer *answer)
{
  return (answer->retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
}

static void
add_number (struct MHD_Response *response, const char *name, uint32_t number)
{
  char text[NUMBER_SIZE];
  snprintf (text, sizeof text, "%u", number);
  MHD_add_response_header (response, name, text);
}

struct MHD_Response *
own_answer_response (const struct own_answer *answer, bool close)
{
  char body[BODY_SIZE];
  const size_t size = format_body (answer, body);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Cache-Control", "no-store");
  MHD_add_response_header (response, "Jaystair-Outcome",
                           answer_outcome_name (answer->outcome));
  if (answer->retry_after_ms > 0)
    {
      add_number (response, "Retry-After", retry_after_seconds (answer));
      add_number (response, "Jaystair-Retry-After-Ms", answer->retry_after_ms);
    }
  if (close)
    MHD_add_response_header (response, "Connection", "close");
  return response;
}

size_t
own_answer_bytes (const struct own_answer *answer,
                  char text[OWN_ANSWER_TEXT_SIZE])
{
  char body[BODY_SIZE];
  char retry[128] = "";
  const size_t size = format_body (answer, body);
  if (answer->retry_after_ms > 0)
    snprintf (retry, sizeof retry,
              "Retry-After: %u\r\nJaystair-Retry-After-Ms: %u\r\n",
              retry_after_seconds (answer), answer->retry_after_ms);
  const int total
      = snprintf (text, OWN_ANSWER_TEXT_SIZE,
                  "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                  "Cache-Control: no-store\r\nJaystair-Outcome: %s\r\n%s"
                  "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                  answer->status, MHD_get_reason_phrase_for (answer->status),
                  answer_outcome_name (answer->outcome), retry, size, body);
  return (size_t)total < OWN_ANSWER_TEXT_SIZE ? (size_t)total : 0;
}
