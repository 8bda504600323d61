/** @file
 * How the quota task reaches other hosts; a test puts a fake here.
 */
#ifndef NODE_QUOTA_QUOTA_TRANSPORT_H
#define NODE_QUOTA_QUOTA_TRANSPORT_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_message.h"

enum
{
  /** One in each data centre. */
  QUOTA_COORDINATORS_MAX = 16,
};

struct quota_transport;

struct quota_transport_ops
{
  /** Send MESSAGE to host TO; STATUS_OK means queued. */
  enum status (*send) (struct quota_transport *transport, const char *to,
                       const struct peer_message *message);
  /** The hosts that keep quotas, that of this host's own data centre first.
   * Names are good until the next BUS_MEMBERS.
   * @return how many were written to NAMES */
  size_t (*coordinators) (struct quota_transport *transport,
                          const char *names[QUOTA_COORDINATORS_MAX]);
  /** How many hosts the platform's list shows; 0: it isn't known yet. */
  uint32_t (*known_hosts) (struct quota_transport *transport);
};

/** Embedded first in each implementation. */
struct quota_transport
{
  const struct quota_transport_ops *ops;
};

#endif
