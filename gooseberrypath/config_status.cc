#include "gooseberrypath/config_status.h"

#include <array>
#include <ctime>
#include <string_view>

#include <nlohmann/json.hpp>

#include "gooseberrypath/membership_system.h"
#include "gooseberrypath/records.h"

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

std::string_view NameOf(DaemonState aState)
{
  switch (aState) {
    case DaemonState::Starting:
      return "starting";
    case DaemonState::Serving:
      return "serving";
    case DaemonState::Draining:
      break;
  }
  return "draining";
}

std::string_view StateName(const World& aWorld, const BackendRow& aRow)
{
  if (aRow.gone) {
    return "gone";
  }
  if (aRow.leaving) {
    return "leaving";
  }
  return aRow.refusedUntil > aWorld.Now() ? "refusing" : "live";
}

} // namespace

std::string DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FormatTime(int64_t aMs)
{
  const std::time_t seconds = aMs / 1000;
  std::tm parts{};
  if (aMs < 0 || gmtime_r(&seconds, &parts) == nullptr) {
    return {};
  }
  std::array<char, 64> text{};
  const size_t size =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(1000 + aMs % 1000);
  fraction.front() = '.';
  return std::string(text.data(), size) + fraction + "Z";
}

InForce CountInForce(const World& aWorld, Offset aVersion)
{
  InForce result;
  const auto add = [&](const std::string& aDaemon, Offset aApplied) {
    ++result.daemons;
    if (aApplied >= aVersion) {
      ++result.applied;
    } else {
      result.missing.push_back(aDaemon);
    }
  };
  add(aWorld.options.daemon, aWorld.appliedConfig);
  for (const auto& [daemon, row] : aWorld.members) {
    add(daemon, row.digest.appliedConfig);
  }
  // A daemon that was never heard may serve with an older version.
  for (const std::string& address : SeedsNeverHeard(aWorld)) {
    ++result.daemons;
    result.missing.push_back(address);
  }
  return result;
}

std::vector<std::string> SeedsNeverHeard(const World& aWorld)
{
  std::vector<std::string> silent;
  for (const std::string& seed : aWorld.options.seedPeers) {
    if (seed != aWorld.options.peerAddress && !aWorld.heardAddresses.contains(seed)) {
      silent.push_back(seed);
    }
  }
  return silent;
}

std::string RenderStatus(const World& aWorld)
{
  Json daemons = Json::array();
  daemons.push_back({ { "daemon", aWorld.options.daemon },
                      { "state", NameOf(aWorld.state) },
                      { "appliedConfig", aWorld.appliedConfig },
                      { "reachable", true } });
  for (const auto& [daemon, row] : aWorld.members) {
    daemons.push_back({ { "daemon", daemon },
                        { "state", NameOf(row.digest.state) },
                        { "appliedConfig", row.digest.appliedConfig },
                        { "reachable", IsReachable(aWorld, row) } });
  }
  Json unreachable = Json::array();
  for (const std::string& address : SeedsNeverHeard(aWorld)) {
    unreachable.push_back(address);
  }
  Json backends = Json::array();
  for (const auto& [id, row] : aWorld.backends) {
    backends.push_back({ { "id", id },
                         { "address", row.spec.address },
                         { "state", StateName(aWorld, row) },
                         { "inFlight", row.inFlight } });
  }
  const auto stream = aWorld.streams.find(kConfigStream);
  const StreamRow config = stream == aWorld.streams.end() ? StreamRow{} : stream->second;
  const auto count = [&](Counter aCounter) { return aWorld.counters.Get(aCounter); };
  const Json status = { { "daemon", aWorld.options.daemon },
                        { "state", NameOf(aWorld.state) },
                        { "appliedConfig", aWorld.appliedConfig },
                        { "log",
                          { { "reachable", aWorld.IsLogReachable(kConfigStream) },
                            { "caughtUp", aWorld.IsCaughtUp() },
                            { "next", config.next } } },
                        { "configurationFrom", aWorld.usesPeerConfig ? "peer" : "log" },
                        { "daemons", std::move(daemons) },
                        { "unreachableAddresses", std::move(unreachable) },
                        { "backends", std::move(backends) },
                        { "counters",
                          { { "recordsApplied", count(Counter::RecordsApplied) },
                            { "recordsSkipped", count(Counter::RecordsSkipped) },
                            { "snapshotsAppended", count(Counter::SnapshotsAppended) },
                            { "snapshotsDiffering", count(Counter::SnapshotsDiffering) },
                            { "snapshotsInstalled", count(Counter::SnapshotsInstalled) },
                            { "writesAccepted", count(Counter::WritesAccepted) },
                            { "writesRefused", count(Counter::WritesRefused) },
                            { "appendFailures", count(Counter::AppendFailures) },
                            { "logReadFailures", count(Counter::LogReadFailures) } } } };
  return DumpJson(status);
}

} // namespace gooseberrypath
