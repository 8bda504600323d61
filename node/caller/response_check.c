#include "node/caller/response_check.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  MS_PER_SECOND = 1000,
  IDLE_MAX_S = 24 * 60 * 60,
  RETRY_AFTER_MAX_MS = 60 * 60 * 1000
};

/* Only a target's own word tells that a request was not run. */
bool
response_check_is_shed (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  const char *said
      = header_list_find (&x->attempt.headers, interface->not_run);
  const uint32_t status = x->attempt.status;
  if (status == MHD_HTTP_MISDIRECTED_REQUEST)
    return interface->intended_target != NULL;
  if (said == NULL || status < MHD_HTTP_BAD_REQUEST)
    return false;
  return interface->not_run_value == NULL
         || (strcasecmp (said, interface->not_run_value) == 0
             && (status == MHD_HTTP_SERVICE_UNAVAILABLE
                 || status == MHD_HTTP_TOO_MANY_REQUESTS));
}

/* When a target that shed the request wants to be asked again. */
void
response_check_store_retry_after (struct exchange *x)
{
  const struct header_list *headers = &x->attempt.headers;
  const char *name = x->context->interface->retry_after_ms;
  const char *exact = name != NULL ? header_list_find (headers, name) : NULL;
  const char *seconds = header_list_find (headers, "Retry-After");
  long long after_ms = 0;
  if (exact != NULL)
    after_ms = strtoll (exact, NULL, 10);
  else if (seconds != NULL)
    after_ms = (long long)(strtod (seconds, NULL) * MS_PER_SECOND);
  if (after_ms < 0 || after_ms > RETRY_AFTER_MAX_MS)
    return;
  x->target_retry_after_ms = (uint32_t)after_ms;
}

static void
note_leaving (struct exchange *x)
{
  const char *name = x->context->interface->leaving;
  const char *leaving
      = name != NULL ? header_list_find (&x->attempt.headers, name) : NULL;
  if (leaving != NULL && strcmp (leaving, "1") == 0)
    caller_service_set_leaving (x->service, x->attempt.key, true);
}

/* `Keep-Alive: timeout=10`, in seconds. */
static void
note_idle (struct exchange *x)
{
  const char *told = header_list_find (&x->attempt.headers, "Keep-Alive");
  const char *timeout = told != NULL ? strstr (told, "timeout=") : NULL;
  if (timeout == NULL)
    return;
  const long seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds > 0 && seconds < IDLE_MAX_S)
    caller_service_set_idle_timeout (x->service, x->attempt.key,
                                     (uint32_t)seconds * MS_PER_SECOND);
}

void
response_check_update_target (struct exchange *x)
{
  note_leaving (x);
  note_idle (x);
}

/* A head that libmicrohttpd could not write whole would end the caller's
   connection without a word. */
bool
response_check_is_too_large (const struct exchange *x)
{
  return x->attempt.headers.used_bytes
         > x->context->settings->limits.header_bytes;
}

/* What is wrong with the answer's head; NULL when nothing is.
   Guards against bytes on a kept connection that are another request's
   answer, or no target's at all: they come late, after the request that they
   belong to was given up, or beside a first answer.  Shows as a caller that
   gets somebody else's answer.  The identity that each answer repeats, and
   the signature that only a target can make, tell them apart. */
const char *
response_check_error (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  const struct header_list *headers = &x->attempt.headers;
  const bool is_success = x->attempt.status < MHD_HTTP_MULTIPLE_CHOICES;
  if (interface->targets_echo_request_id)
    {
      const char *echo = header_list_find (headers, interface->request_id);
      if (echo == NULL ? is_success : strcmp (echo, x->head.id) != 0)
        return "the answer is another request's";
    }
  if (is_success && interface->signature != NULL
      && header_list_find (headers, interface->signature) == NULL)
    return "the answer bears no signature";
  if (interface->rejects_content_coding
      && header_list_find (headers, "Content-Encoding") != NULL)
    return "the answer's body is coded";
  return NULL;
}

/* Guards against a promise that no target has made: a caller takes these for
   "not run and never will be". */
bool
response_check_is_unsigned_refusal (const struct exchange *x)
{
  switch (x->attempt.status)
    {
    case MHD_HTTP_REQUEST_TIMEOUT:
    case MHD_HTTP_MISDIRECTED_REQUEST:
    case MHD_HTTP_TOO_MANY_REQUESTS:
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      return x->context->interface->signature != NULL;
    default:
      return false;
    }
}
