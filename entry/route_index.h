// Finds the route of a call: the route of its host with the longest matching path prefix.
//
//   RouteIndex index(configuration);
//   const Route* route = index.Find("shop.example", "/pickups/7?x=1");

#ifndef ENTRY_ROUTE_INDEX_H_
#define ENTRY_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "entry/model.h"

namespace gooseberrypath::entry {

class RouteIndex
{
public:
  RouteIndex() = default;

  /// Indexes the routes of the configuration, which must outlive the index.
  explicit RouteIndex(const Configuration& aConfiguration);

  /// Returns the route for a host and a request target, or null if none matches. The host
  /// must be in lower case and without a port.
  const Route* Find(const std::string& aHost, std::string_view aTarget) const;

private:
  /// The routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_ROUTE_INDEX_H_
