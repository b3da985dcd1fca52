#include "entry/peer_digest.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <xxhash.h>

#include "entry/digest.capnp.h"

namespace gooseberrypath::entry {

namespace {

constexpr size_t kMaxListLength = 10'000; // of each list in a digest

// Words of 8 bytes that a datagram may unpack to. A packed message of zeros unpacks to a
// thousand times its size, which is more than the memory of a small host.
constexpr uint64_t kMaxWords = uint64_t{ 64 } * 1024;
constexpr int kMaxNesting = 8;

std::string ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

::capnp::Text::Reader ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

void FillLists(const PeerDigest& aDigest, wire::Digest::Builder& aInto)
{
  auto backends = aInto.initBackends(aDigest.backends.size());
  for (uint32_t i = 0; i < backends.size(); ++i) {
    const BackendUse& use = aDigest.backends[i];
    backends[i].setBackend(use.backend);
    backends[i].setInFlight(use.inFlight);
    backends[i].setWaitingTokens(use.waitingTokens);
    backends[i].setKvTokens(use.kvTokens);
  }
  auto demands = aInto.initDemands(aDigest.demands.size());
  for (uint32_t i = 0; i < demands.size(); ++i) {
    demands[i].setService(aDigest.demands[i].service);
    demands[i].setTokensPerSecond(aDigest.demands[i].promptTokensPerSecond);
  }
  auto teams = aInto.initTeams(aDigest.teams.size());
  for (uint32_t i = 0; i < teams.size(); ++i) {
    teams[i].setTeam(aDigest.teams[i].team);
    teams[i].setAdmitted(aDigest.teams[i].admitted);
  }
  auto usage = aInto.initUsage(aDigest.usage.size());
  for (uint32_t i = 0; i < usage.size(); ++i) {
    usage[i].setWindow(aDigest.usage[i].window);
    usage[i].setTeam(ToText(aDigest.usage[i].team));
    usage[i].setCount(aDigest.usage[i].count);
  }
  auto peers = aInto.initPeers(aDigest.peers.size());
  for (uint32_t i = 0; i < peers.size(); ++i) {
    peers.set(i, ToText(aDigest.peers[i]));
  }
  auto leaving = aInto.initLeaving(aDigest.leaving.size());
  for (uint32_t i = 0; i < leaving.size(); ++i) {
    leaving[i].setId(ToText(aDigest.leaving[i].id));
    leaving[i].setBornMs(aDigest.leaving[i].startedMs);
    leaving[i].setIsRemoved(aDigest.leaving[i].isRemoved);
  }
}

void FillChange(const BackendEntry& aEntry, wire::FleetChange::Builder aInto)
{
  aInto.setId(ToText(aEntry.id));
  aInto.setService(ToText(aEntry.service));
  aInto.setAddress(ToText(aEntry.address));
  aInto.setDataCentre(ToText(aEntry.dataCentre));
  aInto.setSlots(aEntry.slots);
  aInto.setIsLeaving(aEntry.isLeaving);
  aInto.setIsReclaimable(aEntry.isReclaimable);
  if (aEntry.leavesIn) {
    aInto.setLeavesInMs(
      std::chrono::duration_cast<std::chrono::milliseconds>(*aEntry.leavesIn).count());
  }
  aInto.setBornMs(aEntry.startedMs);
  aInto.setSequence(aEntry.sequence);
}

void FillChange(const BackendRemoved& aRemoved, wire::FleetChange::Builder aInto)
{
  aInto.setId(ToText(aRemoved.id));
  aInto.setIsRemoved(true);
}

void FillNews(const FleetDelta& aNews, wire::Digest::Builder& aInto)
{
  auto changes = aInto.initNews(aNews.changes.size());
  for (uint32_t i = 0; i < changes.size(); ++i) {
    std::visit([&](const auto& aOne) { FillChange(aOne, changes[i]); }, aNews.changes[i]);
  }
  aInto.setNewsFrom(aNews.from);
  aInto.setNewsNext(aNews.next);
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

PeerDigest Read(wire::Digest::Reader aMessage)
{
  PeerDigest digest{ .daemon = ToString(aMessage.getDaemon()),
                     .incarnation = aMessage.getIncarnation(),
                     .sequence = aMessage.getSequence(),
                     .isStopping = aMessage.getIsStopping(),
                     .canReachStore = aMessage.getSeesStore(),
                     .configVersion = aMessage.getConfigVersion(),
                     .fleetOffset = aMessage.getFleetOffset(),
                     .dutyToken = aMessage.getDutyToken(),
                     .dutyRenewal = aMessage.getDutyRenewal() };
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
                               .isRemoved = backend.getIsRemoved() });
  }
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
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::Digest>();
  message.setDaemon(ToText(aDigest.daemon));
  message.setIncarnation(aDigest.incarnation);
  message.setSequence(aDigest.sequence);
  message.setIsStopping(aDigest.isStopping);
  message.setSeesStore(aDigest.canReachStore);
  message.setConfigVersion(aDigest.configVersion);
  message.setFleetOffset(aDigest.fleetOffset);
  message.setDutyToken(aDigest.dutyToken);
  message.setDutyRenewal(aDigest.dutyRenewal);
  FillLists(aDigest, message);
  if (aDigest.fleetDelta) {
    FillNews(*aDigest.fleetDelta, message);
  }
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, builder);
  const auto bytes = packed.getArray().asChars();
  return { bytes.begin(), bytes.size() };
}

Result<PeerDigest> DecodeDigest(std::span<const char> aBytes)
{
  std::optional<PeerDigest> digest;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream packed(
      kj::ArrayPtr<const char>(aBytes.data(), aBytes.size()).asBytes());
    capnp::PackedMessageReader reader(
      packed, { .traversalLimitInWords = kMaxWords, .nestingLimit = kMaxNesting });
    digest = Read(reader.getRoot<wire::Digest>());
  });
  KJ_IF_MAYBE (problem, failure) {
    return MakeError(ErrorKind::BadRequest, problem->getDescription().cStr());
  }
  const bool isMeasured = std::ranges::all_of(digest->demands, [](const auto& aDemand) {
    return std::isfinite(aDemand.promptTokensPerSecond) &&
           aDemand.promptTokensPerSecond >= 0;
  });
  if (!isMeasured) {
    return MakeError(ErrorKind::BadRequest, "a demand of the digest is no rate");
  }
  const bool isTooLong =
    digest->backends.size() > kMaxListLength || digest->usage.size() > kMaxListLength ||
    (digest->fleetDelta && digest->fleetDelta->changes.size() > kMaxListLength);
  if (digest->daemon.empty() || isTooLong) {
    return MakeError(ErrorKind::BadRequest, "the digest has no sender or is too long");
  }
  return *std::move(digest);
}

uint32_t DigestKey(std::string_view aName)
{
  return XXH32(aName.data(), aName.size(), 0);
}

} // namespace gooseberrypath::entry
