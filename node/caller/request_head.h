/** @file
 * The head of a caller's request: what the host itself needs of it, and the
 * fields to pass on.
 *
 * The fleet's own fields can't be forged: all `Jaystair-*` fields are taken
 * out here, and only those that a caller may send are read.
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
  char path[SERVICE_PATH_SIZE * 4]; /**< as routes see it */
  char id[REQUEST_ID_SIZE];         /**< as the caller sent it, cut to fit */
  char ticket[REQUEST_TICKET_SIZE]; /**< "" without one */
  struct request_key key;
  /** As the caller sent it, for the host that a ticket names; else NULL. */
  char *credentials;
  bool relayed; /**< another host of the fleet passed it on */
  bool http_1_0;
  bool expects_continue;
  enum request_body body;
  int64_t body_bytes;  /**< with REQUEST_BODY_SIZED */
  int64_t deadline_ms; /**< time left; -1 when the caller named none */
  uint32_t head_bytes;
  struct header_list headers; /**< to pass on */
};

/** Read the head of CONNECTION's request.
 * @return STATUS_INVALID for one that can't be served; the message names the
 * remedy */
enum status request_head_read (struct request_head *head,
                               const struct caller_interface *interface,
                               struct MHD_Connection *connection,
                               const char *uri, const char *method,
                               const char *version);

void request_head_release (struct request_head *head);

#endif
