/** @file
 * Interface through which the quota task reaches other hosts; tests
 * implement it with a fake.
 */
#ifndef NODE_QUOTA_QUOTA_TRANSPORT_H
#define NODE_QUOTA_QUOTA_TRANSPORT_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_message.h"

enum
{
  /** Maximum number of coordinators; there is one in each data centre. */
  QUOTA_COORDINATORS_MAX = 16,
};

struct quota_transport;

struct quota_transport_ops
{
  /** Send MESSAGE to host TO.
   * @return STATUS_OK if it was queued */
  enum status (*send) (struct quota_transport *transport, const char *to,
                       const struct peer_message *message);
  /** Get the quota coordinators, that of this host's data centre first.  The
   * names are valid until the next BUS_MEMBERS.
   * @return the number of names written to NAMES */
  size_t (*coordinators) (struct quota_transport *transport,
                          const char *names[QUOTA_COORDINATORS_MAX]);
  /** The number of hosts in the platform's list; 0: not known yet. */
  uint32_t (*known_hosts) (struct quota_transport *transport);
};

/** Base of the implementations, which have it as their first member. */
struct quota_transport
{
  const struct quota_transport_ops *ops;
};

#endif
