#include "node/caller/exchange_fingerprint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

/* Uses the route's host: the request's may be the address of the entry host,
   which differs between repeated sends. */
static char *
head_text (const struct exchange *x)
{
  return xasprintf ("%s\n%s\n%s\n%s", x->head.method, x->route_host, x->uri,
                    x->workspace);
}

uint64_t
exchange_head_hash (const struct exchange *x)
{
  char *head = head_text (x);
  const uint64_t hash = fingerprint_head_hash (head, strlen (head));
  free (head);
  return hash;
}

/* Returns -1 for a chunked body that fills the prefix: its length is treated
   as unknown. */
static int64_t
body_bytes (const struct exchange *x)
{
  if (x->head.body == REQUEST_BODY_SIZED)
    return x->head.body_bytes;
  return body_prefix_is_full (&x->body_prefix) ? -1
                                               : (int64_t)x->body_prefix.used;
}

/* All bytes of the body that the fingerprint covers have been received. */
static bool
body_prefix_is_complete (const struct exchange *x)
{
  return x->head.body == REQUEST_BODY_NONE || x->upload.is_complete
         || body_prefix_is_full (&x->body_prefix)
         || (x->head.body == REQUEST_BODY_SIZED
             && (int64_t)x->body_prefix.used >= x->head.body_bytes);
}

bool
exchange_fingerprint (const struct exchange *x,
                      struct fingerprint *fingerprint)
{
  if (!body_prefix_is_complete (x))
    return false;
  char *head = head_text (x);
  *fingerprint = fingerprint_of (head, strlen (head), x->body_prefix.data,
                                 x->body_prefix.used, body_bytes (x));
  free (head);
  return true;
}

void
exchange_fingerprint_format (const struct exchange *x,
                             char text[FINGERPRINT_TEXT_SIZE])
{
  struct fingerprint fingerprint;
  if (exchange_fingerprint (x, &fingerprint))
    fingerprint_format (&fingerprint, text);
  else
    snprintf (text, FINGERPRINT_TEXT_SIZE, "-");
}
