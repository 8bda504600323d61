#include "wire/peer/peer_address.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  IP_SIZE = 48,
  PORT_MAX = 65535,
};

static enum status
refuse (const char *text)
{
  return status_set (STATUS_INVALID,
                     "\"%s\" is no address: write IP:PORT or [IP6]:PORT",
                     text);
}

enum status
peer_address_parse (const char *text, struct sockaddr_storage *address,
                    socklen_t *size)
{
  const bool is_six = text[0] == '[';
  const char *end = is_six ? strchr (text, ']') : strrchr (text, ':');
  const char *start = is_six ? text + 1 : text;
  char ip[IP_SIZE];
  if (end == NULL || (size_t)(end - start) >= sizeof ip)
    return refuse (text);
  memcpy (ip, start, (size_t)(end - start));
  ip[end - start] = '\0';
  if (is_six && *++end != ':')
    return refuse (text);
  char *rest;
  const long port = strtol (end + 1, &rest, 10);
  if (rest == end + 1 || *rest != '\0' || port < 0 || port > PORT_MAX)
    return refuse (text);
  memset (address, 0, sizeof *address);
  struct sockaddr_in *four = (struct sockaddr_in *)address;
  struct sockaddr_in6 *six = (struct sockaddr_in6 *)address;
  address->ss_family = is_six ? AF_INET6 : AF_INET;
  void *number = is_six ? (void *)&six->sin6_addr : (void *)&four->sin_addr;
  if (inet_pton (address->ss_family, ip, number) != 1)
    return refuse (text);
  if (is_six)
    six->sin6_port = htons ((uint16_t)port);
  else
    four->sin_port = htons ((uint16_t)port);
  *size = is_six ? sizeof *six : sizeof *four;
  return STATUS_OK;
}
