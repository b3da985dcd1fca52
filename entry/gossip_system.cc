#include "entry/gossip_system.h"

#include <algorithm>
#include <utility>

#include "entry/leaving_gossip.h"
#include "entry/limit_gossip.h"
#include "entry/load_gossip.h"
#include "entry/part_gossip.h"

namespace gooseberrypath::entry {

namespace {

// At the shortest interval, the figures of peers are about as old as the time that a call
// takes to reach its engine.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);

// Interval of the digests that serve as heartbeats while nothing changes.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

// Minimum time between urgent digests of one daemon.
constexpr Duration kMinUrgentInterval = std::chrono::milliseconds(20);

// Intervals vary randomly by up to this share, so that daemons that started together do
// not send their digests at the same time.
constexpr double kIntervalJitter = 0.15;

// Interval of full digests, which carry addresses of peers. The lease holder gets usage
// counts with them.
constexpr Duration kFullDigestInterval = std::chrono::milliseconds(500);

// Bytes a second that a daemon may spend on digests. Beyond some forty daemons the
// interval grows instead, so the figures of peers get older; docs/CAPACITY.md has the
// sizes.
constexpr double kMaxBytesPerSecond = 60'000;

// A peer no longer counts as alive when no digest came for this time and for this many
// intervals. The time allows for two heartbeat intervals and a lost datagram.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1300);
constexpr int kPeerTimeoutIntervals = 3;

// A peer without digests is forgotten after this time; a restarted host is back by then.
constexpr Duration kPeerRetention = std::chrono::seconds(20);

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
constexpr size_t kPeerSampleSize = 4; // peer addresses in a full digest
// Size of a digest without lists, with UDP and IP headers.
constexpr size_t kDigestBaseBytes = 130;
// Sizes of the evidence about prompt parts in a digest.
constexpr size_t kAnsweredPartBytes = 4;
constexpr size_t kPartTrialsBytes = 20;
constexpr size_t kBrokenStartBytes = 38; // without its parts
constexpr size_t kPartIdBytes = 8;
constexpr size_t kLoadReportBytes = 14;
constexpr uint64_t kGossipedWindows = 3; // windows of usage before the current one

// Usage counts of windows farther than this from the current one are dropped. No daemon
// sends them, and a forged datagram must not fill the memory.
constexpr uint64_t kMaxWindowDistance = 12;

// Limit for known addresses and peers, several times the size of a fleet.
constexpr size_t kMaxPeers = 2000;

/// Estimates the size of the evidence about prompt parts in a digest.
size_t PartBytes(const GossipedParts& aParts)
{
  size_t bytes =
    kAnsweredPartBytes * aParts.answered.size() + kPartTrialsBytes * aParts.trials.size();
  for (const GossipedStart& start : aParts.starts) {
    bytes += kBrokenStartBytes + kPartIdBytes * start.parts.size();
  }
  return bytes;
}

/// Returns the process name under which the sender counts usage.
std::string ProcessNameOf(const PeerDigest& aDigest)
{
  return aDigest.daemon + "/" + std::to_string(aDigest.incarnation);
}

} // namespace

void GossipSystem::Start()
{
  for (const std::string& address : world_.options.seeds) {
    AddPeerAddress(address);
  }
  world_.timers.SubscribeEvery(kCheckInterval,
                               [this](TimePoint) { CheckPeerTimeouts(); });
  world_.isDigestDue = true;
}

void GossipSystem::Run()
{
  if (world_.fleetDelta) {
    SendDigests();
    return;
  }
  if (world_.peerAddresses.empty()) {
    return;
  }
  const TimePoint due = lastSent_ + NextSendDelay();
  if (due <= world_.Now()) {
    SendDigests();
    return;
  }
  const bool isSendPending = world_.isDigestDue || world_.isDigestUrgent;
  if (isSendPending && (!nextWakeUp_ || due < *nextWakeUp_)) {
    nextWakeUp_ = due;
    world_.timers.SubscribeAt(due, [this](TimePoint) { nextWakeUp_.reset(); });
  }
}

Duration GossipSystem::NextSendDelay() const
{
  if (world_.isDigestUrgent) {
    return kMinUrgentInterval;
  }
  const Duration pause = world_.isDigestDue
                           ? DigestInterval()
                           : std::max(DigestInterval(), kHeartbeatInterval);
  return std::chrono::duration_cast<Duration>(pause * jitter_);
}

Duration GossipSystem::DigestInterval() const
{
  const double bytes =
    static_cast<double>(lastDigestBytes_ * world_.peerAddresses.size());
  const auto budgetInterval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bytes / kMaxBytesPerSecond));
  return std::max(kMinInterval, budgetInterval);
}

void GossipSystem::SendDigests()
{
  const TimePoint now = world_.Now();
  const TimePoint lastSent = lastSent_;
  const bool isFull = now - lastFullSent_ >= kFullDigestInterval || sequence_ == 0;
  lastSent_ = now;
  jitter_ = std::uniform_real_distribution<double>(1 - kIntervalJitter,
                                                   1 + kIntervalJitter)(world_.random);
  if (isFull) {
    lastFullSent_ = now;
  }
  const bool isUrgent = world_.isDigestUrgent || world_.fleetDelta;
  world_.isDigestDue = false;
  world_.isDigestUrgent = false;
  SendDigest action{ .digest = MakeDigest(isFull) };
  action.digest.leaving =
    LeavingToGossip(world_, isUrgent ? LeavingList::Urgent : LeavingList::Ordinary);
  action.digest.loads = LoadsToGossip(world_, lastSent);
  action.digest.fleetDelta = std::exchange(world_.fleetDelta, std::nullopt);
  const std::string holder = isFull ? HolderAddress() : std::string();
  for (const auto& [address, learned] : world_.peerAddresses) {
    if (address != holder) {
      action.to.push_back(address);
    }
  }
  // A link that fills drops the last ones; these are others each time.
  std::ranges::shuffle(action.to, world_.random);
  const PeerDigest& digest = action.digest;
  // A long list is told once, so it does not make the next digests rare.
  const size_t listed = std::min(digest.leaving.size(), kMaxListedLeaving);
  lastDigestBytes_ = kDigestBaseBytes + 13 * digest.backends.size() +
                     12 * digest.teams.size() + 24 * digest.peers.size() + 28 * listed +
                     34 * digest.limits.size() + kLoadReportBytes * digest.loads.size() +
                     PartBytes(digest.parts);
  if (!holder.empty()) {
    SendDigest withUsage{ .to = { holder }, .digest = digest };
    // The counts of the last windows are repeated, because the newest digests may have
    // been lost.
    const uint64_t window = world_.usage.WindowAt(world_.WallNow());
    withUsage.digest.usage = world_.usage.RowsOf(
      world_.ProcessName(), window - std::min(window, kGossipedWindows));
    world_.Emit(std::move(withUsage));
  }
  world_.Emit(std::move(action));
}

std::string GossipSystem::HolderAddress() const
{
  for (const auto& [host, peer] : world_.peers) {
    if (peer.digest.dutyToken != 0 && peer.isAlive) {
      return peer.address;
    }
  }
  return {};
}

PeerDigest GossipSystem::MakeDigest(bool aIsFull)
{
  PeerDigest digest{ .daemon = world_.options.host,
                     .incarnation = world_.options.incarnation,
                     .sequence = ++sequence_,
                     .isStopping = world_.stoppingSince.has_value(),
                     .canReachStore = world_.isStoreReachable,
                     .configVersion =
                       world_.configuration ? world_.configuration->version : 0,
                     .configurationAge =
                       world_.freshness.AgeOf(StoreTopic::Configuration, world_.Now()),
                     .storeAnswerAge = world_.freshness.AnswerAge(world_.Now()),
                     .fleetAge = world_.freshness.AgeOf(StoreTopic::Fleet, world_.Now()),
                     .fleetChangesEnd = world_.fleetListing.ChangesEnd(),
                     .storeEra = world_.storeEra,
                     .fleetOffset = world_.fleetOffset,
                     .dutyToken = world_.dutyToken,
                     .dutyRenewal = world_.dutyRenewal,
                     .limits = LimitsToGossip(world_, sequence_),
                     .grantsPermits = world_.grantsPermits,
                     .parts = PartsToGossip(world_, sequence_) };
  for (const auto& [name, rate] : world_.promptTokenRates) {
    digest.demands.push_back(
      { .service = DigestKey(name),
        .promptTokensPerSecond = static_cast<float>(rate.PerSecond(world_.Now())) });
  }
  for (const auto& [id, row] : world_.backends) {
    if (row.inFlight > 0) {
      digest.backends.push_back({ .backend = row.key,
                                  .inFlight = row.inFlight,
                                  .waitingTokens = row.waitingTokens,
                                  .kvTokens = row.kvTokens });
    }
  }
  for (const auto& [name, row] : world_.teams) {
    if (row.quota.TotalAdmitted() > 0) {
      digest.teams.push_back(
        { .team = DigestKey(name),
          .admitted = static_cast<uint64_t>(std::max(row.quota.TotalAdmitted(), 0.0)) });
    }
  }
  if (aIsFull) {
    std::vector<std::string> known;
    for (const auto& [host, peer] : world_.peers) {
      if (peer.isAlive) {
        known.push_back(peer.address);
      }
    }
    std::ranges::sample(known, std::back_inserter(digest.peers), kPeerSampleSize,
                        world_.random);
  }
  return digest;
}

void GossipSystem::AddPeerAddress(const std::string& aAddress)
{
  const bool hasCapacity = world_.peerAddresses.size() < kMaxPeers;
  if (aAddress != world_.options.peerAddress && !aAddress.empty() && hasCapacity) {
    world_.peerAddresses.try_emplace(aAddress, world_.Now());
  }
}

void GossipSystem::Handle(const PeerAddressesRead& aEvent)
{
  for (const std::string& address : aEvent.addresses) {
    AddPeerAddress(address);
  }
  world_.isDigestDue = true;
  UpdateQuotaShares();
}

void GossipSystem::Handle(const DigestReceived& aEvent)
{
  world_.counters.Add(EntryCounter::DigestsReceived);
  const PeerDigest& digest = aEvent.digest;
  if (digest.daemon == world_.options.host) {
    return; // a seed list may name this daemon itself
  }
  PeerRow* peer = world_.peers.Find(digest.daemon);
  if (peer != nullptr && std::pair(digest.incarnation, digest.sequence) <=
                           std::pair(peer->digest.incarnation, peer->digest.sequence)) {
    return; // a newer digest came first
  }
  if (peer == nullptr && world_.peers.Size() >= kMaxPeers) {
    return;
  }
  if (peer == nullptr) {
    peer = &world_.peers.Insert(digest.daemon, PeerRow{});
    world_.isDigestDue = true; // so that the peer learns of this daemon
  }
  if (!peer->isAlive) {
    world_.Log(LogLevel::Info, "peer_heard", {},
               { { "peer", digest.daemon }, { "address", aEvent.from } });
  }
  if (digest.storeEra > world_.storeEra) {
    world_.Emit(NoteStoreEra{ digest.storeEra });
  }
  if (digest.storeEra == world_.storeEra && digest.fleetOffset > world_.fleetOffset) {
    world_.Emit(ReadFleet{ digest.fleetOffset });
  }
  if (peer->digest.incarnation != digest.incarnation) {
    ForgetTeamTotals(*peer); // a new process starts its totals at 0
  }
  UpdateBackendUse(*peer, digest);
  ApplyGossipedLoads(world_, digest.loads);
  peer->address = aEvent.from;
  peer->digest = digest;
  peer->lastDigestAt = world_.Now();
  peer->isAlive = true;
  AddPeerAddress(aEvent.from);
  if (const auto known = world_.peerAddresses.find(aEvent.from);
      known != world_.peerAddresses.end()) {
    known->second = world_.Now();
  }
  for (const std::string& address : digest.peers) {
    AddPeerAddress(address);
  }
  const std::string process = ProcessNameOf(digest);
  std::vector<UsageRow> usage = digest.usage;
  const uint64_t window = world_.usage.WindowAt(world_.WallNow());
  std::erase_if(usage, [&](const UsageRow& aRow) {
    return aRow.window + kMaxWindowDistance < window ||
           aRow.window > window + kMaxWindowDistance;
  });
  if (!digest.usage.empty()) {
    peer->lastUsageAt = world_.WallNow();
  }
  for (UsageRow& row : usage) {
    row.daemon = process;
  }
  world_.usage.Merge(usage);
  for (auto& [name, row] : world_.teams) {
    const uint32_t key = DigestKey(name);
    const auto use = std::ranges::find(digest.teams, key, &TeamUse::team);
    if (use != digest.teams.end()) {
      row.quota.ApplyPeerTotal(world_.Now(), process, static_cast<double>(use->admitted),
                               digest.incarnation < world_.options.incarnation);
    }
  }
}

void GossipSystem::UpdateBackendUse(PeerRow& aPeer, const PeerDigest& aDigest)
{
  const auto add = [&](const std::vector<BackendUse>& aUses, int64_t aSign) {
    for (const BackendUse& use : aUses) {
      TotalBackendUse& sum = world_.peerUse[use.backend];
      sum.inFlight += aSign * use.inFlight;
      sum.waitingTokens += aSign * use.waitingTokens;
      sum.kvTokens += aSign * use.kvTokens;
      if (sum.inFlight == 0) {
        world_.peerUse.erase(use.backend);
      }
    }
  };
  if (aPeer.isAlive) {
    add(aPeer.digest.backends, -1);
  }
  add(aDigest.backends, 1);
}

void GossipSystem::ForgetTeamTotals(const PeerRow& aPeer)
{
  const std::string process = ProcessNameOf(aPeer.digest);
  for (auto& [name, team] : world_.teams) {
    team.quota.ForgetPeer(process);
  }
}

void GossipSystem::CheckPeerTimeouts()
{
  const TimePoint now = world_.Now();
  const Duration peerTimeout =
    std::max(kPeerTimeout, kPeerTimeoutIntervals * DigestInterval());
  std::vector<std::string> expired;
  for (auto& [host, peer] : world_.peers) {
    if (peer.isAlive && peer.lastDigestAt + peerTimeout <= now) {
      UpdateBackendUse(peer, PeerDigest{});
      peer.isAlive = false;
      ForgetTeamTotals(peer);
      peer.digest.backends.clear();
      world_.Log(LogLevel::Warning, "peer_unheard", {}, { { "peer", host } });
    }
    if (peer.lastDigestAt + kPeerRetention <= now) {
      expired.push_back(host);
    }
  }
  for (const std::string& host : expired) {
    world_.peers.Erase(host);
  }
  std::erase_if(world_.peerAddresses,
                [&](const auto& aItem) { return aItem.second + kPeerRetention <= now; });
  for (const std::string& address : world_.options.seeds) {
    AddPeerAddress(address); // the seeds connect daemons again after a partition
  }
  UpdateQuotaShares();
}

void GossipSystem::UpdateQuotaShares()
{
  size_t readers = 1;
  size_t serving = 1;
  std::vector<Duration> ages;
  for (const auto& [host, peer] : world_.peers) {
    const bool isServing = !peer.digest.isStopping;
    readers += isServing && peer.isAlive ? 1 : 0;
    if (isServing) {
      ages.push_back(world_.Now() - peer.lastDigestAt);
    }
    serving += isServing ? 1 : 0;
  }
  serving = std::max(serving, world_.DaemonCount());
  if (readers != lastReaderCount_) {
    lastReaderCount_ = readers;
    world_.Emit(SetReaderCount{ readers });
  }
  // Without changes, digests still come as heartbeats.
  world_.digestInterval = DigestInterval();
  world_.heartbeatInterval = std::max(world_.digestInterval, kHeartbeatInterval);
  const double liveDaemons = 1 + EstimateLivePeers(ages, world_.heartbeatInterval);
  for (auto& [name, row] : world_.teams) {
    row.quota.SetDaemonCount(serving);
    row.quota.SetDigestInterval(world_.digestInterval);
    row.quota.SetLiveShare(world_.Now(), liveDaemons / static_cast<double>(serving));
  }
}

} // namespace gooseberrypath::entry
