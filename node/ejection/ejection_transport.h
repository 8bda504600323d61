/** @file
 * Interface through which the ejection task reaches other hosts; tests
 * implement it with a fake.
 */
#ifndef NODE_EJECTION_TRANSPORT_H
#define NODE_EJECTION_TRANSPORT_H

#include "base/status.h"
#include "wire/peer/peer_message.h"

struct ejection_transport;

struct ejection_transport_ops
{
  /** Send MESSAGE to host TO.
   * @return STATUS_OK if it was queued */
  enum status (*send) (struct ejection_transport *transport, const char *to,
                       const struct peer_message *message);
};

/** Base of the implementations, which have it as their first member. */
struct ejection_transport
{
  const struct ejection_transport_ops *ops;
};

#endif
