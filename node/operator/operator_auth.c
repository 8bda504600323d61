#define LOG_MODULE "operator"
#include "node/operator/operator_auth.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include <openssl/crypto.h>

#include "base/log.h"

static const char scheme[] = "Bearer ";

static void
warn_if_world_readable (FILE *file, const char *path)
{
  struct stat info;
  if (fstat (fileno (file), &info) == 0 && (info.st_mode & S_IROTH) != 0)
    LOG_WARN ("secret-file-readable-by-others", LOG_STR ("path", path),
              LOG_STR ("remedy", "chmod o-r"));
}

enum status
operator_auth_load (struct operator_auth *auth, const char *path)
{
  memset (auth, 0, sizeof *auth);
  if (path[0] == '\0')
    return STATUS_OK;
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return status_errno ("secret_file %s can't be read: create it or leave "
                         "the option out",
                         path);
  warn_if_world_readable (file, path);
  if (fgets (auth->secret, sizeof auth->secret, file) == NULL)
    auth->secret[0] = '\0';
  fclose (file);
  auth->secret[strcspn (auth->secret, "\r\n")] = '\0';
  if (strlen (auth->secret) < OPERATOR_SECRET_MIN_BYTES)
    return status_set (STATUS_INVALID,
                       "secret_file %s: expected a first line of at least %d "
                       "bytes; write one with \"openssl rand -hex 32\"",
                       path, OPERATOR_SECRET_MIN_BYTES);
  return STATUS_OK;
}

static bool
is_loopback (const struct sockaddr *peer)
{
  if (peer == NULL)
    return false;
  if (peer->sa_family == AF_INET)
    {
      const struct sockaddr_in *in = (const struct sockaddr_in *)peer;
      return ntohl (in->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET;
    }
  if (peer->sa_family == AF_INET6)
    {
      const struct sockaddr_in6 *in = (const struct sockaddr_in6 *)peer;
      return IN6_IS_ADDR_LOOPBACK (&in->sin6_addr);
    }
  return false;
}

/* A comparison that stops at the first difference takes longer the more of a
   guess is right, so a secret could be found byte by byte from response times.
   CRYPTO_memcmp() always compares all bytes; only the length can be learned
   from the time. */
static bool
is_same_secret (const char *secret, const char *guess)
{
  const size_t size = strlen (secret);
  return strlen (guess) == size && CRYPTO_memcmp (secret, guess, size) == 0;
}

enum status
operator_auth_check (const struct operator_auth *auth,
                     const char *authorization, const struct sockaddr *peer)
{
  if (auth->secret[0] == '\0')
    {
      if (is_loopback (peer))
        return STATUS_OK;
      return status_set (STATUS_REFUSED,
                         "this host has no secret and accepts commands from "
                         "its own machine only: set secret_file in its "
                         "settings, or run jaystair there");
    }
  if (authorization == NULL)
    return status_set (STATUS_REFUSED,
                       "commands need the shared secret: give the file that "
                       "holds it with --secret-file");
  if (strncmp (authorization, scheme, sizeof scheme - 1) != 0
      || !is_same_secret (auth->secret, authorization + sizeof scheme - 1))
    return status_set (
        STATUS_REFUSED,
        "the secret doesn't match this host's: compare --secret-file "
        "with secret_file in its settings");
  return STATUS_OK;
}
