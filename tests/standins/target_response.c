#include "tests/standins/target_response.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "tests/standins/target_body.h"

enum
{
  TRUNCATED_CONTENT_BYTES = 4096,
  BLOCK_BYTES = 4096
};

const char *
target_request_field (const struct request *request, const char *name)
{
  const char *value = MHD_lookup_connection_value (request->connection,
                                                   MHD_HEADER_KIND, name);
  return value != NULL ? value : "-";
}

enum MHD_Result
target_response_queue (struct request *request, unsigned int status,
                       struct MHD_Response *response)
{
  const struct target_server *server = request->server;
  MHD_add_response_header (response, "X-Target", server->name);
  MHD_add_response_header (response, "X-Request-Id",
                           target_request_field (request, "X-Request-Id"));
  MHD_add_response_header (
      response, "X-Seen-Deadline",
      target_request_field (request, "Jaystair-Deadline-Ms"));
  if (server->faults.limit[0] != '\0')
    MHD_add_response_header (response, "Jaystair-Limit", server->faults.limit);
  if (server->faults.leave != 0)
    MHD_add_response_header (response, "Jaystair-Leaving", "1");
  request->responded = true;
  const enum MHD_Result result
      = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
target_response_queue_text (struct request *request, unsigned int status,
                            const char *text, size_t size)
{
  return target_response_queue (
      request, status,
      MHD_create_response_from_buffer (size, (void *)(uintptr_t)text,
                                       MHD_RESPMEM_MUST_COPY));
}

static ssize_t
read_remaining (void *owner, uint64_t position, char *data, size_t size)
{
  struct request *request = owner;
  if (request->remaining_bytes == 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (size > request->remaining_bytes)
    size = request->remaining_bytes;
  memset (data, 'h', size);
  request->remaining_bytes -= size;
  return (ssize_t)size;
}

enum MHD_Result
target_response_queue_truncated (struct request *request)
{
  request->remaining_bytes = TRUNCATED_CONTENT_BYTES / 2;
  return target_response_queue (
      request, MHD_HTTP_OK,
      MHD_create_response_from_callback (TRUNCATED_CONTENT_BYTES, BLOCK_BYTES,
                                         read_remaining, request, NULL));
}

static enum MHD_Result
queue_default (struct request *request)
{
  char text[256];
  const uint64_t hash = hash_bytes (request->body, request->body_bytes);
  const int size = snprintf (text, sizeof text, "%s %.64s %016llx %zu\n",
                             request->server->name,
                             target_request_field (request, "X-Request-Id"),
                             (unsigned long long)hash, request->body_bytes);
  return target_response_queue_text (request, MHD_HTTP_OK, text, (size_t)size);
}

enum MHD_Result
target_response_queue_by_path (struct request *request)
{
  const char *url = request->url;
  if (strcmp (url, "/echo") == 0)
    return target_response_queue_text (request, MHD_HTTP_OK, request->body,
                                       request->body_bytes);
  if (strcmp (url, "/headers") == 0)
    return target_response_queue (request, MHD_HTTP_OK,
                                  target_body_fields (request->connection));
  if (strcmp (url, "/no-content") == 0)
    return target_response_queue_text (request, MHD_HTTP_NO_CONTENT, "", 0);
  if (strcmp (url, "/not-modified") == 0)
    return target_response_queue_text (request, MHD_HTTP_NOT_MODIFIED, "", 0);
  const bool chunked = strncmp (url, "/chunked/", 9) == 0;
  if (!chunked && strncmp (url, "/bytes/", 7) != 0)
    return queue_default (request);
  const uint64_t size = strtoull (strrchr (url, '/') + 1, NULL, 10);
  if (chunked)
    {
      request->remaining_bytes = size;
      return target_response_queue (
          request, MHD_HTTP_OK,
          MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, BLOCK_BYTES,
                                             read_remaining, request, NULL));
    }
  return target_response_queue (request, MHD_HTTP_OK,
                                target_body_pattern (size));
}
