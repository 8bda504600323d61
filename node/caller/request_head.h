/** @file
 * The head of a caller's request: the values that the host itself needs, and
 * the header fields to forward.
 *
 * Callers can't forge the fields of the protocol between hosts and targets:
 * all `Jaystair-*` fields are removed here, and only those that a caller may
 * send are read.
 */
#ifndef NODE_CALLER_REQUEST_HEAD_H
#define NODE_CALLER_REQUEST_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base/status.h"
#include "node/caller/caller_interface.h"
#include "node/caller/header_list.h"
#include "node/caller/request_key.h"
#include "wire/service_spec.h"

enum
{
  REQUEST_METHOD_SIZE = 24,
  REQUEST_TICKET_SIZE = 128,
  REQUEST_ID_SIZE = 64,
};

/** How the request's body is framed. */
enum request_body
{
  REQUEST_BODY_NONE,
  REQUEST_BODY_SIZED,
  REQUEST_BODY_CHUNKED
};

struct request_head
{
  char method[REQUEST_METHOD_SIZE];
  char host[SERVICE_NAME_SIZE];     /**< lower case, without port */
  char path[SERVICE_PATH_SIZE * 4]; /**< normalized, for route matching */
  char id[REQUEST_ID_SIZE];         /**< as sent by the caller, truncated */
  char ticket[REQUEST_TICKET_SIZE]; /**< "": none */
  struct request_key key;
  /** Authorization as sent by the caller, for a host that the request is
   * passed on to; NULL: none. */
  char *credentials;
  bool relayed;                    /**< relayed by another host */
  bool is_forwarded;               /**< passed on whole by another host */
  bool is_counted;                 /**< in that host's retry budget already */
  bool may_have_run;               /**< by an attempt of that host */
  uint32_t attempts;               /**< sent by that host already */
  char service[SERVICE_NAME_SIZE]; /**< chosen by that host */
  char target[SERVICE_NAME_SIZE];  /**< chosen by that host; "": none */
  bool http_1_0;
  bool expects_continue;
  enum request_body body;
  int64_t body_bytes;  /**< valid with REQUEST_BODY_SIZED */
  int64_t deadline_ms; /**< remaining time; -1: not given */
  uint32_t head_bytes;
  struct header_list headers; /**< to forward */
};

/** Read the head of CONNECTION's request.
 * @return STATUS_INVALID for a request that can't be served; the status
 * message includes a remedy */
enum status request_head_read (struct request_head *head,
                               const struct caller_interface *interface,
                               struct MHD_Connection *connection,
                               const char *uri, const char *method,
                               const char *version);

void request_head_release (struct request_head *head);

#endif
