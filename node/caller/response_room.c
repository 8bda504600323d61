#include "node/caller/response_room.h"

#include <string.h>

enum
{
  /* A record's size in libmicrohttpd 0.9.75. */
  RECORD_BYTES = 64,
  /* Of the host's own response, or the status line and the fields that are
     added to a target's, without the id of the request. */
  OWN_FIELDS_BYTES = 512,
  FIELD_FRAMING_BYTES = 4, /* ": " and the end of the line */
  LIST_FRAMING_BYTES = 2   /* the ends of name and value in a header_list */
};

size_t
response_room_memory_bytes (const struct caller_limits *limits)
{
  return (size_t)limits->header_bytes * 2;
}

static size_t
record_bytes (const struct exchange *x)
{
  const int count = MHD_get_connection_values (
      x->connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
      NULL, NULL);
  const char *cookies = header_list_find (&x->head.headers, "Cookie");
  const size_t copied_bytes = cookies != NULL ? strlen (cookies) : 0;
  return (size_t)count * RECORD_BYTES + copied_bytes;
}

static size_t
own_fields_bytes (const struct exchange *x)
{
  const char *id
      = header_list_find (&x->head.headers, x->context->interface->request_id);
  return OWN_FIELDS_BYTES + (id != NULL ? strlen (id) : 0);
}

bool
response_room_has_local (const struct exchange *x)
{
  return x->head.head_bytes + record_bytes (x) + own_fields_bytes (x)
         <= response_room_memory_bytes (&x->context->settings->limits);
}

bool
response_room_has_target (const struct exchange *x)
{
  const struct header_list *headers = &x->attempt.headers;
  const size_t memory_bytes
      = response_room_memory_bytes (&x->context->settings->limits);
  /* The library reads up to half of its memory ahead. */
  const size_t read_bytes = x->head.head_bytes > memory_bytes / 2
                                ? x->head.head_bytes
                                : memory_bytes / 2;
  const size_t head_bytes
      = headers->used_bytes
        + headers->count * (FIELD_FRAMING_BYTES - LIST_FRAMING_BYTES);
  return x->connection == NULL
         || read_bytes + record_bytes (x) + OWN_FIELDS_BYTES + head_bytes
                <= memory_bytes;
}
