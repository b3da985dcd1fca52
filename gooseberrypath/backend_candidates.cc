#include "gooseberrypath/backend_candidates.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "gooseberrypath/backend_system.h"

namespace gooseberrypath {

namespace {

bool IsLongStream(const RequestRow& aRow)
{
  return aRow.kind == ServiceKind::Model &&
         (aRow.attempts > 0 || aRow.chat.maxTokens == 0 ||
          aRow.chat.maxTokens >= kLongStreamTokens);
}

/// Returns the zones of which several hosts began to leave lately. Hosts without a zone
/// are not counted.
std::set<std::string> ReclaimedZones(const World& aWorld)
{
  std::map<std::string, std::set<std::string>> leaving; // zone to hosts
  for (const auto& [id, backend] : aWorld.backends) {
    const HostRow* host = aWorld.hosts.Find(backend.spec.host);
    if (!backend.spec.zone.empty() && host && host->leaving &&
        aWorld.Now() - host->leavingSince <= kZoneReclaimTime) {
      leaving[backend.spec.zone].insert(backend.spec.host);
    }
  }
  std::set<std::string> zones;
  for (const auto& [zone, hosts] : leaving) {
    if (hosts.size() >= kZoneReclaimHosts) {
      zones.insert(zone);
    }
  }
  return zones;
}

} // namespace

Candidates CandidatesFor(const World& aWorld, const RequestRow& aRow)
{
  std::vector<const BackendRow*> fresh;
  std::vector<const BackendRow*> tried;
  for (const auto& [id, backend] : aWorld.backends) {
    if (backend.service == aRow.service && IsUsable(aWorld, backend)) {
      (aRow.avoid.contains(id) ? tried : fresh).push_back(&backend);
    }
  }
  Candidates candidates{ .backends = std::move(fresh.empty() ? tried : fresh) };
  if (candidates.backends.empty() || !IsLongStream(aRow)) {
    return candidates;
  }
  const std::set<std::string> reclaimed = ReclaimedZones(aWorld);
  std::vector<const BackendRow*> elsewhere;
  std::set<std::string> avoided;
  for (const BackendRow* backend : candidates.backends) {
    if (reclaimed.contains(backend->spec.zone)) {
      avoided.insert(backend->spec.zone);
    } else {
      elsewhere.push_back(backend);
    }
  }
  if (elsewhere.empty() || avoided.empty()) {
    return candidates; // a zone that is being reclaimed is better than none
  }
  candidates.backends = std::move(elsewhere);
  candidates.reason = "avoids zones that are being reclaimed:";
  for (const std::string& zone : avoided) {
    candidates.reason += " " + zone;
  }
  return candidates;
}

bool MayBackendReturnSoon(const World& aWorld, const RequestRow& aRow)
{
  return std::ranges::any_of(aWorld.backends, [&](const auto& aItem) {
    const BackendRow& backend = aItem.second;
    return backend.service == aRow.service && !backend.leaving && !backend.gone;
  });
}

} // namespace gooseberrypath
