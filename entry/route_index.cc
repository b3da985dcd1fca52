#include "entry/route_index.h"

#include <algorithm>

namespace gooseberrypath::entry {

RouteIndex::RouteIndex(const Configuration& aConfiguration)
{
  for (const Route& route : aConfiguration.routes) {
    byHost_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : byHost_) {
    std::ranges::stable_sort(routes, [](const Route* aLeft, const Route* aRight) {
      return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
    });
  }
}

const Route* RouteIndex::Find(const std::string& aHost, std::string_view aTarget) const
{
  const auto found = byHost_.find(aHost);
  if (found == byHost_.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const auto route = std::ranges::find_if(found->second, [&](const Route* aRoute) {
    return path.starts_with(aRoute->pathPrefix);
  });
  return route == found->second.end() ? nullptr : *route;
}

} // namespace gooseberrypath::entry
