#include "gooseberrypath/address.h"

#include <charconv>
#include <cstdint>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace gooseberrypath {

bool IsAddress(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string ip(aText.substr(0, colon));
  const std::string_view portText = aText.substr(colon + 1);
  uint32_t port = 0;
  const auto [end, code] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (code != std::errc{} || end != portText.data() + portText.size() || port < 1 ||
      port > 65535 || ip.find('\0') != std::string::npos) {
    return false;
  }
  in6_addr parsed{};
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    return inet_pton(AF_INET6, ip.c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

} // namespace gooseberrypath
