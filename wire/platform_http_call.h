/** @file
 * A call of the client in platform_http.c: its transfer and its completion.
 * Internal to that client.
 */
#ifndef WIRE_PLATFORM_HTTP_CALL_H
#define WIRE_PLATFORM_HTTP_CALL_H

#include <stdbool.h>

#include "wire/curl_loop.h"
#include "wire/platform_http.h"
#include "wire/platform_http_dialect.h"
#include "wire/platform_http_reply.h"
#include "wire/response_head.h"

enum call_kind
{
  CALL_GET,
  CALL_LIST,
  CALL_PUT,
  CALL_WATCH
};

struct platform_http
{
  struct platform platform;
  const struct platform_http_dialect *dialect;
  struct curl_loop *cl;
  char *addresses[PLATFORM_HTTP_ADDRESSES_MAX];
  size_t address_count;
  size_t preferred_address; /* the address that calls try first */
  uint32_t timeout_ms;
  uint32_t connect_timeout_ms;
  bool has_answered;     /* the era is that of a response */
  size_t response_bytes; /* of all calls in flight, without read pages */
  struct http_call *calls;
};

struct http_call
{
  struct platform_http *http;
  enum call_kind kind;
  enum platform_read_mode read_mode; /* LIST */
  CURL *easy;
  struct response_head response_head;
  struct curl_slist *headers;
  char *path;
  char *object_kind;
  uint64_t since; /* WATCH: the revision, with its era */
  /* GET in place of a write whose condition is of an earlier era. */
  bool is_refused_write;
  bool has_era;       /* the response has one */
  uint64_t era;       /* of the response */
  char *value;        /* PUT: NULL removes the object */
  char *request_body; /* PUT: the request body */
  /* LIST: the pages received so far, with their objects. */
  struct platform_http_reply *pages;
  size_t page_count;
  size_t address;
  size_t attempts;
  uint32_t timeout_ms;
  char *response_body;
  size_t response_bytes;
  size_t response_capacity;
  bool is_too_large;   /* the response exceeds the limit of a call */
  bool is_partial;     /* the last attempt's response began and didn't end */
  platform_done *done; /* NULL once cancelled */
  void *owner;
  struct http_call *prev;
  struct http_call *next;
};

/** Create a call of KIND without sending it. */
struct http_call *platform_http_call_create (struct platform *platform,
                                             enum call_kind kind,
                                             const char *object_kind,
                                             platform_done *done, void *owner);

/** Send the call for the first time, once its path and method are set. */
void platform_http_call_begin (struct http_call *call);

/** Send the call: its first attempt, a retry or the request for the next
 * page. */
void platform_http_call_send (struct http_call *call);

/** Note the era of a response.  One from before a restore that other responses
 * have shown fails the call.
 * @return whether the response may be used */
bool platform_http_era_accept (struct http_call *call);

/** Give the objects and the revision of a PARSED response its era.
 * @return false, with a message, if they are out of range */
bool platform_http_era_apply (const struct http_call *call,
                              struct platform_http_reply *parsed);

/** A response_head_line() that reads the era of a response. */
bool platform_http_era_read (void *owner, enum response_line what,
                             const char *line, size_t size);

/** Destroy the call without a callback. */
void platform_http_call_destroy (struct http_call *call);

/** Complete the call with a failure, described by MESSAGE. */
void platform_http_end_failed (struct http_call *call, enum status status,
                               const char *message);

/** Complete the call with the body of a response with HTTP status 200, or
 * request the next page. */
void platform_http_end_ok (struct http_call *call);

/** Complete the call with a response of another status CODE below 500. */
void platform_http_end_error_status (struct http_call *call, long code);

#endif
