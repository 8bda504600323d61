/** @file
 * A persistent connection to another host, reconnected with exponential
 * backoff when it breaks.
 */
#ifndef WIRE_PEER_PEER_LINK_H
#define WIRE_PEER_PEER_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "wire/peer/peer_conn.h"

struct peer_link;

struct peer_link_events
{
  void (*ready) (void *owner, struct peer_link *link);
  void (*message) (void *owner, struct peer_link *link,
                   const struct peer_message *message);
};

struct peer_link_options
{
  struct ev_loop *loop;
  struct peer_identity *identity;
  const struct peer_link_events *events;
  void *owner;
  const char *address; /**< IP:PORT; copied */
  /** Expected name of the host at this address; "" for a seed, where any
   * host may answer.  Copied. */
  const char *name;
  uint64_t seed; /**< of the random part of the backoff */
  uint32_t idle_timeout_ms;
};

/** Create a link, which starts to connect immediately. */
struct peer_link *peer_link_create (const struct peer_link_options *options);
void peer_link_destroy (struct peer_link *link);

/** Queue MESSAGE.
 * @return STATUS_UNREACHABLE while the link is down, STATUS_LIMIT if the
 * queue is full. */
enum status peer_link_send (struct peer_link *link,
                            const struct peer_message *message);

bool peer_link_is_ready (const struct peer_link *link);
/** The peer's HELLO, once ready. */
const struct peer_hello *peer_link_hello (const struct peer_link *link);
/** The address it connects to. */
const char *peer_link_address (const struct peer_link *link);

#endif
