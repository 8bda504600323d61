#include "tests/harness/socket_address.h"

#include <arpa/inet.h>

sockaddr_in
parse_socket_address (const std::string &address)
{
  const size_t colon = address.rfind (':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port
      = htons (static_cast<uint16_t> (std::stoi (address.substr (colon + 1))));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &parsed.sin_addr);
  return parsed;
}
