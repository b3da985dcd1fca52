// Checks of network addresses in settings, resources and messages.

#ifndef GOOSEBERRYPATH_ADDRESS_H_
#define GOOSEBERRYPATH_ADDRESS_H_

#include <string_view>

namespace gooseberrypath {

/// Tells whether the text is "IPv4:port" or "[IPv6]:port" with a port from 1 to 65535.
bool IsAddress(std::string_view aText);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_ADDRESS_H_
