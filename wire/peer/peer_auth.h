/** @file
 * Mutual authentication of a peer connection by a shared secret.
 *
 * Each side sends a HELLO with its own nonce, then an HMAC-SHA256, keyed with
 * the secret, of its role and both HELLOs as sent.  The role prevents
 * reflection of a proof to its sender, the nonces prevent replay, and the
 * names and addresses in the HELLOs are authenticated too.  Later messages
 * are neither encrypted nor signed: the network between the hosts must be
 * trusted.
 */
#ifndef WIRE_PEER_PEER_AUTH_H
#define WIRE_PEER_PEER_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "wire/peer/peer_message.h"

#define PEER_SECRET_MAX_BYTES 256

/** The shared secret; a size of 0 means that there is none. */
struct peer_secret
{
  uint8_t bytes[PEER_SECRET_MAX_BYTES];
  size_t size;
};

/** Read the secret from PATH, without trailing white space; an empty PATH
 * means no secret.  It must have 16 to PEER_SECRET_MAX_BYTES bytes. */
enum status peer_secret_load (const char *path, struct peer_secret *secret);

/** Compute the proof of the side that sent OWN and received OTHER.  It is all
 * zeros if there is no secret. */
void peer_auth_compute_proof (const struct peer_secret *secret, bool is_client,
                              const struct peer_hello *own,
                              const struct peer_hello *other,
                              struct peer_proof *proof);

/** Verify PROOF, which the other side sent.
 * @return STATUS_REFUSED, with a message that names the remedy, if it is
 * wrong. */
enum status peer_auth_verify_proof (const struct peer_secret *secret,
                                    bool other_is_client,
                                    const struct peer_hello *other,
                                    const struct peer_hello *own,
                                    const struct peer_proof *proof);

#endif
