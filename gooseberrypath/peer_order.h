// The order in which peers are asked about a stream.

#ifndef GOOSEBERRYPATH_PEER_ORDER_H_
#define GOOSEBERRYPATH_PEER_ORDER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the daemon that a request id names, or nothing if the text is not a request id
/// ("<daemon>-<incarnation>-r<number>").
std::optional<std::string> DaemonOfRequest(std::string_view aRequest);

/// Returns the peer addresses of the reachable daemons that serve, in the order of a hash
/// of request id and daemon name. A stopping daemon hands the request to the first one
/// that takes it.
std::vector<std::string> ReceiversOf(const World& aWorld, std::string_view aRequest);

/// Returns the peer addresses at which the request is looked for: the daemon that its id
/// names, then the order of ReceiversOf(), with daemons that are starting or stopping.
std::vector<std::string> HoldersOf(const World& aWorld, std::string_view aRequest);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PEER_ORDER_H_
