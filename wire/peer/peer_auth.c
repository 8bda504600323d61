#include "wire/peer/peer_auth.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/xmalloc.h"

enum
{
  SECRET_MIN_BYTES = 16,
};

enum status
peer_secret_load (const char *path, struct peer_secret *secret)
{
  secret->size = 0;
  if (path[0] == '\0')
    return STATUS_OK;
  FILE *file = fopen (path, "rbe");
  if (file == NULL)
    return status_errno ("%s: can't be read; set secret_file to the file "
                         "with the secret that all hosts share",
                         path);
  char bytes[PEER_SECRET_MAX_BYTES + 2];
  size_t size = fread (bytes, 1, sizeof bytes, file);
  fclose (file);
  while (size > 0 && isspace ((unsigned char)bytes[size - 1]))
    size--;
  if (size < SECRET_MIN_BYTES || size > PEER_SECRET_MAX_BYTES)
    return status_set (STATUS_INVALID,
                       "%s: the shared secret must have %d to %d bytes, not "
                       "%zu",
                       path, SECRET_MIN_BYTES, PEER_SECRET_MAX_BYTES, size);
  memcpy (secret->bytes, bytes, size);
  secret->size = size;
  return STATUS_OK;
}

/* Appends HELLO in its encoded form. */
static size_t
append_hello (uint8_t *input, size_t used, const struct peer_hello *hello)
{
  const struct peer_message message = { .type = PEER_HELLO, .hello = *hello };
  size_t size;
  char *bytes = peer_message_encode (&message, &size);
  memcpy (input + used, bytes, size);
  free (bytes);
  return used + size;
}

void
peer_auth_compute_proof (const struct peer_secret *secret, bool is_client,
                         const struct peer_hello *own,
                         const struct peer_hello *other,
                         struct peer_proof *proof)
{
  memset (proof, 0, sizeof *proof);
  if (secret->size == 0)
    return;
  uint8_t input[4 * sizeof *own];
  input[0] = is_client ? 'C' : 'S';
  size_t used = append_hello (input, 1, own);
  used = append_hello (input, used, other);
  unsigned int size = sizeof proof->mac;
  HMAC (EVP_sha256 (), secret->bytes, (int)secret->size, input, used,
        proof->mac, &size);
}

enum status
peer_auth_verify_proof (const struct peer_secret *secret, bool other_is_client,
                        const struct peer_hello *other,
                        const struct peer_hello *own,
                        const struct peer_proof *proof)
{
  struct peer_proof expected;
  peer_auth_compute_proof (secret, other_is_client, other, own, &expected);
  if (CRYPTO_memcmp (expected.mac, proof->mac, sizeof expected.mac) == 0)
    return STATUS_OK;
  return status_set (STATUS_REFUSED,
                     "host %s doesn't have the same shared secret; set the "
                     "same secret_file on all hosts",
                     other->name);
}
