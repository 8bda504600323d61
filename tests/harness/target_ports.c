/* Preloaded into hosts: connections to a target go to this host's own port of
   the simulated network instead, so that it can cut single hosts from targets.
   All hosts know the same addresses. */
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/socket.h>

typedef int connect_function (int fd, const struct sockaddr *address,
                              socklen_t size);

static uint16_t
port_of_env (const char *name)
{
  const char *text = getenv (name);
  return text != NULL ? (uint16_t)atoi (text) : 0;
}

int
connect (int fd, const struct sockaddr *address, socklen_t size)
{
  connect_function *original
      = (connect_function *)dlsym (RTLD_NEXT, "connect");
  const uint16_t target_port = port_of_env ("TARGET_PORT");
  if (address->sa_family != AF_INET || size < sizeof (struct sockaddr_in))
    return original (fd, address, size);
  struct sockaddr_in to = *(const struct sockaddr_in *)address;
  if (target_port != 0 && to.sin_port == htons (target_port))
    to.sin_port = htons (port_of_env ("TARGET_RELAY_PORT"));
  return original (fd, (const struct sockaddr *)&to, sizeof to);
}
