#include "node/caller/request_head.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xmalloc.h"
#include "node/caller/route_table.h"

enum
{
  DEADLINE_MAX_MS = 60 * 60 * 1000,
  ATTEMPTS_MAX = 1000
};

static enum MHD_Result
add_header_field (void *owner, enum MHD_ValueKind kind, const char *name,
                  size_t name_size, const char *value, size_t value_size)
{
  struct header_list *headers = owner;
  const enum status status = header_list_add (
      headers, name, name_size, value != NULL ? value : "", value_size);
  return status == STATUS_OK ? MHD_YES : MHD_NO;
}

/* Store the host of AUTHORITY in lower case.  An IPv6 address keeps its
   brackets. */
static void
read_host (struct request_head *head, const char *authority)
{
  if (authority == NULL)
    return;
  const char *bracket = authority[0] == '[' ? strchr (authority, ']') : NULL;
  const size_t size = bracket != NULL ? (size_t)(bracket + 1 - authority)
                                      : strcspn (authority, ":");
  for (size_t i = 0; i < size && i < sizeof head->host - 1; i++)
    head->host[i] = (char)tolower ((unsigned char)authority[i]);
}

static enum status
read_number (const char *name, const char *text, int64_t *number)
{
  char *end;
  errno = 0;
  const long long value = strtoll (text, &end, 10);
  if (!isdigit ((unsigned char)text[0]) || *end != '\0' || errno != 0)
    return status_set (STATUS_INVALID,
                       "%s is not a whole number: send digits only", name);
  *number = value;
  return STATUS_OK;
}

static enum status
read_body (struct request_head *head)
{
  const char *coding = header_list_find (&head->headers, "Transfer-Encoding");
  const char *length = header_list_find (&head->headers, "Content-Length");
  if (coding != NULL && length != NULL)
    return status_set (STATUS_INVALID,
                       "both Content-Length and Transfer-Encoding are given: "
                       "send one of them");
  if (coding != NULL)
    {
      head->body = REQUEST_BODY_CHUNKED;
      if (strcasecmp (coding, "chunked") != 0)
        return status_set (STATUS_INVALID,
                           "this Transfer-Encoding is not supported: send "
                           "chunked or Content-Length");
    }
  if (length == NULL)
    return STATUS_OK;
  head->body = REQUEST_BODY_SIZED;
  return read_number ("Content-Length", length, &head->body_bytes);
}

static enum status
read_jaystair_fields (struct request_head *head)
{
  const char *ticket = header_list_find (&head->headers, "Jaystair-Ticket");
  if (ticket != NULL && strlen (ticket) >= sizeof head->ticket)
    return status_set (STATUS_INVALID, "Jaystair-Ticket is too long: send a "
                                       "ticket as it was handed out");
  if (ticket != NULL)
    snprintf (head->ticket, sizeof head->ticket, "%s", ticket);
  head->relayed
      = header_list_find (&head->headers, "Jaystair-Relayed") != NULL;
  head->is_forwarded
      = header_list_find (&head->headers, "Jaystair-Forwarded") != NULL;
  head->may_have_run
      = head->is_forwarded
        && header_list_find (&head->headers, "Jaystair-May-Have-Run") != NULL;
  const char *attempts
      = header_list_find (&head->headers, "Jaystair-Attempts");
  if (head->is_forwarded && attempts != NULL)
    {
      const unsigned long count = strtoul (attempts, NULL, 10);
      head->is_counted = true;
      head->attempts = count < ATTEMPTS_MAX ? (uint32_t)count : ATTEMPTS_MAX;
    }
  const char *service = header_list_find (&head->headers, "Jaystair-Service");
  const char *target = header_list_find (&head->headers, "Jaystair-Target");
  if (!head->relayed || service == NULL || target == NULL)
    return STATUS_OK;
  snprintf (head->service, sizeof head->service, "%s", service);
  snprintf (head->target, sizeof head->target, "%s", target);
  return STATUS_OK;
}

static enum status
read_interface_fields (struct request_head *head,
                       const struct caller_interface *interface)
{
  const char *id = header_list_find (&head->headers, interface->request_id);
  if (id != NULL)
    snprintf (head->id, sizeof head->id, "%.*s", REQUEST_ID_SIZE - 1, id);
  const char *deadline
      = header_list_find (&head->headers, interface->deadline_ms);
  if (deadline == NULL)
    return STATUS_OK;
  const enum status status
      = read_number (interface->deadline_ms, deadline, &head->deadline_ms);
  if (head->deadline_ms > DEADLINE_MAX_MS)
    head->deadline_ms = DEADLINE_MAX_MS;
  return status;
}

/* Another host that the request is passed on to checks the key again. */
static void
keep_credentials (struct request_head *head)
{
  const char *credentials = header_list_find (&head->headers, "Authorization");
  if (credentials != NULL)
    head->credentials = xstrdup (credentials);
}

static uint32_t
head_bytes (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return info == NULL ? 0 : (uint32_t)info->header_size;
}

static enum status
read_fields (struct request_head *head,
             const struct caller_interface *interface, const char *uri)
{
  read_host (head, header_list_find (&head->headers, "Host"));
  enum status status = read_body (head);
  if (status == STATUS_OK)
    status = read_jaystair_fields (head);
  if (status == STATUS_OK)
    status = read_interface_fields (head, interface);
  if (status == STATUS_OK)
    status = route_path_normalise (uri, head->path, sizeof head->path);
  const char *expect = header_list_find (&head->headers, "Expect");
  head->key = request_key_read (&head->headers);
  keep_credentials (head);
  head->expects_continue
      = expect != NULL && strcasecmp (expect, "100-continue") == 0;
  header_list_remove_hop_by_hop (&head->headers);
  header_list_remove_prefix (&head->headers, "Jaystair-");
  header_list_remove (&head->headers, interface->deadline_ms);
  header_list_remove_equivalent (&head->headers, interface->workspace);
  if (interface->intended_target != NULL)
    header_list_remove (&head->headers, interface->intended_target);
  return status;
}

enum status
request_head_read (struct request_head *head,
                   const struct caller_interface *interface,
                   struct MHD_Connection *connection, const char *uri,
                   const char *method, const char *version)
{
  head->deadline_ms = -1;
  head->http_1_0 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
  head->head_bytes = head_bytes (connection);
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, add_header_field,
                               &head->headers);
  if (strlen (method) >= sizeof head->method)
    return status_set (STATUS_INVALID, "the method is too long");
  snprintf (head->method, sizeof head->method, "%s", method);
  /* A success would make the connection a tunnel (RFC 9110, 9.3.6). */
  if (strcmp (method, MHD_HTTP_METHOD_CONNECT) == 0)
    return status_set (STATUS_INVALID,
                       "CONNECT isn't supported: send the request itself");
  return read_fields (head, interface, uri);
}

void
request_head_release (struct request_head *head)
{
  header_list_release (&head->headers);
  free (head->credentials);
}
