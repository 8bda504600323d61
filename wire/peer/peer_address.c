#include "wire/peer/peer_address.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum
{
  IP_TEXT_SIZE = 48,
  PORT_MAX = 65535,
};

static enum status
invalid_address (const char *text)
{
  return status_set (
      STATUS_INVALID,
      "\"%s\" is not an address; expected IP:PORT or [IPv6]:PORT", text);
}

enum status
peer_address_parse (const char *text, struct sockaddr_storage *address,
                    socklen_t *size)
{
  const bool is_ipv6 = text[0] == '[';
  const char *end = is_ipv6 ? strchr (text, ']') : strrchr (text, ':');
  const char *start = is_ipv6 ? text + 1 : text;
  char ip[IP_TEXT_SIZE];
  if (end == NULL || (size_t)(end - start) >= sizeof ip)
    return invalid_address (text);
  memcpy (ip, start, (size_t)(end - start));
  ip[end - start] = '\0';
  if (is_ipv6 && *++end != ':')
    return invalid_address (text);
  char *rest;
  const long port = strtol (end + 1, &rest, 10);
  if (rest == end + 1 || *rest != '\0' || port < 0 || port > PORT_MAX)
    return invalid_address (text);
  memset (address, 0, sizeof *address);
  struct sockaddr_in *ipv4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)address;
  address->ss_family = is_ipv6 ? AF_INET6 : AF_INET;
  void *binary = is_ipv6 ? (void *)&ipv6->sin6_addr : (void *)&ipv4->sin_addr;
  if (inet_pton (address->ss_family, ip, binary) != 1)
    return invalid_address (text);
  if (is_ipv6)
    ipv6->sin6_port = htons ((uint16_t)port);
  else
    ipv4->sin_port = htons ((uint16_t)port);
  *size = is_ipv6 ? sizeof *ipv6 : sizeof *ipv4;
  return STATUS_OK;
}
