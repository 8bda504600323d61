/** @file
 * How the ejection task reaches other hosts; a test puts a fake here.
 */
#ifndef NODE_EJECTION_TRANSPORT_H
#define NODE_EJECTION_TRANSPORT_H

#include "base/status.h"
#include "wire/peer/peer_message.h"

struct ejection_transport;

struct ejection_transport_ops
{
  /** Send MESSAGE to host TO; STATUS_OK means queued. */
  enum status (*send) (struct ejection_transport *transport, const char *to,
                       const struct peer_message *message);
};

/** Embedded first in each implementation. */
struct ejection_transport
{
  const struct ejection_transport_ops *ops;
};

#endif
