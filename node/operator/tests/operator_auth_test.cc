#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <unistd.h>

#include <string>

extern "C"
{
#include "node/operator/operator_auth.h"
}

static std::string
write_secret (const std::string &text)
{
  char path[] = "/tmp/operator-guard-XXXXXX";
  const int fd = mkstemp (path);
  EXPECT_EQ (write (fd, text.data (), text.size ()), (ssize_t)text.size ());
  close (fd);
  return path;
}

static struct sockaddr_in
peer_at (const char *ip)
{
  struct sockaddr_in in = {};
  in.sin_family = AF_INET;
  inet_pton (AF_INET, ip, &in.sin_addr);
  return in;
}

static enum status
check (const struct operator_auth *auth, const char *authorization,
       const char *ip)
{
  const struct sockaddr_in in = peer_at (ip);
  return operator_auth_check (auth, authorization,
                              reinterpret_cast<const struct sockaddr *> (&in));
}

TEST (OperatorGuard, WithoutSecretOnlyLoopbackIsAuthorized)
{
  struct operator_auth auth;
  ASSERT_EQ (operator_auth_load (&auth, ""), STATUS_OK);
  EXPECT_EQ (check (&auth, nullptr, "127.0.0.1"), STATUS_OK);
  EXPECT_EQ (check (&auth, nullptr, "127.8.0.9"), STATUS_OK);
  EXPECT_EQ (check (&auth, nullptr, "10.0.0.1"), STATUS_REFUSED);
  EXPECT_EQ (check (&auth, "Bearer ", "10.0.0.1"), STATUS_REFUSED);
  EXPECT_EQ (operator_auth_check (&auth, nullptr, nullptr), STATUS_REFUSED);
}

TEST (OperatorGuard, SecretIsRequiredOfAll)
{
  const std::string path = write_secret ("0123456789abcdef\n");
  struct operator_auth auth;
  ASSERT_EQ (operator_auth_load (&auth, path.c_str ()), STATUS_OK);
  EXPECT_EQ (check (&auth, "Bearer 0123456789abcdef", "10.0.0.1"), STATUS_OK);
  const char *const wrong[] = { nullptr,
                                "",
                                "Bearer",
                                "Bearer ",
                                "Basic 0123456789abcdef",
                                "Bearer 0123456789abcdeF",
                                "Bearer 0123456789abcde",
                                "Bearer 0123456789abcdef0",
                                "bearer 0123456789abcdef",
                                "0123456789abcdef" };
  for (const char *text : wrong)
    EXPECT_EQ (check (&auth, text, "127.0.0.1"), STATUS_REFUSED)
        << (text == nullptr ? "(none)" : text);
  unlink (path.c_str ());
}

TEST (OperatorGuard, RefusesUnsafeSecrets)
{
  struct operator_auth auth;
  for (const char *text : { "", "\n", "short\n", "\n0123456789abcdef" })
    {
      const std::string path = write_secret (text);
      EXPECT_EQ (operator_auth_load (&auth, path.c_str ()), STATUS_INVALID);
      EXPECT_NE (std::string (status_message ()).find ("openssl rand"),
                 std::string::npos);
      unlink (path.c_str ());
    }
  EXPECT_EQ (operator_auth_load (&auth, "/nowhere/secret"), STATUS_SYSTEM);
}
