#include "entry/peer_digest.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include <xxhash.h>

#include "entry/digest.capnp.h"
#include "entry/limit_wire.h"
#include "entry/load_wire.h"
#include "entry/packed_message.h"
#include "entry/part_wire.h"

namespace gooseberrypath::entry {

namespace {

constexpr size_t kMaxListLength = 10'000; // entries of a list in a digest

constexpr uint32_t kUnknownAge = 0xffffffff;

// Unpacked, a message could be larger than the memory of a small host.
constexpr PackedMessageLimits kLimits{ .maxWords = uint64_t{ 64 } * 1024,
                                       .maxNesting = 8 };

std::string ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

::capnp::Text::Reader ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

/// Converts an age to whole milliseconds, so that it does not become younger.
uint32_t ToAgeMs(Duration aAge)
{
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(aAge).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, kUnknownAge - 1));
}

uint32_t ToAgeMs(const std::optional<Duration>& aAge)
{
  return aAge ? ToAgeMs(*aAge) : kUnknownAge;
}

std::optional<Duration> ReadAge(uint32_t aMs)
{
  return aMs == kUnknownAge ? std::nullopt
                            : std::optional<Duration>(std::chrono::milliseconds(aMs));
}

void FillLists(const PeerDigest& aDigest, wire::Digest::Builder& aBuilder)
{
  auto backends = aBuilder.initBackends(aDigest.backends.size());
  for (uint32_t i = 0; i < backends.size(); ++i) {
    const BackendUse& use = aDigest.backends[i];
    backends[i].setBackend(use.backend);
    backends[i].setInFlight(use.inFlight);
    backends[i].setWaitingTokens(use.waitingTokens);
    backends[i].setKvTokens(use.kvTokens);
  }
  auto demands = aBuilder.initDemands(aDigest.demands.size());
  for (uint32_t i = 0; i < demands.size(); ++i) {
    demands[i].setService(aDigest.demands[i].service);
    demands[i].setTokensPerSecond(aDigest.demands[i].promptTokensPerSecond);
  }
  auto teams = aBuilder.initTeams(aDigest.teams.size());
  for (uint32_t i = 0; i < teams.size(); ++i) {
    teams[i].setTeam(aDigest.teams[i].team);
    teams[i].setAdmitted(aDigest.teams[i].admitted);
  }
  auto usage = aBuilder.initUsage(aDigest.usage.size());
  for (uint32_t i = 0; i < usage.size(); ++i) {
    usage[i].setWindow(aDigest.usage[i].window);
    usage[i].setTeam(ToText(aDigest.usage[i].team));
    usage[i].setCount(aDigest.usage[i].count);
  }
  auto peers = aBuilder.initPeers(aDigest.peers.size());
  for (uint32_t i = 0; i < peers.size(); ++i) {
    peers.set(i, ToText(aDigest.peers[i]));
  }
  auto leaving = aBuilder.initLeaving(aDigest.leaving.size());
  for (uint32_t i = 0; i < leaving.size(); ++i) {
    leaving[i].setId(ToText(aDigest.leaving[i].id));
    leaving[i].setBornMs(aDigest.leaving[i].startedMs);
    leaving[i].setIsRemoved(aDigest.leaving[i].isRemoved);
    leaving[i].setRemovedBefore(aDigest.leaving[i].removedBefore);
  }
  auto limits = aBuilder.initLimits(aDigest.limits.size());
  for (uint32_t i = 0; i < limits.size(); ++i) {
    limits[i].setBackend(aDigest.limits[i].backend);
    FillStatement(aDigest.limits[i].statement, limits[i].initStatement());
  }
  FillLoads(aDigest.loads, aBuilder);
  FillParts(aDigest.parts, aBuilder);
}

void FillChange(const BackendEntry& aEntry, wire::FleetChange::Builder aBuilder)
{
  aBuilder.setId(ToText(aEntry.id));
  aBuilder.setService(ToText(aEntry.service));
  aBuilder.setAddress(ToText(aEntry.address));
  aBuilder.setDataCentre(ToText(aEntry.dataCentre));
  aBuilder.setSlots(aEntry.slots);
  aBuilder.setIsLeaving(aEntry.isLeaving);
  aBuilder.setIsReclaimable(aEntry.isReclaimable);
  if (aEntry.leavesIn) {
    aBuilder.setLeavesInMs(
      std::chrono::duration_cast<std::chrono::milliseconds>(*aEntry.leavesIn).count());
  }
  aBuilder.setBornMs(aEntry.startedMs);
  aBuilder.setSequence(aEntry.sequence);
}

void FillChange(const BackendRemoved& aRemoved, wire::FleetChange::Builder aBuilder)
{
  aBuilder.setId(ToText(aRemoved.id));
  aBuilder.setIsRemoved(true);
}

void FillFleetDelta(const FleetDelta& aDelta, wire::Digest::Builder& aBuilder)
{
  auto changes = aBuilder.initNews(aDelta.changes.size());
  for (uint32_t i = 0; i < changes.size(); ++i) {
    std::visit([&](const auto& aOne) { FillChange(aOne, changes[i]); },
               aDelta.changes[i]);
  }
  aBuilder.setNewsFrom(aDelta.from);
  aBuilder.setNewsNext(aDelta.next);
}

FleetChange ReadChange(wire::FleetChange::Reader aMessage)
{
  if (aMessage.getIsRemoved()) {
    return BackendRemoved{ ToString(aMessage.getId()) };
  }
  BackendEntry entry{ .id = ToString(aMessage.getId()),
                      .service = ToString(aMessage.getService()),
                      .address = ToString(aMessage.getAddress()),
                      .dataCentre = ToString(aMessage.getDataCentre()),
                      .slots = aMessage.getSlots(),
                      .isLeaving = aMessage.getIsLeaving(),
                      .isReclaimable = aMessage.getIsReclaimable(),
                      .startedMs = aMessage.getBornMs(),
                      .sequence = aMessage.getSequence() };
  if (aMessage.getLeavesInMs() >= 0) {
    entry.leavesIn = std::chrono::milliseconds(aMessage.getLeavesInMs());
  }
  return entry;
}

PeerDigest ReadDigest(wire::Digest::Reader aMessage)
{
  PeerDigest digest{ .daemon = ToString(aMessage.getDaemon()),
                     .incarnation = aMessage.getIncarnation(),
                     .sequence = aMessage.getSequence(),
                     .isStopping = aMessage.getIsStopping(),
                     .canReachStore = aMessage.getSeesStore(),
                     .configVersion = aMessage.getConfigVersion(),
                     .storeEra = aMessage.getStoreEra(),
                     .fleetOffset = aMessage.getFleetOffset(),
                     .dutyToken = aMessage.getDutyToken(),
                     .dutyRenewal = aMessage.getDutyRenewal() };
  digest.configurationAge = ReadAge(aMessage.getConfigurationAgeMs());
  digest.storeAnswerAge = ReadAge(aMessage.getStoreAnswerAgeMs());
  digest.fleetAge = ReadAge(aMessage.getFleetAgeMs());
  digest.fleetChangesEnd = aMessage.getFleetChangesEnd();
  for (const auto demand : aMessage.getDemands()) {
    digest.demands.push_back({ .service = demand.getService(),
                               .promptTokensPerSecond = demand.getTokensPerSecond() });
  }
  for (const auto use : aMessage.getBackends()) {
    digest.backends.push_back({ .backend = use.getBackend(),
                                .inFlight = use.getInFlight(),
                                .waitingTokens = use.getWaitingTokens(),
                                .kvTokens = use.getKvTokens() });
  }
  for (const auto use : aMessage.getTeams()) {
    digest.teams.push_back({ .team = use.getTeam(), .admitted = use.getAdmitted() });
  }
  for (const auto row : aMessage.getUsage()) {
    digest.usage.push_back({ .window = row.getWindow(),
                             .daemon = {},
                             .team = ToString(row.getTeam()),
                             .count = row.getCount() });
  }
  for (const auto peer : aMessage.getPeers()) {
    digest.peers.push_back(ToString(peer));
  }
  for (const auto backend : aMessage.getLeaving()) {
    digest.leaving.push_back({ .id = ToString(backend.getId()),
                               .startedMs = backend.getBornMs(),
                               .isRemoved = backend.getIsRemoved(),
                               .removedBefore = backend.getRemovedBefore() });
  }
  digest.grantsPermits = aMessage.getGrantsPermits();
  for (const auto limit : aMessage.getLimits()) {
    digest.limits.push_back({ .backend = limit.getBackend(),
                              .statement = ReadStatement(limit.getStatement()) });
  }
  digest.loads = ReadLoads(aMessage);
  digest.parts = ReadParts(aMessage);
  if (aMessage.getNews().size() > 0) {
    FleetDelta fleetDelta{ .from = aMessage.getNewsFrom(),
                           .next = aMessage.getNewsNext() };
    for (const auto change : aMessage.getNews()) {
      fleetDelta.changes.push_back(ReadChange(change));
    }
    digest.fleetDelta = std::move(fleetDelta);
  }
  return digest;
}

} // namespace

std::string EncodeDigest(const PeerDigest& aDigest)
{
  return EncodePacked<wire::Digest>([&](auto aBuilder) {
    aBuilder.setDaemon(ToText(aDigest.daemon));
    aBuilder.setIncarnation(aDigest.incarnation);
    aBuilder.setSequence(aDigest.sequence);
    aBuilder.setIsStopping(aDigest.isStopping);
    aBuilder.setSeesStore(aDigest.canReachStore);
    aBuilder.setConfigVersion(aDigest.configVersion);
    aBuilder.setStoreEra(aDigest.storeEra);
    aBuilder.setConfigurationAgeMs(ToAgeMs(aDigest.configurationAge));
    aBuilder.setStoreAnswerAgeMs(ToAgeMs(aDigest.storeAnswerAge));
    aBuilder.setFleetAgeMs(ToAgeMs(aDigest.fleetAge));
    aBuilder.setFleetChangesEnd(aDigest.fleetChangesEnd);
    aBuilder.setFleetOffset(aDigest.fleetOffset);
    aBuilder.setDutyToken(aDigest.dutyToken);
    aBuilder.setDutyRenewal(aDigest.dutyRenewal);
    aBuilder.setGrantsPermits(aDigest.grantsPermits);
    FillLists(aDigest, aBuilder);
    if (aDigest.fleetDelta) {
      FillFleetDelta(*aDigest.fleetDelta, aBuilder);
    }
  });
}

Result<PeerDigest> DecodeDigest(std::span<const char> aBytes)
{
  std::optional<PeerDigest> digest;
  if (const auto error = DecodePacked<wire::Digest>(
        aBytes, kLimits, [&](auto aReader) { digest = ReadDigest(aReader); })) {
    return tl::make_unexpected(*error);
  }
  const bool hasValidRates =
    std::ranges::all_of(digest->demands, [](const auto& aDemand) {
      return std::isfinite(aDemand.promptTokensPerSecond) &&
             aDemand.promptTokensPerSecond >= 0;
    });
  if (!hasValidRates) {
    return MakeError(ErrorKind::BadRequest,
                     "a service demand in the digest is negative or not finite");
  }
  const bool hasValidLimits =
    std::ranges::all_of(digest->limits, [](const GossipedLimit& aLimit) {
      return IsValid(aLimit.statement);
    });
  if (!hasValidLimits) {
    return MakeError(ErrorKind::BadRequest, "a backend's limit in the digest is invalid");
  }
  const bool isTooLong =
    digest->backends.size() > kMaxListLength || digest->usage.size() > kMaxListLength ||
    digest->limits.size() > kMaxListLength || digest->loads.size() > kMaxListLength ||
    digest->parts.starts.size() > kMaxListLength ||
    digest->parts.answered.size() > kMaxListLength ||
    (digest->fleetDelta && digest->fleetDelta->changes.size() > kMaxListLength);
  if (digest->daemon.empty() || isTooLong) {
    return MakeError(ErrorKind::BadRequest,
                     "the digest has no sender or a list with too many entries");
  }
  return *std::move(digest);
}

uint32_t DigestKey(std::string_view aName)
{
  return XXH32(aName.data(), aName.size(), 0);
}

} // namespace gooseberrypath::entry
