/** @file
 * Proof that the other end of a peer connection holds the shared secret.
 *
 * Each side sends a HELLO with a nonce of its own, then the HMAC-SHA256,
 * under the secret, over its role and both HELLOs as they were sent.  The
 * role keeps a proof from being sent back to its maker; the nonces keep an
 * old one from being used again; names and addresses are covered.  What
 * follows on the connection is neither encrypted nor signed: that is left to
 * the network between the hosts.
 */
#ifndef WIRE_PEER_PEER_AUTH_H
#define WIRE_PEER_PEER_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_message.h"

#define PEER_SECRET_MAX_BYTES 256

/** The shared secret; none when its size is 0. */
struct peer_secret
{
  uint8_t bytes[PEER_SECRET_MAX_BYTES];
  size_t size;
};

/** Read the secret from PATH, white space at its end left out; "" is no
 * secret.  It must have 16 to PEER_SECRET_MAX_BYTES bytes. */
enum status peer_secret_load (const char *path, struct peer_secret *secret);

/** The proof of the side that sent OWN and received OTHER.  Without a secret
 * it is all zeros. */
void peer_auth_compute_proof (const struct peer_secret *secret, bool is_client,
                              const struct peer_hello *own,
                              const struct peer_hello *other,
                              struct peer_proof *proof);

/** Is PROOF that of the other side?  STATUS_REFUSED with a remedy if not. */
enum status peer_auth_verify_proof (const struct peer_secret *secret,
                                    bool is_client_other,
                                    const struct peer_hello *other,
                                    const struct peer_hello *own,
                                    const struct peer_proof *proof);

#endif
